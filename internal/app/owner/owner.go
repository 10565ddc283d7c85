// Package owner manages the workers that this process owns and places tasks on them: one goroutine per worker holds its
// control lease and receives its outcomes, and the goroutine that handles a call to run a task places it.
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

// Durations of leases.
const (
	// ControlLease is how long a worker stays with an owner that does not renew.
	ControlLease = 6 * time.Second
	// SyncWait is how long a sync waits for outcomes; the control lease is renewed at least this often.
	SyncWait = 2 * time.Second
	// TaskLease is how long a worker's tasks continue without an owner.
	TaskLease = 30 * time.Second
	// TaskLeaseBound is the time after the last renewal that may have arrived at which tasks have certainly stopped:
	// the task lease, plus 2% for clocks that run at different rates, plus 1 s for the worker to react.
	TaskLeaseBound = TaskLease + TaskLease/50 + time.Second
)

// Config holds the settings and dependencies of a Service.
type Config struct {
	Self              ident.ProcessID
	Membership        *membership.Membership
	LiveChanged       func() <-chan struct{} // closed when the set of live processes next changes
	Directory         *directory.Directory
	Dialer            port.WorkerDialer
	Peers             port.Peers
	Heartbeats        func() []port.Heartbeat // the last heartbeat of each live peer
	Policy            fleet.Policy
	Quota             func(ident.TeamID) resource.Vector // this process's part of a team's quota; zero for none
	Health            *health.Tracker
	RetryLimiter      *rate.Limiter // limits retries of refused or failed placements in this process
	TerminationNotice time.Duration // how long tasks on a draining worker may continue; at least 0
	Recorder          *timeline.Recorder
	Log               *slog.Logger
}

// Service owns workers and places tasks on them.
type Service struct {
	Config
	fleet        *fleet.Fleet
	heldAttempts *tenure.HeldAttempts
	reporter     *reporter
	released     notify.Broadcast // signaled when a worker is no longer owned
	skipRelease  atomic.Bool      // stop without releasing the control leases

	reservations     *reservation.Table
	reservationAdded notify.Broadcast // signaled when a reservation was added

	mu       sync.Mutex
	managers map[ident.WorkerID]*workerManager
	attempts map[work.AttemptID]*attempt
}

// New returns a service that owns no workers yet.
func New(config Config) *Service {
	s := &Service{
		Config: config, fleet: fleet.New(config.Policy), heldAttempts: tenure.New(),
		reservations: reservation.NewTable(),
		managers:     map[ident.WorkerID]*workerManager{}, attempts: map[work.AttemptID]*attempt{},
	}
	s.reporter = newReporter(s)
	return s
}

// runningManager is a worker manager with the function that stops it.
type runningManager struct {
	*workerManager
	cancel context.CancelFunc
}

// unlistedCheckInterval is how often workers that are no longer in the VM list are checked.
const unlistedCheckInterval = 5 * time.Second

// Run manages each worker of the VM list in its own goroutine until the context ends.
func (s *Service) Run(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	running.Go(func() { s.reporter.Run(ctx) })
	running.Go(func() { s.expireReservations(ctx) })
	running.Go(func() { s.rebalance(ctx) })
	current := map[ident.WorkerID]runningManager{}
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
				managerCtx, cancel := context.WithCancel(ctx)
				known = runningManager{s.addManager(vm), cancel}
				current[id] = known
				running.Go(func() { known.Run(managerCtx) })
			}
			known.updateListed(vm.Draining)
		}
		s.removeUnlisted(current, listed)
		timer := time.NewTimer(unlistedCheckInterval)
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
	for _, m := range current {
		m.cancel()
	}
}

// removeUnlisted stops the managers of workers that are no longer in the VM list. The list does not say when such a
// VM stops, so a worker with tasks of this process stays managed, as a draining one, until they have ended or it
// has been unreachable for the task lease bound.
func (s *Service) removeUnlisted(current map[ident.WorkerID]runningManager, listed map[ident.WorkerID]bool) {
	now := time.Now()
	for id, m := range current {
		if listed[id] {
			continue
		}
		m.updateListed(true)
		if _, unreachable := m.ownership(now); !unreachable && m.worker.Snapshot(now).Tasks > 0 {
			continue
		}
		m.cancel()
		delete(current, id)
		s.removeManager(m.workerManager)
	}
}

func (s *Service) addManager(vm port.VM) *workerManager {
	m := newWorkerManager(s, vm)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.managers[m.id] = m
	return m
}

func (s *Service) removeManager(m *workerManager) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.managers[m.id] == m {
		delete(s.managers, m.id)
	}
}

func (s *Service) manager(id ident.WorkerID) (*workerManager, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m, ok := s.managers[id]
	if !ok {
		return nil, fault.New(fault.StaleEpoch, "worker %s is not in the VM list", id)
	}
	return m, nil
}

func (s *Service) allManagers() []*workerManager {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]*workerManager, 0, len(s.managers))
	for _, m := range s.managers {
		all = append(all, m)
	}
	return all
}

// Digest returns the summary of the owned workers and the queue.
func (s *Service) Digest(now time.Time) fleet.Digest { return s.fleet.Digest(now) }

// Shapes returns the distinct capacities of the owned workers, at most fleet.MaxShapes, with the number of workers of
// each.
func (s *Service) Shapes() []fleet.Shape {
	var shapes []fleet.Shape
	now := time.Now()
	for _, m := range s.allManagers() {
		snap := m.worker.Snapshot(now)
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

// HandleTakeHome makes the caller the home of the partition and returns what this process holds of it. A worker is
// reported as owned only if it was owned under the same epoch before and after its tasks were read; otherwise the tasks
// may be incomplete or outdated.
func (s *Service) HandleTakeHome(_ context.Context, call port.TakeHome) (port.TakeHomeReply, error) {
	before, _ := s.ownedWorkers()
	highest, tasks := s.heldAttempts.TakeHome(call.Partition, call.Home)
	held := port.TakeHomeReply{HighestEpoch: highest}
	if call.Home.Less(highest) {
		return held, nil
	}
	for _, t := range tasks {
		held.Tasks = append(held.Tasks, port.HeldAttempt{Task: t.ID, Attempt: t.Attempt, Worker: t.Worker})
	}
	after, unreachable := s.ownedWorkers()
	for id, epoch := range after {
		if before[id] == epoch {
			held.Workers = append(held.Workers, id)
		}
	}
	held.Unreachable = unreachable
	return held, nil
}

// ownedWorkers returns the epochs of the owned workers, and the workers that have been unreachable for so long that no
// task can be running on them.
func (s *Service) ownedWorkers() (epochs map[ident.WorkerID]ident.Epoch, unreachable []ident.WorkerID) {
	now := time.Now()
	epochs = map[ident.WorkerID]ident.Epoch{}
	for _, m := range s.allManagers() {
		switch epoch, lost := m.ownership(now); {
		case epoch != 0:
			epochs[m.id] = epoch
		case lost:
			unreachable = append(unreachable, m.id)
		}
	}
	return epochs, unreachable
}

// AwaitReleased waits until this process owns no worker that another process should own. It returns false if the
// context ends first.
func (s *Service) AwaitReleased(ctx context.Context) bool {
	for {
		released := s.released.Changed()
		if !s.ownsReassignedWorker() {
			return true
		}
		select {
		case <-released:
		case <-ctx.Done():
			return false
		}
	}
}

func (s *Service) ownsReassignedWorker() bool {
	for _, m := range s.allManagers() {
		if epoch, _ := m.ownership(time.Now()); epoch != 0 && !m.shouldOwn() {
			return true
		}
	}
	return false
}

// SkipRelease makes the process keep its control leases when it stops, as if it were killed.
func (s *Service) SkipRelease() { s.skipRelease.Store(true) }

// HandleAckOutcomes records that the home has completed the tasks.
func (s *Service) HandleAckOutcomes(_ context.Context, tasks []ident.TaskID) error {
	for _, task := range tasks {
		s.acknowledgeOutcome(task)
	}
	return nil
}

// Status returns the state of the owned workers.
func (s *Service) Status(now time.Time) []port.WorkerStatus {
	var out []port.WorkerStatus
	for _, m := range s.allManagers() {
		snap := m.worker.Snapshot(now)
		if snap.Epoch == 0 {
			continue
		}
		out = append(out, port.WorkerStatus{
			View: fleet.WorkerView{
				Worker: snap.ID, Zone: snap.Zone, Rack: snap.Rack, Capacity: snap.Capacity, Free: snap.Free,
			},
			Epoch: snap.Epoch, Running: snap.Tasks, Usable: snap.Usable,
		})
	}
	return out
}

func (s *Service) recordEvent(kind timeline.Kind, task ident.TaskID, worker ident.WorkerID, detail string) {
	event := timeline.Event{Kind: kind, Work: task.Work, Worker: worker, Detail: detail}
	if task.Index > 0 {
		event.Task = task.String()[len(task.Work.String()):]
	}
	s.Recorder.Record(time.Now(), event)
}
