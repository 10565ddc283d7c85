// Package membership detects failed processes by their heartbeats and derives from the set of live processes which
// process is the home of a partition and which one is the owner of a worker.
package membership

import (
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"skylarkstall/internal/domain/ident"
)

// Settings configures failure detection.
type Settings struct {
	HeartbeatInterval time.Duration // interval between heartbeats of a peer
	DeadAfter         time.Duration // a peer counts as dead after this time without a heartbeat
	RejoinHeartbeats  int           // consecutive heartbeats after which a dead peer counts as alive again
}

// maxGapIntervals is the maximum number of intervals between two consecutive heartbeats. A longer gap means that at
// least one heartbeat was missed.
const maxGapIntervals = 2

// Peer describes a process as its heartbeats do.
type Peer struct {
	ID          ident.ProcessID
	Zone        ident.Zone
	Incarnation uint64
	Draining    bool
	Revision    ident.Revision // store revision up to which the process knows all documents
}

// Membership is one process's view of the live processes. The process itself is always alive. It is safe for concurrent
// use.
type Membership struct {
	mu        sync.Mutex
	self      Peer
	settings  Settings
	peers     map[ident.ProcessID]*peerState
	rejoining bool // the process was paused for so long that its peers may count it as dead
}

type peerState struct {
	Peer
	lastSeen    time.Time // time of the last heartbeat, moved forward by pauses and delays of this process
	lastCounted time.Time // time of the last heartbeat that was counted
	consecutive int       // counted heartbeats without a missed one in between
	sincePause  int       // counted heartbeats since the last pause of this process
	alive       bool
}

// New returns a view that contains only the process itself.
func New(self Peer, settings Settings) *Membership {
	return &Membership{self: self, settings: settings, peers: map[ident.ProcessID]*peerState{}}
}

// Change is a change of the set of live processes, caused by a heartbeat, a timeout or a pause of the process.
type Change struct {
	Up          []ident.ProcessID // became alive and not draining
	Down        []ident.ProcessID // became dead or draining
	Restarted   []ident.ProcessID // alive before and after, with a new incarnation: the state that it held is lost
	SelfChanged bool              // the process itself became a candidate again or ceased to be one
	Stale       bool              // the heartbeat is of an earlier incarnation and was ignored
}

// HasEffect reports whether the choice of homes and owners, or the state held by a live process, may have changed.
func (c Change) HasEffect() bool { return len(c.Up)+len(c.Down)+len(c.Restarted) > 0 || c.SelfChanged }

// Heartbeat records a heartbeat. A peer that is not yet known is alive at once. A dead peer needs several consecutive
// heartbeats, even with a new incarnation, so that a process that often pauses or restarts does not cause ownership to
// flap. A peer that restarts before it counts as dead stays alive. A heartbeat of an earlier incarnation is ignored
// while the later one is alive.
func (m *Membership) Heartbeat(now time.Time, peer Peer) Change {
	m.mu.Lock()
	defer m.mu.Unlock()
	p, ok := m.peers[peer.ID]
	if !ok {
		p = &peerState{Peer: peer, consecutive: m.settings.RejoinHeartbeats}
		m.peers[peer.ID] = p
	}
	if p.alive && peer.Incarnation < p.Incarnation {
		return Change{Stale: true}
	}
	wasEligible, restarted := p.alive && !p.Draining, p.alive && peer.Incarnation != p.Incarnation
	m.countHeartbeat(now, p)
	p.Peer, p.lastSeen = peer, now
	p.alive = p.alive || p.consecutive >= m.settings.RejoinHeartbeats
	c := transition(peer.ID, wasEligible, p.alive && !p.Draining)
	if restarted && !c.HasEffect() {
		c.Restarted = []ident.ProcessID{peer.ID}
	}
	if m.rejoining && p.sincePause >= m.settings.RejoinHeartbeats {
		m.rejoining, c.SelfChanged = false, true
	}
	return c
}

// countHeartbeat counts a heartbeat of a peer. A missed heartbeat resets the number of consecutive ones. Heartbeats
// that arrive together, as after a connection was stalled, count once.
func (m *Membership) countHeartbeat(now time.Time, p *peerState) {
	gap := now.Sub(p.lastCounted)
	if gap < m.settings.HeartbeatInterval/2 {
		return
	}
	if gap > maxGapIntervals*m.settings.HeartbeatInterval && !p.lastCounted.IsZero() {
		p.consecutive = 0
	}
	p.lastCounted = now
	p.consecutive++
	p.sincePause++
}

// ResumeAfterPause handles the end of a pause of the process itself. It restarts the timeouts of live peers, so that
// none of them counts as dead because of the pause. After a pause so long that peers may count the process as dead, the
// process is no candidate in its own view either until a peer has sent it RejoinHeartbeats heartbeats, the number after
// which peers count it as alive again. If there is no other candidate, it is chosen all the same.
func (m *Membership) ResumeAfterPause(now time.Time, paused time.Duration) Change {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.peers {
		if p.alive {
			p.lastSeen = now
		}
		p.sincePause = 0
	}
	if paused < m.settings.DeadAfter-m.settings.HeartbeatInterval || m.rejoining {
		return Change{}
	}
	m.rejoining = true
	return Change{SelfChanged: true}
}

// ExtendDeadlines extends the timeouts of all peers by a time during which the process itself was not scheduled on a
// processor: heartbeats that arrived in that time may not have been read yet.
func (m *Membership) ExtendDeadlines(now time.Time, delay time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.peers {
		if p.lastSeen = p.lastSeen.Add(delay); p.lastSeen.After(now) {
			p.lastSeen = now
		}
	}
}

// SessionOpened records that a live peer has opened or accepted a session. The peer has at least one heartbeat interval to
// send a heartbeat on it: a connection that stalled may have been replaced just before the peer would count as dead.
func (m *Membership) SessionOpened(now time.Time, id ident.ProcessID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	earliest := now.Add(m.settings.HeartbeatInterval - m.settings.DeadAfter)
	if p, ok := m.peers[id]; ok && p.alive && p.lastSeen.Before(earliest) {
		p.lastSeen = earliest
	}
}

// RemoveDead removes the dead peers for which listed returns false, and returns their ids.
func (m *Membership) RemoveDead(listed func(ident.ProcessID) bool) []ident.ProcessID {
	m.mu.Lock()
	defer m.mu.Unlock()
	var removed []ident.ProcessID
	for id, p := range m.peers {
		if !p.alive && !listed(id) {
			delete(m.peers, id)
			removed = append(removed, id)
		}
	}
	return removed
}

// transition returns the change of a process that was eligible as a candidate before, and is after.
func transition(id ident.ProcessID, before, after bool) Change {
	switch {
	case after && !before:
		return Change{Up: []ident.ProcessID{id}}
	case before && !after:
		return Change{Down: []ident.ProcessID{id}}
	default:
		return Change{}
	}
}

// Expire marks peers as dead that have sent no heartbeat for DeadAfter.
func (m *Membership) Expire(now time.Time) Change {
	m.mu.Lock()
	defer m.mu.Unlock()
	var c Change
	for id, p := range m.peers {
		if now.Sub(p.lastSeen) < m.settings.DeadAfter {
			continue
		}
		p.consecutive = 0
		if p.alive {
			p.alive = false
			c.Down = append(c.Down, id)
		}
	}
	sort.Slice(c.Down, func(i, j int) bool { return c.Down[i] < c.Down[j] })
	return c
}

// NextExpiry returns the earliest time at which a live peer counts as dead without a further heartbeat, or false if no
// peer is alive.
func (m *Membership) NextExpiry() (time.Time, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var next time.Time
	for _, p := range m.peers {
		at := p.lastSeen.Add(m.settings.DeadAfter)
		if p.alive && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	return next, !next.IsZero()
}

// Drain marks the process itself as draining: it is chosen as home or owner only if there is no other candidate.
func (m *Membership) Drain() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.self.Draining = true
}

// Self returns the description of the process itself.
func (m *Membership) Self() Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.self
}

// Rejoining reports whether the process, after a long pause, has not yet received enough heartbeats to be a candidate.
func (m *Membership) Rejoining() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.rejoining
}

// Alive reports whether id is the process itself or a live peer.
func (m *Membership) Alive(id ident.ProcessID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	p, ok := m.peers[id]
	return id == m.self.ID || ok && p.alive
}

// Live returns the live processes, including the process itself, sorted by id.
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
	return rendezvousChoice("partition/"+partition.Key(), m.candidates(""))
}

// Owner returns the process that should own the worker, preferably one in the worker's availability zone.
func (m *Membership) Owner(worker ident.WorkerID, zone ident.Zone) ident.ProcessID {
	return rendezvousChoice("worker/"+string(worker), m.candidates(zone))
}

// candidates returns the ids of the live processes that are neither draining nor rejoining, restricted to the zone if
// any of them is there. Without any candidate it returns the process itself.
func (m *Membership) candidates(zone ident.Zone) []string {
	var all, local []string
	self, rejoining := m.Self().ID, m.Rejoining()
	for _, p := range m.Live() {
		if p.Draining || p.ID == self && rejoining {
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

// rendezvousChoice selects a candidate by rendezvous hashing, so that a change of the candidates moves only the keys of
// the candidates that were added or removed.
func rendezvousChoice(key string, candidates []string) ident.ProcessID {
	return ident.ProcessID(rendezvous.New(candidates, xxhash.Sum64String).Lookup(key))
}
