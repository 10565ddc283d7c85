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
	HeartbeatInterval time.Duration // between heartbeats of a peer
	DeadAfter         time.Duration // a peer without a heartbeat for this long is dead
	RejoinHeartbeats  int           // heartbeats in a row after which a dead peer is alive again
}

// maxGap is how many intervals may pass between two heartbeats in a row: more means that one was missed.
const maxGap = 2

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
	renewing bool // the process was paused for so long that its peers may count it as dead
}

type member struct {
	Peer
	last    time.Time // last heartbeat, or the end of the process's own pause
	counted time.Time // last heartbeat that counts for the row
	row     int       // heartbeats in a row, none missed
	renewed int       // heartbeats since the process's own pause
	alive   bool
}

// New returns a view with only the process itself.
func New(self Peer, settings Settings) *Membership {
	return &Membership{self: self, settings: settings, peers: map[ident.ProcessID]*member{}}
}

// Change is what a heartbeat or the passing of time did to the set of live processes.
type Change struct {
	Up          []ident.ProcessID
	Down        []ident.ProcessID
	Restarted   []ident.ProcessID // alive before and after, with a new incarnation: what it held is lost
	SelfChanged bool              // the process itself became a candidate again, or stopped being one
	Stale       bool              // the heartbeat is of a former incarnation and was ignored
}

// HasEffect reports whether the choice of homes and owners, or what a live process holds, may have changed.
func (c Change) HasEffect() bool { return len(c.Up)+len(c.Down)+len(c.Restarted) > 0 || c.SelfChanged }

// Heartbeat notes a heartbeat. A peer that was never heard of is alive at once. A dead peer needs several heartbeats
// in a row, also with a new incarnation, so that a process that pauses or restarts often does not make ownership
// flap. A peer that restarts before it counts as dead stays alive. A heartbeat of a former incarnation is ignored
// while the later one is alive.
func (m *Membership) Heartbeat(now time.Time, peer Peer) Change {
	m.mu.Lock()
	defer m.mu.Unlock()
	known, ok := m.peers[peer.ID]
	if !ok {
		known = &member{Peer: peer, row: m.settings.RejoinHeartbeats}
		m.peers[peer.ID] = known
	}
	if known.alive && peer.Incarnation < known.Incarnation {
		return Change{Stale: true}
	}
	wasEligible, restarted := known.alive && !known.Draining, known.alive && peer.Incarnation != known.Incarnation
	m.count(now, known)
	known.Peer, known.last = peer, now
	known.alive = known.alive || known.row >= m.settings.RejoinHeartbeats
	c := change(peer.ID, wasEligible, known.alive && !known.Draining)
	if restarted && !c.HasEffect() {
		c.Restarted = []ident.ProcessID{peer.ID}
	}
	if m.renewing && known.renewed >= m.settings.RejoinHeartbeats {
		m.renewing, c.SelfChanged = false, true
	}
	return c
}

// count adds a heartbeat to the row. A missed heartbeat begins the row anew; heartbeats that arrive together, as from a
// connection that was stuck, count once.
func (m *Membership) count(now time.Time, p *member) {
	gap := now.Sub(p.counted)
	if gap < m.settings.HeartbeatInterval/2 {
		return
	}
	if gap > maxGap*m.settings.HeartbeatInterval && !p.counted.IsZero() {
		p.row = 0
	}
	p.counted = now
	p.row++
	p.renewed++
}

// ResumeAfterPause notes that the process itself was paused. Peers get the whole time to be heard again before they count as
// dead. If the pause was so long that peers may count the process as dead, it is no candidate in its own view either
// until it has exchanged as many heartbeats as peers ask of it, unless it is alone.
func (m *Membership) ResumeAfterPause(now time.Time, paused time.Duration) Change {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.peers {
		if p.alive {
			p.last = now
		}
		p.renewed = 0
	}
	if paused < m.settings.DeadAfter-m.settings.HeartbeatInterval || m.renewing {
		return Change{}
	}
	m.renewing = true
	return Change{SelfChanged: true}
}

// ExtendDeadlines notes that the process itself got no processor for a while: what peers sent in that time may not have been read
// yet, so it does not count as their silence.
func (m *Membership) ExtendDeadlines(now time.Time, late time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.peers {
		if p.last = p.last.Add(late); p.last.After(now) {
			p.last = now
		}
	}
}

// RemoveDead removes the dead peers that are not listed, and returns them.
func (m *Membership) RemoveDead(listed func(ident.ProcessID) bool) []ident.ProcessID {
	m.mu.Lock()
	defer m.mu.Unlock()
	var gone []ident.ProcessID
	for id, p := range m.peers {
		if !p.alive && !listed(id) {
			delete(m.peers, id)
			gone = append(gone, id)
		}
	}
	return gone
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

// Rejoining reports whether the process was paused and has not exchanged enough heartbeats since.
func (m *Membership) Rejoining() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.renewing
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
	self, renewing := m.Self().ID, m.Rejoining()
	for _, p := range m.Live() {
		if p.Draining || p.ID == self && renewing {
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
