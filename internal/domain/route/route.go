// Package route holds the aggregate of the routes in force: which queue a request belongs to, and the policy of the
// queue. A version that is in force is never replaced by an older one.
package route

import (
	"strings"
	"sync"
	"time"
)

// PermitPolicy is how the service for permits answers for a queue.
type PermitPolicy struct {
	CallLatency   time.Duration // of a call
	WorkerLatency time.Duration // more for each worker named
	TicketTTL     time.Duration // of a ticket
}

// Queue is one route.
type Queue struct {
	Name         string
	Host         string
	Prefix       string
	Service      string
	Priority     int // 0 comes first
	MaxAttempts  int
	PermitPolicy *PermitPolicy // nil: no permits are needed
}

// HasTopPriority reports whether no queue's work goes before this one's.
func (q *Queue) HasTopPriority() bool { return q.Priority == 0 }

// Config is one version of the configuration.
type Config struct {
	Version uint64
	Queues  []Queue
	MaxBody int64 // bytes
	Source  []byte
}

// Table is the aggregate of the configuration in force. It is safe for concurrent use.
type Table struct {
	mu     sync.RWMutex
	config Config
	byName map[string]*Queue
	byHost map[string][]*Queue
}

// Apply puts a version in force unless it is not newer, and reports whether it did.
func (t *Table) Apply(config Config) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if config.Version <= t.config.Version {
		return false
	}
	t.config = config
	t.byName, t.byHost = map[string]*Queue{}, map[string][]*Queue{}
	for i := range config.Queues {
		q := &t.config.Queues[i]
		t.byName[q.Name] = q
		t.byHost[q.Host] = append(t.byHost[q.Host], q)
	}
	return true
}

// Config returns the version in force; version 0 when there is none.
func (t *Table) Config() Config {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.config
}

// Queue returns a queue by its name.
func (t *Table) Queue(name string) (Queue, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if q := t.byName[name]; q != nil {
		return *q, true
	}
	return Queue{}, false
}

// Match returns the queue with the longest prefix of the path at the host.
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
