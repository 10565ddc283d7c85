// Package owner runs the workers that this process owns: one goroutine for each worker keeps its control lease and takes
// its outcomes, and the goroutine that brings a task places it.
package owner

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"skylarkstall/internal/app/directory"
	"skylarkstall/internal/domain/fleet"
	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/membership"
	"skylarkstall/internal/domain/tenure"
	"skylarkstall/internal/domain/timeline"
	"skylarkstall/internal/fault"
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
	Self     ident.ProcessID
	Members  *membership.Membership
	Live     func() <-chan struct{} // closed when the set of live processes next changes
	Dir      *directory.Directory
	Dialer   port.WorkerDialer
	Peers    port.Peers
	Policy   fleet.Policy
	Recorder *timeline.Recorder
	Log      *slog.Logger
}

// Service owns workers and places tasks on them.
type Service struct {
	Config
	fleet    *fleet.Fleet
	holdings *tenure.Holdings

	mu      sync.Mutex
	keepers map[ident.WorkerID]*keeper
	pending map[ident.TaskID]*attempt
}

// New returns a service that owns nothing yet.
func New(config Config) *Service {
	return &Service{
		Config: config, fleet: fleet.New(config.Policy), holdings: tenure.New(),
		keepers: map[ident.WorkerID]*keeper{}, pending: map[ident.TaskID]*attempt{},
	}
}

// Run keeps one goroutine for each worker of the VM list until the context ends.
func (s *Service) Run(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	cancels := map[ident.WorkerID]context.CancelFunc{}
	for ctx.Err() == nil {
		changed := s.Dir.Changed()
		current := map[ident.WorkerID]bool{}
		for _, vm := range s.Dir.VMs(port.RoleWorker) {
			id := ident.WorkerID(vm.ID)
			current[id] = true
			if _, ok := cancels[id]; ok {
				continue
			}
			keeperCtx, cancel := context.WithCancel(ctx)
			cancels[id] = cancel
			k := s.addKeeper(vm)
			running.Go(func() { k.Run(keeperCtx) })
		}
		for id, cancel := range cancels {
			if !current[id] {
				cancel()
				delete(cancels, id)
				s.removeKeeper(id)
			}
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
	for _, cancel := range cancels {
		cancel()
	}
}

func (s *Service) addKeeper(vm port.VM) *keeper {
	k := newKeeper(s, vm)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keepers[k.id] = k
	return k
}

func (s *Service) removeKeeper(id ident.WorkerID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.keepers, id)
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

// HandleTakeHome makes the caller the home of the partition and tells what this process holds of it.
func (s *Service) HandleTakeHome(_ context.Context, call port.TakeHome) (port.Held, error) {
	now := time.Now()
	claims := map[ident.WorkerID]int{}
	for _, k := range s.allKeepers() {
		claims[k.id], _ = k.standing(now)
	}
	highest, tasks := s.holdings.Take(call.Partition, call.Home)
	held := port.Held{Highest: highest}
	if call.Home.Less(highest) {
		return held, nil
	}
	for _, t := range tasks {
		held.Tasks = append(held.Tasks, port.HeldTask{Task: t.ID, Attempt: t.Attempt, Worker: t.Worker})
	}
	for _, k := range s.allKeepers() {
		switch claim, unreachable := k.standing(now); {
		case claim > 0 && claim == claims[k.id]: // owned all the time, so that its tasks were among those held
			held.Workers = append(held.Workers, k.id)
		case unreachable:
			held.Unreachable = append(held.Unreachable, k.id)
		}
	}
	return held, nil
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
			Row: fleet.Row{
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
