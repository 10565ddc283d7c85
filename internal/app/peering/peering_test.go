package peering

import (
	"context"
	"log/slog"
	"reflect"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"skylarkstall/internal/app/directory"
	"skylarkstall/internal/domain/fleet"
	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/membership"
	"skylarkstall/internal/domain/resource"
	"skylarkstall/internal/domain/timeline"
	"skylarkstall/internal/pause"
	"skylarkstall/internal/port"
)

// fakeVMList is a VM list that the test can change.
type fakeVMList struct{ vms atomic.Pointer[[]port.VM] }

func (l *fakeVMList) List(context.Context) ([]port.VM, error) { return *l.vms.Load(), nil }

func (l *fakeVMList) set(vms ...port.VM) { l.vms.Store(&vms) }

// connector records the address of the open connection to a peer.
type connector struct{ address atomic.Value }

func (c *connector) Connect(ctx context.Context, _ ident.ProcessID, address string) {
	c.address.Store(address)
	<-ctx.Done()
	c.address.CompareAndSwap(address, "")
}

func newService(vms port.VMList, staticPeers ...port.VM) (*Service, *directory.Directory) {
	log := slog.New(slog.DiscardHandler)
	dir := directory.New(vms, log)
	members := membership.New(membership.Peer{ID: "a"}, membership.Settings{
		HeartbeatInterval: time.Second, DeadAfter: 3 * time.Second, RejoinHeartbeats: 3,
	})
	return New(members, dir, staticPeers, timeline.NewRecorder("a", 100), log,
		func() ident.Revision { return 0 }, func(time.Time) fleet.Digest { return fleet.Digest{} }), dir
}

// TestLateTimer guards against a process that considers all its peers dead after a pause of its own.
func TestLateTimer(t *testing.T) {
	s, _ := newService(&fakeVMList{})
	start := time.Unix(100, 0)
	s.HeartbeatReceived(start, port.Heartbeat{Peer: membership.Peer{ID: "b"}})
	s.timerFired(start.Add(10*time.Second), start.Add(500*time.Millisecond))
	if !s.members.Alive("b") || !s.members.Rejoining() {
		t.Errorf("after a pause: peer alive %v, rejoining %v; want both true", s.members.Alive("b"), s.members.Rejoining())
	}
	s.timerFired(start.Add(13*time.Second), start.Add(13*time.Second))
	if s.members.Alive("b") {
		t.Error("a peer that sends no heartbeat after the pause is alive")
	}
}

// TestHeartbeatsAreReadWithoutWaiting guards against peers that count as dead while thousands of tasks are placed: each of them reads
// the heartbeats, and a new heartbeat waited for a second and more behind them for a lock.
func TestHeartbeatsAreReadWithoutWaiting(t *testing.T) {
	s, _ := newService(&fakeVMList{})
	s.HeartbeatReceived(time.Unix(100, 0), port.Heartbeat{Peer: membership.Peer{ID: "b"}})
	s.mu.Lock() // as while a heartbeat is handled
	defer s.mu.Unlock()
	read := make(chan int, 1)
	go func() { read <- len(s.Heartbeats()) }()
	select {
	case n := <-read:
		if n != 1 {
			t.Errorf("%d heartbeats, want 1", n)
		}
	case <-time.After(5 * time.Second):
		t.Error("a reader waits while a heartbeat is handled, so a heartbeat waits for its readers, too")
	}
}

// TestHeartbeatWithLateDigest guards against peers that count this process as dead while its owner is busy: the heartbeat waited for the
// digest of the owner, which waits for a lock behind thousands of tasks.
func TestHeartbeatWithLateDigest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _ := newService(&fakeVMList{})
		free := make(chan struct{})
		made := fleet.Digest{Capacity: resource.Vector{MilliCores: 1}}
		s.digest = func(time.Time) fleet.Digest { return made }
		if got := s.Heartbeat(time.Now()).Digest; !reflect.DeepEqual(got, made) {
			t.Errorf("digest %v, want %v", got, made)
		}
		var calls atomic.Int64
		s.digest = func(time.Time) fleet.Digest {
			calls.Add(1)
			<-free
			return fleet.Digest{Capacity: resource.Vector{MilliCores: 2}}
		}
		go func() {
			time.Sleep(10 * time.Second)
			close(free)
		}()
		for range 3 {
			start := time.Now()
			if got := s.Heartbeat(start).Digest; !reflect.DeepEqual(got, made) {
				t.Errorf("digest %v while the owner is busy, want the last one, %v", got, made)
			}
			if took := time.Since(start); took > 200*time.Millisecond {
				t.Errorf("heartbeat made after %v, want at most 200 ms", took)
			}
		}
		if n := calls.Load(); n != 1 {
			t.Errorf("%d digests are waited for at once, want 1", n)
		}
		time.Sleep(11 * time.Second)
		if got := s.Heartbeat(time.Now()).Digest.Capacity.MilliCores; got != 2 {
			t.Errorf("capacity %d in the digest once the owner is free, want 2", got)
		}
	})
}

// TestHeartbeatsOfLivePeers guards against heartbeats of dead peers, and outdated ones, in the choice of owners.
func TestHeartbeatsOfLivePeers(t *testing.T) {
	s, _ := newService(&fakeVMList{})
	check := func(when string, want ...port.Heartbeat) {
		t.Helper()
		if got := s.Heartbeats(); !reflect.DeepEqual(got, want) {
			t.Errorf("%s: heartbeats %v, want %v", when, got, want)
		}
	}
	b := port.Heartbeat{Peer: membership.Peer{ID: "b", Incarnation: 2}}
	c := port.Heartbeat{Peer: membership.Peer{ID: "c"}}
	start := time.Unix(100, 0)
	check("at the start")
	s.HeartbeatReceived(start, c)
	s.HeartbeatReceived(start, b)
	check("two peers", b, c)
	s.HeartbeatReceived(start, port.Heartbeat{Peer: membership.Peer{ID: "b", Incarnation: 1}})
	check("after one of an earlier incarnation", b, c)
	b.Peer.Revision = 7
	s.HeartbeatReceived(start.Add(2*time.Second), b)
	check("after a later one", b, c)
	s.timerFired(start.Add(4*time.Second), start.Add(4*time.Second))
	check("one peer dead", b)
	for i := range 3 {
		s.HeartbeatReceived(start.Add(time.Duration(4+i)*time.Second), c)
	}
	check("alive again", b, c)
	s.timerFired(start.Add(20*time.Second), start.Add(20*time.Second))
	check("none alive")
}

// TestLateTimers guards against a process on an overloaded machine that considers its peers dead: all of its timers
// fire late, and heartbeats of its peers are not read in time.
func TestLateTimers(t *testing.T) {
	s, _ := newService(&fakeVMList{})
	now := time.Unix(100, 0)
	s.HeartbeatReceived(now, port.Heartbeat{Peer: membership.Peer{ID: "b"}})
	for range 10 {
		due := now.Add(100 * time.Millisecond)
		now = due.Add(500 * time.Millisecond)
		s.timerFired(now, due)
	}
	if !s.members.Alive("b") {
		t.Errorf("a peer counts as dead 6 s after its heartbeat, although the process was running for only 1 s of them")
	}
	if want := 5 * time.Second; s.SchedulingDelay() != want {
		t.Errorf("scheduling delay %v; want %v", s.SchedulingDelay(), want)
	}
	for range 21 {
		now = now.Add(100 * time.Millisecond)
		s.timerFired(now, now)
	}
	if s.members.Alive("b") {
		t.Error("a peer without heartbeats is alive after 3 s during which the process was running")
	}
}

// TestConnections guards against missing and stale connections: a peer whose address changes must be dialed at the new
// one, a live peer that leaves the VM list must stay connected until its heartbeats stop, and a process in the settings
// must be dialed even if it is not in the VM list.
func TestConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		vms := &fakeVMList{}
		vms.set(port.VM{ID: "b", Role: port.RoleEntry, Address: "first"})
		s, dir := newService(vms, port.VM{ID: "c", Role: port.RoleEntry, Address: "seed"})
		ctx, cancel := context.WithCancel(t.Context())
		byPeer := map[ident.ProcessID]*connector{"b": {}, "c": {}}
		go dir.Run(ctx)
		go s.Run(ctx, pause.Until)
		done := make(chan struct{})
		go func() { defer close(done); s.RunConnections(ctx, connectors(byPeer)) }()
		expect := func(after time.Duration, peer ident.ProcessID, want string) {
			t.Helper()
			time.Sleep(after)
			if got, _ := byPeer[peer].address.Load().(string); got != want {
				t.Errorf("connection to %s has address %q; want %q", peer, got, want)
			}
		}
		expect(time.Second, "b", "first")
		expect(0, "c", "seed")
		vms.set(port.VM{ID: "b", Role: port.RoleEntry, Address: "second"})
		expect(3*time.Second, "b", "second")
		s.HeartbeatReceived(time.Now(), port.Heartbeat{Peer: membership.Peer{ID: "b"}})
		vms.set()
		expect(2500*time.Millisecond, "b", "second")
		expect(3*time.Second, "b", "")
		cancel()
		<-done
	})
}

type connectors map[ident.ProcessID]*connector

func (c connectors) Connect(ctx context.Context, peer ident.ProcessID, address string) {
	c[peer].Connect(ctx, peer, address)
}
