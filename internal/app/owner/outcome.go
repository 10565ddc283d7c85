package owner

import (
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/timeline"
	"skylarkstall/internal/domain/work"
	"skylarkstall/internal/fault"
)

// adoptRunning adopts an attempt that was running when this process claimed the worker.
func (s *Service) adoptRunning(worker ident.WorkerID, running work.RunningAttempt) {
	a := adoptedAttempt(work.AttemptID{Task: running.Task, Attempt: running.Attempt}, running.Kind, worker)
	s.addAttempt(a)
	s.heldAttempts.Adopt(running.Task, running.Attempt, worker)
	s.recordEvent(timeline.TakenOver, running.Task, worker, "")
}

// adoptEnded adopts an attempt that had ended when this process claimed the worker. No sync will deliver its outcome.
func (s *Service) adoptEnded(m *workerManager, outcome work.Outcome) {
	id := outcome.ID()
	m.worker.OutcomeReceived(time.Now(), id, false)
	s.mu.Lock()
	_, known := s.attempts[id]
	s.mu.Unlock()
	if !known {
		a := adoptedAttempt(id, "", m.id)
		s.addAttempt(a)
		s.heldAttempts.Adopt(id.Task, id.Attempt, m.id)
		s.finish(a, outcome, nil)
	}
	s.reporter.add(outcome)
}

// recordOutcome handles the outcome of an attempt: it frees the capacity, and passes the outcome to the call that
// placed the attempt. The outcome of an attempt for which no call waits here is reported to its home.
func (s *Service) recordOutcome(m *workerManager, outcome work.Outcome) {
	id := outcome.ID()
	if m.worker.Evicted(id) && outcome.Message == work.StoppedMessage {
		outcome.Message = work.EvictedMessage
	}
	s.recordEvent(timeline.Finished, outcome.Task, m.id, outcome.Message)
	s.mu.Lock()
	a, ok := s.attempts[id]
	s.mu.Unlock()
	m.worker.OutcomeReceived(time.Now(), id, ok && a.repeatable)
	m.worker.Release(outcome.Task, outcome.Attempt)
	s.fleet.Finish(outcome)
	if ok {
		s.recordHealth(m, a.kind, outcome)
		s.finish(a, outcome, a.preemptionError(outcome))
	}
	if !ok || a.isAdopted() {
		s.reporter.add(outcome)
	}
}

// allowAcknowledgement records that the home has received the outcome, so that the worker may drop it. This process
// keeps it for a while, because the home may still be asking the owners what they hold of its partition.
func (s *Service) allowAcknowledgement(id work.AttemptID) {
	for _, m := range s.allManagers() {
		if m.worker.OutcomeDelivered(id) {
			return
		}
	}
}

// acknowledgeOutcome records that the home has completed the task and will not ask for its outcome again.
func (s *Service) acknowledgeOutcome(task ident.TaskID) {
	held, ok := s.heldAttempts.Find(task)
	if !ok || !held.Ended {
		return
	}
	s.allowAcknowledgement(work.AttemptID{Task: task, Attempt: held.Attempt})
	if a := s.findAttempt(task); a != nil {
		s.removeAttempt(a)
	}
}

// findAttempt returns the attempt of the task that this process holds, or nil.
func (s *Service) findAttempt(task ident.TaskID) *attempt {
	found, ok := s.heldAttempts.Find(task)
	if !ok {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.attempts[work.AttemptID{Task: task, Attempt: found.Attempt}]
}

// loseAttempt ends an attempt on a worker whose control lease this process has lost.
func (s *Service) loseAttempt(task ident.TaskID, worker ident.WorkerID) {
	a := s.findAttempt(task)
	if a != nil && a.endOn(worker, fault.New(fault.Interrupted, "the control lease of worker %s was lost", worker)) {
		s.dispatch(s.fleet.Forget(time.Now(), task))
		s.removeAttempt(a)
	}
}

// finish ends the attempt. Its outcome is kept for a while, for a home that lost the response. An error is not kept,
// because then no owner holds the attempt, or another one does.
func (s *Service) finish(a *attempt, outcome work.Outcome, err error) {
	if !a.end(outcome, err) {
		return
	}
	if err != nil {
		s.dispatch(s.fleet.Forget(time.Now(), a.id.Task))
		s.removeAttempt(a)
		return
	}
	s.heldAttempts.MarkEnded(a.id.Task, a.id.Attempt)
	retention := nonRepeatableRetention
	if a.repeatable {
		retention = resultRetention
	}
	time.AfterFunc(retention, func() { s.removeAttempt(a) })
}

func (s *Service) removeAttempt(a *attempt) {
	s.heldAttempts.Remove(a.id.Task, a.id.Attempt)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.attempts[a.id] == a {
		delete(s.attempts, a.id)
	}
}

// addAttempt makes calls with the same id find this attempt.
func (s *Service) addAttempt(a *attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attempts[a.id] = a
}
