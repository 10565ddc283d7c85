package owner

import (
	"context"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/resource"
	"skylarkstall/internal/domain/work"
)

// keepUnsettled is how long an outcome is held for its home. It is longer than a home keeps a request: at most 10 min of
// deadline and 15 min after it.
const keepUnsettled = 30 * time.Minute

// adoptOutcome holds an outcome that the worker kept for a former owner, until its home settles it. It returns nil when a
// later attempt of the task is held.
func (s *Service) adoptOutcome(worker ident.WorkerID, outcome work.Outcome) *attempt {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch held, ok := s.pending[outcome.Task]; {
	case ok && held.number == outcome.Attempt:
		return held
	case ok && held.number > outcome.Attempt:
		return nil
	}
	a := newAttempt(outcome.Task, outcome.Attempt, resource.Vector{})
	a.worker, a.adopted, a.keep = worker, true, true
	s.pending[outcome.Task] = a
	s.holdings.Adopt(outcome.Task, outcome.Attempt, worker)
	return a
}

// HandleSettle lets the workers and this process forget the outcomes of the tasks. Their home has them for good.
func (s *Service) HandleSettle(_ context.Context, tasks []ident.TaskID) error {
	for _, task := range tasks {
		s.mu.Lock()
		a, ok := s.pending[task]
		s.mu.Unlock()
		if ok {
			s.settle(a)
		}
	}
	return nil
}

// settle forgets the outcome of an attempt, after a while for a home whose call broke off.
func (s *Service) settle(a *attempt) {
	if !a.settle() {
		return
	}
	s.holdings.Drop(a.task, a.number)
	time.AfterFunc(keepResult, func() { s.forget(a) })
	if k, err := s.keeper(a.on()); err == nil {
		k.acknowledge(a.task)
	}
}

// acknowledge lets the worker forget the outcome at the next sync.
func (k *keeper) acknowledge(task ident.TaskID) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.settled = append(k.settled, task)
}

func (k *keeper) takeSettled() []ident.TaskID {
	k.mu.Lock()
	defer k.mu.Unlock()
	settled := k.settled
	k.settled = nil
	return settled
}
