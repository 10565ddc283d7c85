package owner

import (
	"context"
	"time"

	"skylarkstall/internal/domain/fleet"
	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/timeline"
	"skylarkstall/internal/domain/work"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/pause"
	"skylarkstall/internal/port"
)

const (
	// startExpiry is how long after it was sent a worker may act on a start. Half the control lease: a start that was
	// delayed longer comes from an owner that may have lost the worker.
	startExpiry = ControlLease / 2
	// maxPlacements is how often one call is placed again after the view was wrong.
	maxPlacements = 4
	// keepResult is how long the result of an attempt is kept for a home that lost the answer.
	keepResult = time.Minute
)

// HandlePlace runs one attempt and returns its outcome. The same attempt placed again waits for the first.
func (s *Service) HandlePlace(ctx context.Context, call port.Place) (work.Outcome, error) {
	a, fresh, err := s.hold(call)
	if err != nil {
		return work.Outcome{}, err
	}
	if fresh {
		s.run(ctx, a, call.Spec)
	}
	select {
	case <-a.done:
		return a.result()
	case <-ctx.Done():
		return work.Outcome{}, fault.As(fault.Interrupted, ctx.Err(), "place")
	}
}

// hold returns the attempt of the call, and whether it is new to this process.
func (s *Service) hold(call port.Place) (*attempt, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	task := call.Spec.ID
	if a, ok := s.pending[task]; ok && a.number == call.Spec.Attempt {
		return a, false, nil
	}
	if call.Attach {
		return nil, false, fault.New(fault.NotFound, "attempt %d of %s is not held here", call.Spec.Attempt, task)
	}
	if err := s.holdings.Admit(call.Home, task, call.Spec.Attempt); err != nil {
		return nil, false, err
	}
	a := newAttempt(task, call.Spec.Attempt, call.Spec.Size)
	a.keep = !call.Spec.Repeatable
	s.pending[task] = a
	return a, true, nil
}

// run places the attempt and waits until it runs or has ended.
func (s *Service) run(ctx context.Context, a *attempt, spec work.Spec) {
	if err := s.place(ctx, a, spec); err != nil {
		s.record(timeline.Refused, spec.ID, "", err.Error())
		s.finish(a, work.Outcome{}, err)
	}
}

func (s *Service) place(ctx context.Context, a *attempt, spec work.Spec) error {
	var err error
	for range maxPlacements {
		var assignment fleet.Assignment
		if assignment, err = s.assignment(ctx, a, spec); err != nil {
			return err
		}
		if err = s.start(ctx, a, assignment); err == nil {
			return nil
		}
		if !placeAgain(err) {
			return err
		}
	}
	return err
}

// placeAgain reports whether the worker refused because the view was wrong, so that another worker may have room.
func placeAgain(err error) bool {
	switch fault.KindOf(err) {
	case fault.StaleEpoch, fault.NoCapacity, fault.Draining, fault.Unavailable:
		return true
	default:
		return false
	}
}

// assignment returns the worker for the task, waiting in the queue if none has room.
func (s *Service) assignment(ctx context.Context, a *attempt, spec work.Spec) (fleet.Assignment, error) {
	assignment, placed, err := s.fleet.Offer(time.Now(), spec)
	if err != nil || placed {
		return assignment, err
	}
	s.record(timeline.Queued, spec.ID, "", "")
	s.reclaim(ctx)
	ctx, cancel := withDeadline(ctx, spec.Deadline)
	defer cancel()
	select {
	case assignment := <-a.assigned:
		return assignment, nil
	case <-a.done:
		_, err := a.result()
		return fleet.Assignment{}, err
	case <-ctx.Done():
	}
	if s.fleet.Cancel(spec.ID) {
		return fleet.Assignment{}, fault.New(fault.DeadlineExceeded, "%s waited until its deadline", spec.ID)
	}
	return <-a.assigned, nil // the queue gave the task a worker at the same time
}

func withDeadline(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	if deadline.IsZero() {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, deadline)
}

// start reserves the assignment on the worker and starts it there.
func (s *Service) start(ctx context.Context, a *attempt, assignment fleet.Assignment) error {
	k, err := s.keeper(assignment.Worker)
	if err != nil {
		s.fleet.Remove(assignment.Worker)
		return err
	}
	spec := assignment.Spec
	epoch, err := k.worker.Reserve(time.Now(), spec.ID, spec.Attempt, spec.Size)
	if err != nil {
		s.dispatch(s.fleet.Forget(time.Now(), spec.ID))
		s.refresh(k)
		return err
	}
	s.fleet.Confirm(spec.ID)
	a.assign(k.id)
	s.holdings.Assign(spec.ID, k.id)
	s.record(timeline.Placed, spec.ID, k.id, "")
	err = k.client.Start(ctx, work.Start{
		Epoch: epoch, Task: spec.ID, Attempt: spec.Attempt, Kind: spec.Kind, Class: spec.Class, Size: spec.Size,
		Expiry: startExpiry, Payload: spec.Payload,
	})
	switch {
	case err == nil:
		s.record(timeline.Started, spec.ID, k.id, "")
		return nil
	case fault.KindOf(err).Answer().Ran == fault.RanNo:
		k.worker.Release(spec.ID, spec.Attempt)
		s.fleet.Forget(time.Now(), spec.ID)
		a.assign("")
		s.refresh(k)
		return err
	default:
		// The attempt may run, so that it is held until the worker tells, even if the home stops waiting.
		return s.startUnknown(context.WithoutCancel(ctx), k, spec, epoch)
	}
}

// startUnknown sends the start again until the worker tells whether the task runs, or the control lease is lost. A
// worker answers the same attempt twice with the same answer, so repeating it is safe.
func (s *Service) startUnknown(ctx context.Context, k *keeper, spec work.Spec, epoch ident.Epoch) error {
	for k.worker.Snapshot(time.Now()).Epoch == epoch && ctx.Err() == nil {
		err := k.client.Start(ctx, work.Start{
			Epoch: epoch, Task: spec.ID, Attempt: spec.Attempt, Kind: spec.Kind, Class: spec.Class, Size: spec.Size,
			Expiry: startExpiry, Payload: spec.Payload,
		})
		switch {
		case err == nil:
			s.record(timeline.Started, spec.ID, k.id, "after a lost answer")
			return nil
		case fault.Is(err, fault.StaleEpoch):
			return fault.As(fault.Interrupted, err, "start")
		}
		pause.For(ctx, startRetry)
	}
	return fault.New(fault.Interrupted, "the start of %s on worker %s was not confirmed", spec.ID, k.id)
}

const startRetry = 200 * time.Millisecond

// refresh replaces the view of a worker with its true state.
func (s *Service) refresh(k *keeper) {
	now := time.Now()
	s.dispatch(s.fleet.Update(now, rowOf(k.worker.Snapshot(now))))
}

// dispatch hands assignments of the queue to the goroutines that wait for them, and ends the attempts that it gave up.
func (s *Service) dispatch(decisions fleet.Decisions) {
	for _, refusal := range decisions.Refused {
		s.mu.Lock()
		a := s.pending[refusal.Task]
		s.mu.Unlock()
		if a != nil {
			s.finish(a, work.Outcome{}, refusal.Err)
		}
	}
	for _, assignment := range decisions.Assigned {
		s.mu.Lock()
		a := s.pending[assignment.Spec.ID]
		s.mu.Unlock()
		if a == nil {
			s.dispatch(s.fleet.Forget(time.Now(), assignment.Spec.ID))
			continue
		}
		a.assigned <- assignment
	}
}

// finish ends the attempt and keeps its result for a while, or until it is settled.
func (s *Service) finish(a *attempt, outcome work.Outcome, err error) {
	switch {
	case !a.end(outcome, err):
		return
	case err == nil && a.keep:
		time.AfterFunc(keepUnsettled, func() { s.settle(a) })
		return
	}
	s.holdings.Drop(a.task, a.number)
	if err != nil {
		s.dispatch(s.fleet.Forget(time.Now(), a.task))
	}
	if err != nil && fault.KindOf(err).Answer().Ran == fault.RanNo {
		s.forget(a)
		return
	}
	time.AfterFunc(keepResult, func() { s.forget(a) })
}

func (s *Service) forget(a *attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pending[a.task] == a {
		delete(s.pending, a.task)
	}
}

// HandleCancel stops a task that waits or runs here. It returns false if the process holds no such task.
func (s *Service) HandleCancel(ctx context.Context, task ident.TaskID) (bool, error) {
	s.mu.Lock()
	a, ok := s.pending[task]
	s.mu.Unlock()
	if !ok {
		return false, nil
	}
	s.record(timeline.CancelRequested, task, a.on(), "")
	if s.fleet.Cancel(task) {
		s.finish(a, work.Outcome{}, fault.New(fault.Canceled, "%s was canceled before it started", task))
		return true, nil
	}
	a.setYielding(false)
	k, err := s.keeper(a.on())
	if err != nil {
		return false, err
	}
	return true, k.client.Stop(ctx, k.worker.Snapshot(time.Now()).Epoch, task)
}
