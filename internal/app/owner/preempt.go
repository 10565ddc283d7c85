package owner

import (
	"context"
	"time"

	"skylarkstall/internal/domain/fleet"
	"skylarkstall/internal/domain/work"
	"skylarkstall/internal/fault"
)

// preemptTimeout bounds the call that makes a task give way; the fleet goes on to the next action after 2 s.
const preemptTimeout = 2 * time.Second

// reclaim makes the running tasks give way that the fleet names. Each call has a goroutine of its own, because the
// goroutine that brought a request must not wait for them.
func (s *Service) reclaim(ctx context.Context) {
	for _, p := range s.fleet.SelectPreemptions(time.Now()) {
		go s.preempt(context.WithoutCancel(ctx), p)
	}
}

// preempt carries out one action. The attempt ends when the worker reports it stopped; an outcome that it reached
// before counts instead.
func (s *Service) preempt(ctx context.Context, p fleet.Preemption) {
	ctx, cancel := context.WithTimeout(ctx, preemptTimeout)
	defer cancel()
	k, err := s.keeper(p.Worker)
	if err != nil {
		return // the worker is lost, and the task with it
	}
	a := s.held(p.Task)
	if a == nil || a.id.Attempt != p.Attempt {
		return
	}
	epoch := k.worker.Snapshot(time.Now()).Epoch
	switch p.Action {
	case fleet.Checkpoint:
		a.setYielding(true)
		_, err = k.client.Checkpoint(ctx, epoch, p.Task)
	case fleet.Throttle:
		err = k.client.Throttle(ctx, epoch, p.Task, p.Limit)
	case fleet.Stop:
		a.setYielding(true)
		err = k.client.Stop(ctx, epoch, p.Task)
	}
	s.Log.Info("task gives way", "task", p.Task.String(), "worker", p.Worker, "action", p.Action.String(), "error", err)
}

// yielded returns the error that an attempt ends with when it was stopped for other work: its home places the task
// again. It returns nil for every other outcome.
func (a *attempt) yielded(outcome work.Outcome) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.yielding || outcome.OK || outcome.Message != work.StoppedMessage {
		return nil
	}
	return fault.New(fault.NoCapacity, "%s gave way to more urgent work", a.id.Task)
}

func (a *attempt) setYielding(yielding bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.yielding = yielding
}
