// Package peering keeps the process in contact with its peers and decides from their heartbeats which are alive.
package peering

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"skylarkstall/internal/app/directory"
	"skylarkstall/internal/domain/fleet"
	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/membership"
	"skylarkstall/internal/domain/timeline"
	"skylarkstall/internal/notify"
	"skylarkstall/internal/pause"
	"skylarkstall/internal/port"
)

// Connector keeps a session to a peer until the context ends.
type Connector interface {
	Connect(ctx context.Context, peer ident.ProcessID, address string)
}

// Service is the process's view of its peers.
type Service struct {
	members  *membership.Membership
	dir      *directory.Directory
	seeds    []port.VM // processes named in settings
	recorder *timeline.Recorder
	log      *slog.Logger
	revision func() ident.Revision
	digest   func(time.Time) fleet.Digest
	lag      atomic.Int64 // nanoseconds for which the process got no processor, since its start

	live  notify.Broadcast // the set of live processes changed
	beats notify.Broadcast // a heartbeat arrived

	mu      sync.Mutex
	digests map[ident.ProcessID]port.Heartbeat
}

// New returns a service. seeds are processes named in settings; revision and digest tell what heartbeats carry.
func New(
	members *membership.Membership, dir *directory.Directory, seeds []port.VM, recorder *timeline.Recorder, log *slog.Logger,
	revision func() ident.Revision, digest func(time.Time) fleet.Digest,
) *Service {
	return &Service{
		members: members, dir: dir, seeds: seeds, recorder: recorder, log: log, revision: revision, digest: digest,
		digests: map[ident.ProcessID]port.Heartbeat{},
	}
}

// Heartbeat returns what the process tells its peers.
func (s *Service) Heartbeat(now time.Time) port.Heartbeat {
	self := s.members.Self()
	self.Revision = s.revision()
	return port.Heartbeat{Peer: self, Digest: s.digest(now)}
}

// HeartbeatReceived notes what a peer tells.
func (s *Service) HeartbeatReceived(now time.Time, beat port.Heartbeat) {
	change := s.members.Heartbeat(now, beat.Peer)
	if change.Stale {
		s.log.Info("heartbeat of a former incarnation ignored", "peer", beat.Peer.ID)
		return
	}
	s.mu.Lock()
	s.digests[beat.Peer.ID] = beat
	s.mu.Unlock()
	s.announce(now, change)
	s.beats.Signal()
}

func (s *Service) announce(now time.Time, change membership.Change) {
	for _, id := range change.Up {
		s.log.Info("peer is alive", "peer", id)
		s.recorder.Record(now, timeline.Event{Kind: timeline.PeerUp, Detail: string(id)})
	}
	for _, id := range change.Restarted {
		s.log.Warn("peer restarted", "peer", id)
		s.recorder.Record(now, timeline.Event{Kind: timeline.PeerUp, Detail: string(id) + " restarted"})
	}
	for _, id := range change.Down {
		s.log.Warn("peer is dead or draining", "peer", id)
		s.recorder.Record(now, timeline.Event{Kind: timeline.PeerDown, Detail: string(id)})
	}
	if change.HasEffect() {
		s.live.Signal()
	}
}

// LiveChanged returns a channel that is closed when the set of live processes next changes.
func (s *Service) LiveChanged() <-chan struct{} { return s.live.Changed() }

// HeartbeatArrived returns a channel that is closed at the next heartbeat of any peer.
func (s *Service) HeartbeatArrived() <-chan struct{} { return s.beats.Changed() }

// Drain tells the peers that this process is leaving.
func (s *Service) Drain() {
	s.members.Drain()
	s.live.Signal()
}

// Heartbeats returns the last heartbeat of each live peer.
func (s *Service) Heartbeats() []port.Heartbeat {
	s.mu.Lock()
	defer s.mu.Unlock()
	var beats []port.Heartbeat
	for _, p := range s.members.Live() {
		if beat, ok := s.digests[p.ID]; ok {
			beats = append(beats, beat)
		}
	}
	return beats
}

// Times of the process's own timer.
const (
	tick       = 100 * time.Millisecond
	pauseLimit = time.Second // a timer that is later than this means that the process was paused
	// lateLimit is how late a timer may be before the process counts as one that waits for a processor.
	lateLimit = 10 * time.Millisecond
)

// Run marks silent peers dead until the context ends. When its own timer is late, it first gives peers that time to be
// heard: what the process missed while it was paused or had no processor is no evidence against them.
func (s *Service) Run(ctx context.Context) {
	for ctx.Err() == nil {
		due := time.Now().Add(tick)
		if next, ok := s.members.NextExpiry(); ok && next.Before(due) {
			due = next
		}
		pause.For(ctx, time.Until(due))
		s.wake(time.Now(), due)
	}
}

// SchedulingDelay returns for how long the process got no processor since its start, as far as its timer can tell.
func (s *Service) SchedulingDelay() time.Duration { return time.Duration(s.lag.Load()) }

// wake acts on the timer that was due.
func (s *Service) wake(now, due time.Time) {
	late := now.Sub(due)
	if late > lateLimit {
		s.lag.Add(int64(late))
		s.members.ExtendDeadlines(now, late)
	}
	if late > pauseLimit {
		s.log.Warn("the process was paused; it renews before it acts", "paused", late)
		s.recorder.Record(now, timeline.Event{Kind: timeline.ProcessPaused, Detail: late.Round(time.Millisecond).String()})
		s.announce(now, s.members.ResumeAfterPause(now, late))
	}
	s.announce(now, s.members.Expire(now))
	for _, id := range s.members.RemoveDead(s.listed) {
		s.mu.Lock()
		delete(s.digests, id)
		s.mu.Unlock()
	}
}

func (s *Service) listed(id ident.ProcessID) bool {
	for _, vm := range s.candidates() {
		if vm.ID == string(id) {
			return true
		}
	}
	return false
}

// candidates returns the entry processes of the VM list and, for ids that it does not have, of the settings.
func (s *Service) candidates() []port.VM {
	vms := s.dir.VMs(port.RoleEntry)
	known := map[string]bool{}
	for _, vm := range vms {
		known[vm.ID] = true
	}
	for _, vm := range s.seeds {
		if !known[vm.ID] {
			vms = append(vms, vm)
		}
	}
	return vms
}

// dialed is a peer that this process keeps a connection to.
type dialed struct {
	address string
	cancel  context.CancelFunc
}

// RunConnections keeps one goroutine for each peer that this process dials: those with a higher id. A peer that leaves
// the VM list keeps its connection while it is alive, because the list lags and does not tell when a VM stopped.
func (s *Service) RunConnections(ctx context.Context, connector Connector) {
	var running sync.WaitGroup
	defer running.Wait()
	peers := map[ident.ProcessID]dialed{}
	for ctx.Err() == nil {
		changed, live := s.dir.Changed(), s.live.Changed()
		current := map[ident.ProcessID]bool{}
		for _, vm := range s.candidates() {
			id := ident.ProcessID(vm.ID)
			current[id] = true
			if id <= s.members.Self().ID || peers[id].address == vm.Address {
				continue
			}
			if old, ok := peers[id]; ok {
				old.cancel()
			}
			peerCtx, cancel := context.WithCancel(ctx)
			peers[id] = dialed{vm.Address, cancel}
			running.Go(func() { connector.Connect(peerCtx, id, vm.Address) })
		}
		for id, p := range peers {
			if !current[id] && !s.members.Alive(id) {
				p.cancel()
				delete(peers, id)
			}
		}
		select {
		case <-changed:
		case <-live:
		case <-ctx.Done():
		}
	}
	for _, p := range peers {
		p.cancel()
	}
}
