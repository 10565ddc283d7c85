// Package owner runs the workers that this process owns: one goroutine for each worker keeps its control lease and
// takes its outcomes, and the goroutine that brings a task places it.
package owner

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"skylarkstall/internal/app/directory"
	"skylarkstall/internal/domain/fleet"
	"skylarkstall/internal/domain/health"
	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/membership"
	"skylarkstall/internal/domain/reservation"
	"skylarkstall/internal/domain/resource"
	"skylarkstall/internal/domain/tenure"
	"skylarkstall/internal/domain/timeline"
	"skylarkstall/internal/domain/work"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/notify"
	"skylarkstall/internal/port"
)

// Times of ownership.
const (
	// ControlLease is how long a worker stays with a silent owner.
	ControlLease = 6 * time.Second
	// SyncWait is how long a sync waits for outcomes; the control lease is renewed at least this often.
	SyncWait = 2 * time.Second
	// TaskLease is how long a worker's tasks go on without an owner.
	TaskLease = 30 * time.Second
	// TaskLeaseBound is when tasks have certainly stopped after the last renewal that may have arrived: the task lease,
	// 2% for clocks that run at different rates, and 1 s for the worker to notice.
	TaskLeaseBound = TaskLease + TaskLease/50 + time.Second
)

// Config is what the service needs.
type Config struct {
	Self              ident.ProcessID
	Membership        *membership.Membership
	LiveChanged       func() <-chan struct{} // closed when the set of live processes next changes
	Directory         *directory.Directory
	Dialer            port.WorkerDialer
	Peers             port.Peers
	Heartbeats        func() []port.Heartbeat // the last heartbeat of each live peer
	Policy            fleet.Policy
	Quota             func(ident.TeamID) resource.Vector // what falls to this process of a team's quota; zero for none
	Health            *health.Tracker
	RetryLimiter      *rate.Limiter // budget of this process for further placements of refused or failed attempts
	TerminationNotice time.Duration // how long tasks on a leaving worker may go on; at least 0
	Recorder          *timeline.Recorder
	Log               *slog.Logger
}

// Service owns workers and places tasks on them.
type Service struct {
	Config
	fleet    *fleet.Fleet
	holdings *tenure.HeldAttempts
	reporter *reporter
	released notify.Broadcast // a worker is no longer owned
	gone     atomic.Bool      // the process stops at once and gives nothing back

	reservations *reservation.Table
	reserved     notify.Broadcast // room was reserved

	mu      sync.Mutex
	keepers map[ident.WorkerID]*keeper
	pending map[work.AttemptID]*attempt
}

// New returns a service that owns nothing yet.
func New(config Config) *Service {
	s := &Service{
		Config: config, fleet: fleet.New(config.Policy), holdings: tenure.New(),
		reservations: reservation.NewTable(),
		keepers:      map[ident.WorkerID]*keeper{}, pending: map[work.AttemptID]*attempt{},
	}
	s.reporter = newReporter(s)
	return s
}

// kept is a running keeper.
type kept struct {
	*keeper
	cancel context.CancelFunc
}

// vanishedCheck is how often workers that the VM list no longer has are looked at.
const vanishedCheck = 5 * time.Second

// Run keeps one goroutine for each worker of the VM list until the context ends.
func (s *Service) Run(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	running.Go(func() { s.reporter.Run(ctx) })
	running.Go(func() { s.expireReservations(ctx) })
	running.Go(func() { s.rebalance(ctx) })
	current := map[ident.WorkerID]kept{}
	for ctx.Err() == nil {
		changed := s.Directory.Changed()
		listed := map[ident.WorkerID]bool{}
		for _, vm := range s.Directory.VMs(port.RoleWorker) {
			id := ident.WorkerID(vm.ID)
			listed[id] = true
			known, ok := current[id]
			if ok && known.address != vm.Address {
				known.cancel()
				ok = false
			}
			if !ok {
				keeperCtx, cancel := context.WithCancel(ctx)
				known = kept{s.addKeeper(vm), cancel}
				current[id] = known
				running.Go(func() { known.Run(keeperCtx) })
			}
			known.listed(vm.Leaving)
		}
		s.dropVanished(current, listed)
		timer := time.NewTimer(vanishedCheck)
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
	for _, k := range current {
		k.cancel()
	}
}

// dropVanished ends the keepers of workers that the VM list no longer has. The list does not say when a VM stopped,
// so a worker on which this process has tasks is kept, as one that leaves, until they have ended or it is out of
// reach.
func (s *Service) dropVanished(current map[ident.WorkerID]kept, listed map[ident.WorkerID]bool) {
	now := time.Now()
	for id, k := range current {
		if listed[id] {
			continue
		}
		k.listed(true)
		if _, unreachable := k.standing(now); !unreachable && k.worker.Snapshot(now).Tasks > 0 {
			continue
		}
		k.cancel()
		delete(current, id)
		s.removeKeeper(k.keeper)
	}
}

func (s *Service) addKeeper(vm port.VM) *keeper {
	k := newKeeper(s, vm)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keepers[k.id] = k
	return k
}

func (s *Service) removeKeeper(k *keeper) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.keepers[k.id] == k {
		delete(s.keepers, k.id)
	}
}

func (s *Service) keeper(id ident.WorkerID) (*keeper, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k, ok := s.keepers[id]
	if !ok {
		return nil, fault.New(fault.StaleEpoch, "worker %s is not in the VM list", id)
	}
	return k, nil
}

func (s *Service) allKeepers() []*keeper {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]*keeper, 0, len(s.keepers))
	for _, k := range s.keepers {
		all = append(all, k)
	}
	return all
}

// Digest returns the summary of the owned workers and the queue.
func (s *Service) Digest(now time.Time) fleet.Digest { return s.fleet.Digest(now) }

// Shapes returns the capacities of the owned workers, at most fleet.MaxShapes different ones.
func (s *Service) Shapes() []fleet.Shape {
	var shapes []fleet.Shape
	now := time.Now()
	for _, k := range s.allKeepers() {
		snap := k.worker.Snapshot(now)
		if !snap.LeaseHeld {
			continue
		}
		i := slices.IndexFunc(shapes, func(shape fleet.Shape) bool { return shape.Capacity == snap.Capacity })
		switch {
		case i >= 0:
			shapes[i].Count++
		case len(shapes) < fleet.MaxShapes:
			shapes = append(shapes, fleet.Shape{Capacity: snap.Capacity, Count: 1})
		}
	}
	return shapes
}

// HandleTakeHome makes the caller the home of the partition and tells what this process holds of it. A worker counts
// as owned only if it was owned under one epoch all the while: otherwise its tasks may have been read too early or
// too late.
func (s *Service) HandleTakeHome(_ context.Context, call port.TakeHome) (port.TakeHomeReply, error) {
	before, _ := s.owned()
	highest, tasks := s.holdings.TakeHome(call.Partition, call.Home)
	held := port.TakeHomeReply{HighestEpoch: highest}
	if call.Home.Less(highest) {
		return held, nil
	}
	for _, t := range tasks {
		held.Tasks = append(held.Tasks, port.HeldAttempt{Task: t.ID, Attempt: t.Attempt, Worker: t.Worker})
	}
	after, unreachable := s.owned()
	for id, epoch := range after {
		if before[id] == epoch {
			held.Workers = append(held.Workers, id)
		}
	}
	held.Unreachable = unreachable
	return held, nil
}

// owned returns the epochs of the owned workers, and the workers on which nothing can run because they are out of
// reach.
func (s *Service) owned() (epochs map[ident.WorkerID]ident.Epoch, unreachable []ident.WorkerID) {
	now := time.Now()
	epochs = map[ident.WorkerID]ident.Epoch{}
	for _, k := range s.allKeepers() {
		switch tenure, lost := k.standing(now); {
		case tenure != 0:
			epochs[k.id] = tenure
		case lost:
			unreachable = append(unreachable, k.id)
		}
	}
	return epochs, unreachable
}

// AwaitReleased waits until this process owns only workers that no other process could own. It returns false if the
// context ends before.
func (s *Service) AwaitReleased(ctx context.Context) bool {
	for {
		released := s.released.Changed()
		if !s.ownsForeign() {
			return true
		}
		select {
		case <-released:
		case <-ctx.Done():
			return false
		}
	}
}

func (s *Service) ownsForeign() bool {
	for _, k := range s.allKeepers() {
		if tenure, _ := k.standing(time.Now()); tenure != 0 && !k.mine() {
			return true
		}
	}
	return false
}

// SkipRelease makes the process keep the control leases when it stops, as when it is killed.
func (s *Service) SkipRelease() { s.gone.Store(true) }

// HandleSettle notes that the home has seen the tasks through.
func (s *Service) HandleSettle(_ context.Context, tasks []ident.TaskID) error {
	for _, task := range tasks {
		s.settled(task)
	}
	return nil
}

// Status returns the state of the owned workers.
func (s *Service) Status(now time.Time) []port.WorkerStatus {
	var out []port.WorkerStatus
	for _, k := range s.allKeepers() {
		snap := k.worker.Snapshot(now)
		if snap.Epoch == 0 {
			continue
		}
		out = append(out, port.WorkerStatus{
			Row: fleet.WorkerView{
				Worker: snap.ID, Zone: snap.Zone, Rack: snap.Rack, Capacity: snap.Capacity, Free: snap.Free,
			},
			Epoch: snap.Epoch, Running: snap.Tasks, Usable: snap.Usable,
		})
	}
	return out
}

func (s *Service) record(kind timeline.Kind, task ident.TaskID, worker ident.WorkerID, detail string) {
	event := timeline.Event{Kind: kind, Work: task.Work, Worker: worker, Detail: detail}
	if task.Index > 0 {
		event.Task = task.String()[len(task.Work.String()):]
	}
	s.Recorder.Record(time.Now(), event)
}
