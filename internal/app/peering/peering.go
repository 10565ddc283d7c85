// Package peering keeps the process in contact with its peers and decides from their heartbeats which are alive.
package peering

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"skylarkstall/internal/app/directory"
	"skylarkstall/internal/domain/fleet"
	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/membership"
	"skylarkstall/internal/domain/timeline"
	"skylarkstall/internal/notify"
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
	recorder *timeline.Recorder
	log      *slog.Logger
	revision func() ident.Revision
	digest   func(time.Time) fleet.Digest

	live  notify.Broadcast // the set of live processes changed
	beats notify.Broadcast // a heartbeat arrived

	mu      sync.Mutex
	digests map[ident.ProcessID]port.Heartbeat
}

// New returns a service. revision and digest tell what heartbeats carry.
func New(
	members *membership.Membership, dir *directory.Directory, recorder *timeline.Recorder, log *slog.Logger,
	revision func() ident.Revision, digest func(time.Time) fleet.Digest,
) *Service {
	return &Service{
		members: members, dir: dir, recorder: recorder, log: log, revision: revision, digest: digest,
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
	s.mu.Lock()
	s.digests[beat.Peer.ID] = beat
	s.mu.Unlock()
	s.announce(now, s.members.Heartbeat(now, beat.Peer))
	s.beats.Signal()
}

func (s *Service) announce(now time.Time, change membership.Change) {
	for _, id := range change.Up {
		s.log.Info("peer is alive", "peer", id)
		s.recorder.Record(now, timeline.Event{Kind: timeline.PeerUp, Detail: string(id)})
	}
	for _, id := range change.Down {
		s.log.Warn("peer is dead or draining", "peer", id)
		s.recorder.Record(now, timeline.Event{Kind: timeline.PeerDown, Detail: string(id)})
	}
	if change.Changed() {
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

// Run marks silent peers dead until the context ends.
func (s *Service) Run(ctx context.Context) {
	for ctx.Err() == nil {
		arrived := s.beats.Changed()
		next, ok := s.members.NextExpiry()
		if !ok {
			select {
			case <-arrived:
			case <-ctx.Done():
			}
			continue
		}
		timer := time.NewTimer(time.Until(next))
		select {
		case <-timer.C:
			now := time.Now()
			s.announce(now, s.members.Expire(now))
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// RunConnections keeps one goroutine for each peer that this process dials: those with a higher id.
func (s *Service) RunConnections(ctx context.Context, connector Connector) {
	var running sync.WaitGroup
	defer running.Wait()
	type dialed struct {
		address string
		cancel  context.CancelFunc
	}
	peers := map[string]dialed{}
	for ctx.Err() == nil {
		changed := s.dir.Changed()
		current := map[string]bool{}
		for _, vm := range s.dir.VMs(port.RoleEntry) {
			if ident.ProcessID(vm.ID) <= s.members.Self().ID {
				continue
			}
			current[vm.ID] = true
			if known, ok := peers[vm.ID]; ok && known.address == vm.Address {
				continue
			} else if ok {
				known.cancel()
			}
			peerCtx, cancel := context.WithCancel(ctx)
			peers[vm.ID] = dialed{vm.Address, cancel}
			running.Go(func() { connector.Connect(peerCtx, ident.ProcessID(vm.ID), vm.Address) })
		}
		for id, p := range peers {
			if !current[id] {
				p.cancel()
				delete(peers, id)
			}
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
	for _, p := range peers {
		p.cancel()
	}
}
