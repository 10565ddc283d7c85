// Package peering maintains the connections to peers, processes their heartbeats and detects failed peers.
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
	"skylarkstall/internal/port"
)

// Connector maintains sessions to peers.
type Connector interface {
	// Connect maintains a session to a peer until the context ends.
	Connect(ctx context.Context, peer ident.ProcessID, address string)
}

// Service tracks the peers of a process.
type Service struct {
	members     *membership.Membership
	dir         *directory.Directory
	staticPeers []port.VM // processes given in the settings
	recorder    *timeline.Recorder
	log         *slog.Logger
	revision    func() ident.Revision
	digest      func(time.Time) fleet.Digest
	totalDelay  atomic.Int64 // total scheduling delay of the process in nanoseconds

	liveChanged      notify.Broadcast // signaled when the set of live processes changes
	heartbeatArrived notify.Broadcast // signaled when a heartbeat arrives

	live       atomic.Pointer[[]port.Heartbeat] // last heartbeats of the live peers
	lastDigest atomic.Pointer[fleet.Digest]

	mu         sync.Mutex
	heartbeats map[ident.ProcessID]port.Heartbeat // last heartbeat by sender
	digestMade chan struct{}                      // closed when the digest that is being made is the last one; nil if none is
}

// New returns a service. staticPeers are processes given in the settings; revision and digest return the contents of
// the heartbeats that the process sends.
func New(
	members *membership.Membership, dir *directory.Directory, staticPeers []port.VM, recorder *timeline.Recorder,
	log *slog.Logger, revision func() ident.Revision, digest func(time.Time) fleet.Digest,
) *Service {
	s := &Service{
		members: members, dir: dir, staticPeers: staticPeers, recorder: recorder, log: log, revision: revision, digest: digest,
		heartbeats: map[ident.ProcessID]port.Heartbeat{},
	}
	s.updateLive()
	return s
}

// Heartbeat returns the heartbeat of this process.
func (s *Service) Heartbeat(now time.Time) port.Heartbeat {
	self := s.members.Self()
	self.Revision = s.revision()
	return port.Heartbeat{Peer: self, Digest: s.currentDigest(now)}
}

// maxDigestWait is how long a heartbeat waits for the digest of a busy owner before it reports the last one.
const maxDigestWait = 100 * time.Millisecond

// currentDigest returns the digest, or the last one if the owner does not return it in time. Heartbeats that are made at the same time
// share a digest. Only the first digest is waited for without a limit.
func (s *Service) currentDigest(now time.Time) fleet.Digest {
	made := s.startDigest(now)
	timer := time.NewTimer(maxDigestWait)
	defer timer.Stop()
	select {
	case <-made:
		return *s.lastDigest.Load()
	case <-timer.C:
	}
	if last := s.lastDigest.Load(); last != nil {
		return *last
	}
	<-made
	return *s.lastDigest.Load()
}

// startDigest starts to make a digest, unless one is being made, and returns a channel that is closed when it is the last one.
func (s *Service) startDigest(now time.Time) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.digestMade != nil {
		return s.digestMade
	}
	made := make(chan struct{})
	s.digestMade = made
	go func() {
		digest := s.digest(now)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.lastDigest.Store(&digest)
		s.digestMade = nil
		close(made)
	}()
	return made
}

// HeartbeatReceived handles a heartbeat of a peer.
func (s *Service) HeartbeatReceived(now time.Time, heartbeat port.Heartbeat) {
	change := s.members.Heartbeat(now, heartbeat.Peer)
	if change.Stale {
		s.log.Info("ignored heartbeat of an earlier incarnation", "peer", heartbeat.Peer.ID)
		return
	}
	s.mu.Lock()
	s.heartbeats[heartbeat.Peer.ID] = heartbeat
	s.mu.Unlock()
	s.updateLive()
	s.publish(now, change)
	s.heartbeatArrived.Signal()
}

// SessionOpened handles a new session to a peer, on which no heartbeat has arrived yet.
func (s *Service) SessionOpened(now time.Time, peer ident.ProcessID) {
	s.members.SessionOpened(now, peer)
}

// publish logs and records a change of the live processes, and signals it.
func (s *Service) publish(now time.Time, change membership.Change) {
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
		s.liveChanged.Signal()
	}
}

// LiveChanged returns a channel that is closed at the next change of the set of live processes.
func (s *Service) LiveChanged() <-chan struct{} { return s.liveChanged.Changed() }

// HeartbeatArrived returns a channel that is closed when the next heartbeat of any peer arrives.
func (s *Service) HeartbeatArrived() <-chan struct{} { return s.heartbeatArrived.Changed() }

// Drain marks this process as draining, which its heartbeats report to the peers.
func (s *Service) Drain() {
	s.members.Drain()
	s.liveChanged.Signal()
}

// Heartbeats returns the last heartbeat of each live peer, sorted by id. The caller must not change the list. It takes no lock: each
// task that is placed reads it, and a heartbeat that arrives must not wait for thousands of them.
func (s *Service) Heartbeats() []port.Heartbeat { return *s.live.Load() }

// updateLive updates the list of the heartbeats after a heartbeat has arrived or a peer has died.
func (s *Service) updateLive() {
	s.mu.Lock()
	defer s.mu.Unlock()
	var live []port.Heartbeat
	for _, p := range s.members.Live() {
		if heartbeat, ok := s.heartbeats[p.ID]; ok {
			live = append(live, heartbeat)
		}
	}
	s.live.Store(&live)
}

// Settings of the timer that checks for failed peers and detects pauses of the process.
const (
	checkInterval  = 100 * time.Millisecond
	pauseThreshold = time.Second // a longer delay of the timer means that the process was paused
	// delayThreshold is the delay of the timer above which the process counts as waiting for a processor.
	delayThreshold = 10 * time.Millisecond
)

// Run marks peers as dead that send no heartbeats, until the context ends. If its own timer fires late, it first
// extends the timeouts of the peers by the delay: heartbeats that the process missed while it was paused or waited for
// a processor do not mean that a peer has failed. waitUntil waits until the given time or until the context ends; it
// should be as late as reads from connections are.
func (s *Service) Run(ctx context.Context, waitUntil func(context.Context, time.Time)) {
	for ctx.Err() == nil {
		due := time.Now().Add(checkInterval)
		if next, ok := s.members.NextExpiry(); ok && next.Before(due) {
			due = next
		}
		waitUntil(ctx, due)
		s.timerFired(time.Now(), due)
	}
}

// SchedulingDelay returns the total time since its start for which the process waited for a processor, estimated from
// the delays of its timer.
func (s *Service) SchedulingDelay() time.Duration { return time.Duration(s.totalDelay.Load()) }

// timerFired handles a firing of the timer. The difference between now and due is the delay of the timer.
func (s *Service) timerFired(now, due time.Time) {
	delay := now.Sub(due)
	if delay > delayThreshold {
		s.totalDelay.Add(int64(delay))
		s.members.ExtendDeadlines(now, delay)
	}
	if delay > pauseThreshold {
		s.log.Warn("process was paused; it may have to rejoin before it is a candidate again", "paused", delay)
		s.recorder.Record(now, timeline.Event{Kind: timeline.ProcessPaused, Detail: delay.Round(time.Millisecond).String()})
		s.publish(now, s.members.ResumeAfterPause(now, delay))
	}
	if change := s.members.Expire(now); change.HasEffect() {
		s.updateLive()
		s.publish(now, change)
	}
	for _, id := range s.members.RemoveDead(s.isConfigured) {
		s.mu.Lock()
		delete(s.heartbeats, id)
		s.mu.Unlock()
	}
}

// isConfigured reports whether the process is in the VM list or in the settings.
func (s *Service) isConfigured(id ident.ProcessID) bool {
	for _, vm := range s.configuredProcesses() {
		if vm.ID == string(id) {
			return true
		}
	}
	return false
}

// configuredProcesses returns the entry processes in the VM list, and those in the settings whose ids are not in the VM
// list.
func (s *Service) configuredProcesses() []port.VM {
	vms := s.dir.VMs(port.RoleEntry)
	inList := map[string]bool{}
	for _, vm := range vms {
		inList[vm.ID] = true
	}
	for _, vm := range s.staticPeers {
		if !inList[vm.ID] {
			vms = append(vms, vm)
		}
	}
	return vms
}

// MissingPeers returns the other processes in the VM list and in the settings that are not alive.
func (s *Service) MissingPeers() []port.VM {
	var missing []port.VM
	for _, vm := range s.configuredProcesses() {
		if !s.members.Alive(ident.ProcessID(vm.ID)) {
			missing = append(missing, vm)
		}
	}
	return missing
}

// dialedPeer is a peer to which this process maintains a connection.
type dialedPeer struct {
	address string
	cancel  context.CancelFunc
}

// RunConnections runs one goroutine for each peer that this process dials, which are the peers with a higher id, until
// the context ends. The connection to a peer that is no longer in the VM list is kept while the peer is alive, because
// the list lags and does not show when a VM has stopped.
func (s *Service) RunConnections(ctx context.Context, connector Connector) {
	var running sync.WaitGroup
	defer running.Wait()
	peers := map[ident.ProcessID]dialedPeer{}
	for ctx.Err() == nil {
		listChanged, liveChanged := s.dir.Changed(), s.liveChanged.Changed()
		current := map[ident.ProcessID]bool{}
		for _, vm := range s.configuredProcesses() {
			id := ident.ProcessID(vm.ID)
			current[id] = true
			if id <= s.members.Self().ID || peers[id].address == vm.Address {
				continue
			}
			if old, ok := peers[id]; ok {
				old.cancel()
			}
			peerCtx, cancel := context.WithCancel(ctx)
			peers[id] = dialedPeer{vm.Address, cancel}
			running.Go(func() { connector.Connect(peerCtx, id, vm.Address) })
		}
		for id, p := range peers {
			if !current[id] && !s.members.Alive(id) {
				p.cancel()
				delete(peers, id)
			}
		}
		select {
		case <-listChanged:
		case <-liveChanged:
		case <-ctx.Done():
		}
	}
	for _, p := range peers {
		p.cancel()
	}
}
