package owner

import (
	"context"
	"time"

	"skylarkstall/internal/domain/fleet"
	"skylarkstall/internal/domain/work"
	"skylarkstall/internal/fault"
)

// preemptTimeout limits the call for a preemption action. The fleet proceeds to the next action after 2 s.
const preemptTimeout = 2 * time.Second

// preemptSelected carries out the preemption actions that the fleet selects. Each call has its own goroutine, because
// the caller may be handling a request, which must not wait for them.
func (s *Service) preemptSelected(ctx context.Context) {
	for _, p := range s.fleet.SelectPreemptions(time.Now()) {
		go s.preempt(context.WithoutCancel(ctx), p)
	}
}

// preempt carries out one action. The attempt ends when the worker reports that it was stopped; if it reached an
// outcome before, that counts.
func (s *Service) preempt(ctx context.Context, p fleet.Preemption) {
	ctx, cancel := context.WithTimeout(ctx, preemptTimeout)
	defer cancel()
	m, err := s.manager(p.Worker)
	if err != nil {
		return // the worker is no longer managed, so its tasks are lost
	}
	a := s.findAttempt(p.Task)
	if a == nil || a.id.Attempt != p.Attempt {
		return
	}
	epoch := m.worker.Snapshot(time.Now()).Epoch
	switch p.Action {
	case fleet.Checkpoint:
		a.setPreempted(true)
		_, err = m.client.Checkpoint(ctx, epoch, p.Task)
	case fleet.Throttle:
		err = m.client.Throttle(ctx, epoch, p.Task, p.Limit)
	case fleet.Stop:
		a.setPreempted(true)
		err = m.client.Stop(ctx, epoch, p.Task)
	}
	s.Log.Info("preemption requested",
		"task", p.Task.String(), "worker", p.Worker, "action", p.Action.String(), "error", err)
}

// preemptionError returns the error with which an attempt ends that was stopped by preemption, so that its home places
// the task again. It returns nil for every other outcome.
func (a *attempt) preemptionError(outcome work.Outcome) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.preempted || outcome.OK || outcome.Message != work.StoppedMessage {
		return nil
	}
	return fault.New(fault.NoCapacity, "%s was preempted for more urgent tasks", a.id.Task)
}

func (a *attempt) setPreempted(preempted bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.preempted = preempted
}
