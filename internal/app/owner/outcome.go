package owner

import (
	"context"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/timeline"
	"skylarkstall/internal/domain/work"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/port"
)

// reportTimeout bounds the report of an adopted attempt to its home.
const reportTimeout = 2 * time.Second

// adopt holds an attempt that was running when this process claimed the worker.
func (s *Service) adopt(worker ident.WorkerID, running work.Running) {
	a := newAttempt(running.Task, running.Attempt, running.Size)
	a.worker, a.adopted, a.keep = worker, true, true
	s.mu.Lock()
	s.pending[running.Task] = a
	s.mu.Unlock()
	s.holdings.Adopt(running.Task, running.Attempt, worker)
	s.record(timeline.TakenOver, running.Task, worker, "")
}

// ended takes an outcome: the capacity goes to waiting tasks, and the goroutine that placed the attempt gets the outcome.
// It returns whether the worker must keep the outcome until the home settles it.
func (s *Service) ended(k *keeper, outcome work.Outcome) bool {
	s.record(timeline.Finished, outcome.Task, k.id, outcome.Message)
	k.worker.Release(outcome.Task, outcome.Attempt)
	s.fleet.Finished(outcome)
	s.refresh(k)
	a := s.adoptOutcome(k.id, outcome)
	if a == nil {
		return false
	}
	yielded := a.yielded(outcome)
	s.finish(a, outcome, yielded)
	if a.adopted {
		go s.report(outcome) // the control lease is renewed meanwhile
	}
	return yielded == nil && a.unsettled()
}

// report tells the home of an attempt that it did not place here.
func (s *Service) report(outcome work.Outcome) {
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	home := s.Members.Home(outcome.Task.Work.Partition())
	err := s.Peers.Report(ctx, home, port.Report{Process: s.Self, Ended: []work.Outcome{outcome}})
	if err != nil {
		s.Log.Info("outcome not reported", "task", outcome.Task.String(), "home", home, "error", err)
	}
}

// lost ends an attempt whose worker this process no longer holds.
func (s *Service) lost(task ident.TaskID, worker ident.WorkerID) {
	s.mu.Lock()
	a, ok := s.pending[task]
	s.mu.Unlock()
	if ok && a.on() == worker {
		s.finish(a, work.Outcome{}, fault.New(fault.Interrupted, "the control lease of worker %s was lost", worker))
	}
}
