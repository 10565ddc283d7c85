// Package route holds the routing table of the active configuration: which queue a request belongs to, and the policy of
// that queue. An active configuration is never replaced by an older version.
package route

import (
	"strings"
	"sync"
	"time"

	"skylarkstall/internal/domain/account"
)

// PermitPolicy describes how long the permit service takes to respond for a queue, and how long its tickets are valid.
type PermitPolicy struct {
	CallLatency   time.Duration // duration of a call, without the part for each worker
	WorkerLatency time.Duration // additional duration for each worker in the call
	TicketTTL     time.Duration // validity of a ticket
}

// Queue is a queue of jobs with the route that selects it.
type Queue struct {
	Name         string
	Host         string
	Prefix       string
	Service      string
	Priority     int // 0 is the highest
	MaxAttempts  int
	PermitPolicy *PermitPolicy // nil if tasks of the queue need no permits
	Public       bool          // calls need no key, and jobs belong to no account
	Objective    Objective
}

// Objective states how soon after its submission a job should be completed. The zero value states nothing.
type Objective struct {
	Stretch float64       // multiple of the duration that the job takes without any waiting
	Slack   time.Duration // additional time
}

// IsSet reports whether jobs of the queue have an objective.
func (o Objective) IsSet() bool { return o.Stretch > 0 }

// QueueRef identifies a queue by its name, and by the address at which callers reach it. The operator may change either.
type QueueRef struct {
	Name   string
	Host   string
	Prefix string
}

// Ref returns the reference to the queue.
func (q *Queue) Ref() QueueRef { return QueueRef{q.Name, q.Host, q.Prefix} }

// hasAddress reports whether the reference has an address, which it lacks in records of earlier versions.
func (r QueueRef) hasAddress() bool { return r.Host != "" || r.Prefix != "" }

// Matches reports whether both references are to one queue: they have the same name, or the same address, so that a caller who submitted
// a job to one of them reaches it through the other.
func (r QueueRef) Matches(other QueueRef) bool {
	return r.Name == other.Name || r.hasAddress() && r.Host == other.Host && r.Prefix == other.Prefix
}

// HasTopPriority reports whether the queue has the highest priority, so that no other queue is scheduled before it.
func (q *Queue) HasTopPriority() bool { return q.Priority == 0 }

// Config is one version of the configuration.
type Config struct {
	Version      uint64
	Queues       []Queue
	Accounts     *account.Set // nil if the configuration names none
	MaxBodyBytes int64        // largest request body, in bytes
	Source       []byte       // as the operator wrote it, with digests in place of keys; it decodes to the same configuration
}

// Table holds the active configuration, indexed by queue name, host and address. It is safe for concurrent use.
type Table struct {
	mu        sync.RWMutex
	config    Config
	confirmed account.Evidence
	byName    map[string]*Queue
	byHost    map[string][]*Queue
	byAddress map[address]*Queue
}

// address is the host and the prefix of a queue.
type address struct{ host, prefix string }

// Apply activates the configuration if its version is newer than the active one, and reports whether it did.
func (t *Table) Apply(config Config) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if config.Version <= t.config.Version {
		return false
	}
	t.config = config
	t.byName, t.byHost, t.byAddress = map[string]*Queue{}, map[string][]*Queue{}, map[address]*Queue{}
	for i := range config.Queues {
		q := &t.config.Queues[i]
		t.byName[q.Name] = q
		t.byHost[q.Host] = append(t.byHost[q.Host], q)
		if at := (address{q.Host, q.Prefix}); t.byAddress[at] == nil {
			t.byAddress[at] = q // the one that Match returns
		}
	}
	return true
}

// Confirm records that the version was the newest one at the given time, by a clock that counts suspensions. Evidence about another version than the active
// one, or older evidence, changes nothing.
func (t *Table) Confirm(version uint64, at time.Time, source string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if version == t.config.Version && at.After(t.confirmed.At) {
		t.confirmed = account.Evidence{At: at, Source: source}
	}
}

// Confirmed returns the latest evidence that the active configuration is the newest one.
func (t *Table) Confirmed() account.Evidence {
	_, confirmed := t.Active()
	return confirmed
}

// Active returns the active configuration together with the latest evidence that no newer one existed. Evidence about an earlier version
// holds for a later one too.
func (t *Table) Active() (Config, account.Evidence) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.config, t.confirmed
}

// Config returns the active configuration. Its version is 0 if there is none yet.
func (t *Table) Config() Config {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.config
}

// Current returns the active settings of a queue, or the given ones if it has been removed. A queue of another name at the same address
// takes its place if its tasks run on the same service.
func (t *Table) Current(queue Queue) Queue {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if q := t.byName[queue.Name]; q != nil {
		return *q
	}
	if q := t.byAddress[address{queue.Host, queue.Prefix}]; q != nil && queue.Ref().hasAddress() && q.Service == queue.Service {
		return *q
	}
	return queue
}

// Match returns the queue of the host with the longest prefix that matches the path.
func (t *Table) Match(host, path string) (Queue, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var best *Queue
	for _, q := range t.byHost[host] {
		if strings.HasPrefix(path, q.Prefix) && (best == nil || len(q.Prefix) > len(best.Prefix)) {
			best = q
		}
	}
	if best == nil {
		return Queue{}, false
	}
	return *best, true
}
