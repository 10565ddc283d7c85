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
	// startRetry is the pause between copies of a start whose answer was lost.
	startRetry = 200 * time.Millisecond
	// maxPlacements is how often one call is placed again after the view was wrong.
	maxPlacements = 4
	// keepResult is how long the outcome of an attempt is kept for a home that lost the answer, or for its next home.
	// A next home waits up to the task lease bound before it serves; the rest is room to notice the death and for
	// retries.
	keepResult = TaskLeaseBound + 15*time.Second
	// keepOnce is the same for work that is not repeatable, unless its home settles it before: the home keeps such a
	// request for at most 10 min of deadline and 15 min after it.
	keepOnce = 30 * time.Minute
)

// HandlePlace runs one attempt and returns its outcome. The same attempt placed again waits for the first.
func (s *Service) HandlePlace(ctx context.Context, call port.Place) (work.Outcome, error) {
	a, fresh, err := s.admit(call)
	if err != nil {
		return work.Outcome{}, err
	}
	if fresh {
		s.run(ctx, a, call)
	}
	select {
	case <-a.done:
		return a.result()
	case <-ctx.Done():
		return work.Outcome{}, fault.WrapAs(fault.Interrupted, ctx.Err(), "place")
	}
}

// admit returns the attempt of the call, and whether it is new to this process.
func (s *Service) admit(call port.Place) (*attempt, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := work.AttemptID{Task: call.Spec.ID, Attempt: call.Spec.Attempt}
	if a, ok := s.pending[id]; ok {
		return a, false, nil
	}
	if call.Attach {
		return nil, false, fault.New(fault.NotFound, "attempt %d of %s is not held here", id.Attempt, id.Task)
	}
	if err := s.Health.AdmitKind(time.Now(), kindOf(id.Task, call.Spec.Kind)); err != nil {
		return nil, false, err
	}
	if err := s.holdings.Admit(call.Home, id.Task, id.Attempt); err != nil {
		return nil, false, err
	}
	a := newAttempt(id, call.Spec.Kind)
	a.repeatable = call.Spec.Repeatable
	s.pending[id] = a
	return a, true, nil
}

// run places the attempt and waits until it runs or has ended.
func (s *Service) run(ctx context.Context, a *attempt, call port.Place) {
	call.Spec.Quota = s.Quota(call.Spec.ID.Work.Team)
	place := s.place
	if call.Reserved {
		place = s.startReserved
	}
	if err := place(ctx, a, call.Spec); err != nil {
		s.record(timeline.Refused, call.Spec.ID, "", err.Error())
		s.finish(a, work.Outcome{}, err)
	}
}

func (s *Service) place(ctx context.Context, a *attempt, spec work.Spec) error {
	var err error
	for placed := range maxPlacements {
		if placed > 0 && s.RetryLimiter.Wait(ctx) != nil {
			return err // the budget is used up until the deadline
		}
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
	case fault.StaleEpoch, fault.NoCapacity, fault.Draining, fault.Unavailable, fault.DeadlineExceeded:
		return true // DeadlineExceeded: the start message was late, not the task
	default:
		return false
	}
}

// assignment returns the worker for the task, waiting in the queue if none has room.
func (s *Service) assignment(ctx context.Context, a *attempt, spec work.Spec) (fleet.Assignment, error) {
	assignment, placed, err := s.fleet.Schedule(time.Now(), spec)
	if err != nil || placed {
		return assignment, err
	}
	s.record(timeline.Queued, spec.ID, "", "")
	s.reclaim(ctx)
	if s.ownsNothing() && s.fleet.Cancel(spec.ID) {
		return fleet.Assignment{}, ownsNothing(spec.ID)
	}
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
	select { // at the same time the queue gave the task a worker, or it was canceled
	case assignment := <-a.assigned:
		return assignment, nil
	case <-a.done:
		_, err := a.result()
		return fleet.Assignment{}, err
	}
}

// refuseQueue ends the attempts that wait although this process owns no worker any more, so that their homes send them
// to another owner.
func (s *Service) refuseQueue() {
	if !s.ownsNothing() {
		return
	}
	s.mu.Lock()
	all := make([]*attempt, 0, len(s.pending))
	for _, a := range s.pending {
		all = append(all, a)
	}
	s.mu.Unlock()
	for _, a := range all {
		if s.fleet.Cancel(a.id.Task) {
			s.finish(a, work.Outcome{}, ownsNothing(a.id.Task))
		}
	}
}

func (s *Service) ownsNothing() bool { return s.fleet.Digest(time.Now()).Capacity.IsZero() }

func ownsNothing(task ident.TaskID) error {
	return fault.New(fault.NoCapacity, "the process owns no worker that %s could wait for", task)
}

func withDeadline(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	if deadline.IsZero() {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, deadline)
}

// start reserves the assignment on the worker and starts it there.
func (s *Service) start(ctx context.Context, a *attempt, assignment fleet.Assignment) error {
	k, epoch, err := s.reserve(a, assignment)
	if err != nil {
		return err
	}
	return s.launch(ctx, a, k, assignment.Spec, epoch)
}

// launch starts the attempt in the room that is reserved for it.
func (s *Service) launch(ctx context.Context, a *attempt, k *keeper, spec work.Spec, epoch ident.Epoch) error {
	s.record(timeline.Placed, spec.ID, k.id, "")
	// A caller that goes away must not leave a start behind whose fate nobody knows.
	ctx = context.WithoutCancel(ctx)
	err := k.client.Start(ctx, startOf(epoch, spec))
	switch {
	case err == nil:
		s.started(a, k, "")
		return nil
	case fault.Is(err, fault.Conflict): // a later attempt was seen: the home has to find out what runs
		k.worker.Release(spec.ID, spec.Attempt)
		return fault.WrapAs(fault.Interrupted, err, "start")
	case fault.KindOf(err).Response().Ran == fault.RanNo:
		s.startRefused(a, k, err)
		return err
	default:
		return s.startUnknown(ctx, a, k, startOf(epoch, spec))
	}
}

// reserve takes the assignment's capacity on its worker, unless the attempt has ended meanwhile.
func (s *Service) reserve(a *attempt, assignment fleet.Assignment) (*keeper, ident.Epoch, error) {
	spec := assignment.Spec
	k, err := s.keeper(assignment.Worker)
	if err != nil {
		s.fleet.RemoveWorker(assignment.Worker)
		return nil, 0, err
	}
	epoch, err := k.worker.Reserve(time.Now(), spec)
	if err == nil {
		if err = a.assign(k.id); err != nil {
			k.worker.Release(spec.ID, spec.Attempt)
		}
	}
	if err != nil {
		s.dispatch(s.fleet.Forget(time.Now(), spec.ID))
		s.refresh(k)
		return nil, 0, err
	}
	s.fleet.Confirm(spec.ID)
	s.holdings.AssignWorker(spec.ID, k.id)
	return k, epoch, nil
}

func startOf(epoch ident.Epoch, spec work.Spec) work.Start {
	return work.Start{
		Epoch: epoch, Task: spec.ID, Attempt: spec.Attempt, Kind: spec.Kind, Class: spec.Class, Size: spec.Size,
		Expiry: startExpiry, Payload: spec.Payload,
	}
}

func (s *Service) started(a *attempt, k *keeper, detail string) {
	a.confirm()
	s.record(timeline.Started, a.id.Task, k.id, detail)
}

// startRefused returns what was reserved. A worker that says that it leaves gets no further work.
func (s *Service) startRefused(a *attempt, k *keeper, err error) {
	k.worker.Release(a.id.Task, a.id.Attempt)
	s.dispatch(s.fleet.Forget(time.Now(), a.id.Task))
	a.unassign()
	if fault.Is(err, fault.Draining) {
		k.leave()
	}
	s.refresh(k)
}

// startUnknown sends the start again until the worker tells whether the task runs, or the control lease is lost. A
// worker answers the same attempt twice with the same answer, so repeating it is safe.
func (s *Service) startUnknown(ctx context.Context, a *attempt, k *keeper, start work.Start) error {
	for k.worker.Snapshot(time.Now()).Epoch == start.Epoch {
		err := k.client.Start(ctx, start)
		switch {
		case err == nil:
			s.started(a, k, "after a lost answer")
			return nil
		case fault.Is(err, fault.StaleEpoch), fault.Is(err, fault.Conflict):
			return fault.WrapAs(fault.Interrupted, err, "start")
		case !fault.Is(err, fault.Unavailable) && fault.KindOf(err).Response().Ran == fault.RanNo:
			s.startRefused(a, k, err)
			return err
		}
		pause.For(ctx, startRetry)
	}
	return fault.New(fault.Interrupted, "the start of %s on worker %s was not confirmed", start.Task, k.id)
}

// refresh replaces the view of a worker with its true state.
func (s *Service) refresh(k *keeper) {
	s.dispatch(k.show())
	s.refuseQueue()
}

// dispatch hands assignments of the queue to the goroutines that wait for them, and ends the attempts that it gave up.
func (s *Service) dispatch(decisions fleet.Decisions) {
	for _, refusal := range decisions.Refused {
		a := s.held(refusal.Task)
		if a != nil {
			s.finish(a, work.Outcome{}, refusal.Err)
		}
	}
	for _, assignment := range decisions.Assigned {
		s.mu.Lock()
		a := s.pending[work.AttemptID{Task: assignment.Spec.ID, Attempt: assignment.Spec.Attempt}]
		s.mu.Unlock()
		if a == nil {
			s.dispatch(s.fleet.Forget(time.Now(), assignment.Spec.ID))
			continue
		}
		a.assigned <- assignment
	}
}
