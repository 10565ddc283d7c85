package scheduler

import (
	"iter"
	"maps"
	"slices"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/pool"
	"skylarkstall/internal/domain/workflow"
)

// workerRoster lists the workers that may get runs: those that are recorded and not cordoned. It is made again when that changes.
type workerRoster struct {
	workers []allowedWorker // by their positions in free
	free    *pool.Roster
	byRack  map[string][]*workerMonitor // all workers that the leader knows
	scanned bool                        // all workers were looked through for releases that the former roster may have noted
}

// putMonitor adds the monitor of a worker, or replaces it. The lock is held.
func (s *Scheduler) putMonitor(id ident.WorkerID, m *workerMonitor) {
	m.worker.SetToken(s.term.Token)
	s.assignKind(m.worker)
	s.stopObserving(id)
	s.monitors[id], s.roster = m, nil
	m.worker.SetObserver(s.observer)
}

// removeMonitor removes a worker and what is recorded of it. The lock is held.
func (s *Scheduler) removeMonitor(id ident.WorkerID) {
	s.stopObserving(id)
	delete(s.monitors, id)
	s.roster = nil
	s.unrecord(id)
}

// stopObserving takes what runs on a worker out of the use of accounts. The lock is held.
func (s *Scheduler) stopObserving(id ident.WorkerID) {
	if m := s.monitors[id]; m != nil {
		m.worker.SetObserver(nil)
	}
}

// setRecorded notes that a worker is recorded, and whether it may get runs. The lock is held.
func (s *Scheduler) setRecorded(id ident.WorkerID, schedulable bool) {
	if known, ok := s.recorded[id]; !ok || known != schedulable {
		s.recorded[id], s.roster = schedulable, nil
	}
}

// unrecord notes that a worker is not recorded any more. The lock is held.
func (s *Scheduler) unrecord(id ident.WorkerID) {
	if _, ok := s.recorded[id]; ok {
		delete(s.recorded, id)
		s.roster = nil
	}
}

// currentRoster returns the roster of the workers that may get runs. The lock is held.
func (s *Scheduler) currentRoster() *workerRoster {
	if s.roster != nil {
		return s.roster
	}
	s.roster = &workerRoster{byRack: map[string][]*workerMonitor{}}
	var workers []*pool.Worker
	for id, m := range s.monitors {
		s.roster.byRack[m.worker.Rack()] = append(s.roster.byRack[m.worker.Rack()], m)
		if s.recorded[id] {
			m.roster = s.roster
			s.roster.workers = append(s.roster.workers, allowedWorker{monitor: m})
			workers = append(workers, m.worker)
		}
	}
	s.roster.free = pool.NewRoster(workers)
	return s.roster
}

// mayGetRuns reports whether a worker is recorded and not cordoned. The lock is held.
func (s *Scheduler) mayGetRuns(m *workerMonitor) bool { return m.roster == s.currentRoster() }

// recordedWorkers returns the workers that may get runs. The lock is held.
func (s *Scheduler) recordedWorkers() []allowedWorker { return s.currentRoster().workers }

// withRoom returns those of the recorded workers that have enough free processors for a task of the step. The lock is held.
func (s *Scheduler) withRoom(step *workflow.Step) iter.Seq[allowedWorker] {
	roster := s.currentRoster()
	return func(yield func(allowedWorker) bool) {
		for i := range roster.free.WithRoom(pool.ReservedSize(step).MilliCores) {
			if !yield(roster.workers[i]) {
				return
			}
		}
	}
}

// releasedMonitors returns the workers on which capacity may have been released since the last call. The lock is held.
func (s *Scheduler) releasedMonitors() []*workerMonitor {
	roster := s.currentRoster()
	released := roster.free.TakeReleased()
	if !roster.scanned {
		roster.scanned = true
		return slices.Collect(maps.Values(s.monitors))
	}
	monitors := make([]*workerMonitor, 0, len(released))
	for _, i := range released {
		monitors = append(monitors, roster.workers[i].monitor)
	}
	return monitors
}
