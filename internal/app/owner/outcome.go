package owner

import (
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/timeline"
	"skylarkstall/internal/domain/work"
	"skylarkstall/internal/fault"
)

// adopt holds an attempt that was running when this process claimed the worker.
func (s *Service) adopt(worker ident.WorkerID, running work.Running) {
	a := adoptedAttempt(work.AttemptID{Task: running.Task, Attempt: running.Attempt}, running.Kind, worker)
	s.hold(a)
	s.holdings.Adopt(running.Task, running.Attempt, worker)
	s.record(timeline.TakenOver, running.Task, worker, "")
}

// adoptEnded holds an attempt that had ended when this process claimed the worker. No sync will deliver its outcome.
func (s *Service) adoptEnded(k *keeper, outcome work.Outcome) {
	id := outcome.ID()
	k.worker.OutcomeReceived(time.Now(), id, false)
	s.mu.Lock()
	_, known := s.pending[id]
	s.mu.Unlock()
	if !known {
		a := adoptedAttempt(id, "", k.id)
		s.hold(a)
		s.holdings.Adopt(id.Task, id.Attempt, k.id)
		s.finish(a, outcome, nil)
	}
	s.reporter.add(outcome)
}

// ended takes an outcome: the capacity goes to waiting tasks, and the goroutine that placed the attempt gets the
// outcome. The home of an attempt that nobody here waits for gets a report.
func (s *Service) ended(k *keeper, outcome work.Outcome) {
	id := outcome.ID()
	if k.worker.Evicted(id) && outcome.Message == work.StoppedMessage {
		outcome.Message = work.EvictedMessage
	}
	s.record(timeline.Finished, outcome.Task, k.id, outcome.Message)
	s.mu.Lock()
	a, ok := s.pending[id]
	s.mu.Unlock()
	k.worker.OutcomeReceived(time.Now(), id, ok && a.repeatable)
	k.worker.Release(outcome.Task, outcome.Attempt)
	s.fleet.Finish(outcome)
	if ok {
		s.observe(k, a.kind, outcome)
		s.finish(a, outcome, a.yielded(outcome))
	}
	if !ok || a.isAdopted() {
		s.reporter.add(outcome)
	}
}

// taken notes that the home has the outcome, so the worker may forget it. It stays held here for a while, because the
// home may still be asking the owners what they hold of its partition.
func (s *Service) taken(id work.AttemptID) {
	for _, k := range s.allKeepers() {
		if k.worker.OutcomeSettled(id) {
			return
		}
	}
}

// settled notes that the home has seen the task through: nobody will ask for its outcome.
func (s *Service) settled(task ident.TaskID) {
	held, ok := s.holdings.Find(task)
	if !ok || !held.Ended {
		return
	}
	s.taken(work.AttemptID{Task: task, Attempt: held.Attempt})
	if a := s.held(task); a != nil {
		s.forget(a)
	}
}

// held returns the attempt of the task that this process holds, or nil.
func (s *Service) held(task ident.TaskID) *attempt {
	found, ok := s.holdings.Find(task)
	if !ok {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pending[work.AttemptID{Task: task, Attempt: found.Attempt}]
}

// lost ends an attempt whose worker this process no longer holds.
func (s *Service) lost(task ident.TaskID, worker ident.WorkerID) {
	a := s.held(task)
	if a != nil && a.endOn(worker, fault.New(fault.Interrupted, "the control lease of worker %s was lost", worker)) {
		s.dispatch(s.fleet.Forget(time.Now(), task))
		s.forget(a)
	}
}

// finish ends the attempt. Its outcome is kept for a while, for a home that lost the answer; an error is not, because
// the attempt is then held nowhere or by another owner.
func (s *Service) finish(a *attempt, outcome work.Outcome, err error) {
	if !a.end(outcome, err) {
		return
	}
	if err != nil {
		s.dispatch(s.fleet.Forget(time.Now(), a.id.Task))
		s.forget(a)
		return
	}
	s.holdings.MarkEnded(a.id.Task, a.id.Attempt)
	keep := keepOnce
	if a.repeatable {
		keep = keepResult
	}
	time.AfterFunc(keep, func() { s.forget(a) })
}

func (s *Service) forget(a *attempt) {
	s.holdings.Remove(a.id.Task, a.id.Attempt)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pending[a.id] == a {
		delete(s.pending, a.id)
	}
}

// hold makes the attempt the one that calls for its id find.
func (s *Service) hold(a *attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending[a.id] = a
}
