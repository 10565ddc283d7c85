// Package membership decides which processes count as alive, and from that which process is the home of a partition and
// the owner of a worker.
package membership

import (
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"skylarkstall/internal/domain/ident"
)

// Settings are the times of failure detection.
type Settings struct {
	DeadAfter time.Duration // a peer without a heartbeat for this long is dead
	Rejoin    int           // heartbeats in a row after which a dead peer is alive again
}

// Peer is what a heartbeat tells of a process.
type Peer struct {
	ID          ident.ProcessID
	Zone        ident.Zone
	Incarnation uint64
	Draining    bool
	Revision    ident.Revision // highest document revision in force
}

// Membership is the aggregate of one process's view of the live processes. The process itself is always alive.
type Membership struct {
	mu       sync.Mutex
	self     Peer
	settings Settings
	peers    map[ident.ProcessID]*member
}

type member struct {
	Peer
	last  time.Time
	row   int // heartbeats in a row
	alive bool
}

// New returns a view with only the process itself.
func New(self Peer, settings Settings) *Membership {
	return &Membership{self: self, settings: settings, peers: map[ident.ProcessID]*member{}}
}

// Change is what a heartbeat or the passing of time did to the set of live processes.
type Change struct {
	Up   []ident.ProcessID
	Down []ident.ProcessID
}

// Changed reports whether the set of live processes changed.
func (c Change) Changed() bool { return len(c.Up)+len(c.Down) > 0 }

// Heartbeat notes a heartbeat. A new peer or a new incarnation is alive at once; a peer that was dead needs several in a
// row, so that a process that pauses often does not make ownership flap.
func (m *Membership) Heartbeat(now time.Time, peer Peer) Change {
	m.mu.Lock()
	defer m.mu.Unlock()
	known, ok := m.peers[peer.ID]
	if !ok || known.Incarnation != peer.Incarnation {
		known = &member{row: m.settings.Rejoin}
		m.peers[peer.ID] = known
	}
	wasEligible := known.alive && !known.Draining
	known.Peer, known.last = peer, now
	known.row++
	known.alive = known.alive || known.row >= m.settings.Rejoin
	return change(peer.ID, wasEligible, known.alive && !known.Draining)
}

func change(id ident.ProcessID, before, after bool) Change {
	switch {
	case after && !before:
		return Change{Up: []ident.ProcessID{id}}
	case before && !after:
		return Change{Down: []ident.ProcessID{id}}
	default:
		return Change{}
	}
}

// Expire marks peers dead whose last heartbeat is too old.
func (m *Membership) Expire(now time.Time) Change {
	m.mu.Lock()
	defer m.mu.Unlock()
	var c Change
	for id, p := range m.peers {
		if now.Sub(p.last) < m.settings.DeadAfter {
			continue
		}
		p.row = 0
		if p.alive {
			p.alive = false
			c.Down = append(c.Down, id)
		}
	}
	sort.Slice(c.Down, func(i, j int) bool { return c.Down[i] < c.Down[j] })
	return c
}

// NextExpiry returns when the next live peer would become dead without a heartbeat, or false if no peer is alive.
func (m *Membership) NextExpiry() (time.Time, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var next time.Time
	for _, p := range m.peers {
		at := p.last.Add(m.settings.DeadAfter)
		if p.alive && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	return next, !next.IsZero()
}

// Drain marks the process itself as leaving: it is chosen as home or owner only if no other process is alive.
func (m *Membership) Drain() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.self.Draining = true
}

// Self returns what the process tells of itself.
func (m *Membership) Self() Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.self
}

// Alive reports whether the process is the view's own or a live peer.
func (m *Membership) Alive(id ident.ProcessID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	p, ok := m.peers[id]
	return id == m.self.ID || ok && p.alive
}

// Live returns the live processes, the view's own among them, in the order of their ids.
func (m *Membership) Live() []Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	live := []Peer{m.self}
	for _, p := range m.peers {
		if p.alive {
			live = append(live, p.Peer)
		}
	}
	sort.Slice(live, func(i, j int) bool { return live[i].ID < live[j].ID })
	return live
}

// Home returns the process that should hold the partition.
func (m *Membership) Home(partition ident.PartitionID) ident.ProcessID {
	return choose("partition/"+partition.Key(), m.candidates(""))
}

// Owner returns the process that should own the worker: one in the worker's availability zone if any is alive there.
func (m *Membership) Owner(worker ident.WorkerID, zone ident.Zone) ident.ProcessID {
	return choose("worker/"+string(worker), m.candidates(zone))
}

// candidates returns the live processes that are not draining, those in the zone if there are any.
func (m *Membership) candidates(zone ident.Zone) []string {
	var all, local []string
	for _, p := range m.Live() {
		if p.Draining {
			continue
		}
		all = append(all, string(p.ID))
		if zone != "" && p.Zone == zone {
			local = append(local, string(p.ID))
		}
	}
	switch {
	case len(local) > 0:
		return local
	case len(all) > 0:
		return all
	default:
		return []string{string(m.Self().ID)}
	}
}

func choose(key string, candidates []string) ident.ProcessID {
	return ident.ProcessID(rendezvous.New(candidates, xxhash.Sum64String).Lookup(key))
}
