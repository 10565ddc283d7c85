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
	a.worker, a.adopted, a.started = worker, true, true
	s.mu.Lock()
	s.pending[running.Task] = a
	s.mu.Unlock()
	s.holdings.Adopt(running.Task, running.Attempt, worker)
	s.record(timeline.TakenOver, running.Task, worker, "")
}

// ended takes an outcome: the capacity goes to waiting tasks, and the goroutine that placed the attempt gets the outcome.
func (s *Service) ended(k *keeper, outcome work.Outcome) {
	s.record(timeline.Finished, outcome.Task, k.id, outcome.Message)
	k.worker.Release(outcome.Task, outcome.Attempt)
	s.fleet.Finished(outcome)
	s.refresh(k)
	s.mu.Lock()
	a, ok := s.pending[outcome.Task]
	s.mu.Unlock()
	if ok && a.number == outcome.Attempt {
		s.finish(a, outcome, a.yielded(outcome))
	}
	if !ok || a.adopted {
		s.report(outcome)
	}
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
