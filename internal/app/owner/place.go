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
	// startExpiry is how long after sending a worker may act on a start message: half the control lease, because after
	// a longer delay the sender may have lost the worker.
	startExpiry = ControlLease / 2
	// startRetry is the delay between repetitions of a start or stop whose response was lost.
	startRetry = 200 * time.Millisecond
	// maxPlacements is how often one call places a task when workers refuse because the fleet's view was outdated.
	maxPlacements = 4
	// resultRetention is how long the outcome of an attempt is kept for a home that lost the response, or for its
	// successor. A new home waits up to the task lease bound before it serves; the rest is for detecting the failure of
	// the old one and for retries.
	resultRetention = TaskLeaseBound + 15*time.Second
	// nonRepeatableRetention is the same for tasks that are not repeatable, unless the home acknowledges them earlier:
	// the home keeps such a request for at most 10 min of deadline and 15 min after it.
	nonRepeatableRetention = 30 * time.Minute
)

// HandlePlace runs one attempt and returns its outcome. A repeated call for the same attempt waits for the first.
func (s *Service) HandlePlace(ctx context.Context, call port.Place) (work.Outcome, error) {
	a, created, err := s.admitAttempt(call)
	if err != nil {
		return work.Outcome{}, err
	}
	if created {
		s.runAttempt(ctx, a, call)
	}
	select {
	case <-a.done:
		return a.result()
	case <-ctx.Done():
		return work.Outcome{}, fault.WrapAs(fault.Interrupted, ctx.Err(), "wait for the outcome of the attempt")
	}
}

// admitAttempt returns the attempt of the call, and whether it was created by this call.
func (s *Service) admitAttempt(call port.Place) (*attempt, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := work.AttemptID{Task: call.Spec.ID, Attempt: call.Spec.Attempt}
	if a, ok := s.attempts[id]; ok {
		return a, false, nil
	}
	if call.Attach {
		return nil, false, fault.New(fault.NotFound, "attempt %d of %s is not held here", id.Attempt, id.Task)
	}
	if err := s.Health.AdmitKind(time.Now(), kindOf(id.Task, call.Spec.Kind)); err != nil {
		return nil, false, err
	}
	if err := s.heldAttempts.Admit(call.Home, id.Task, id.Attempt); err != nil {
		return nil, false, err
	}
	a := newAttempt(id, call.Spec.Kind)
	a.repeatable = call.Spec.Repeatable
	s.attempts[id] = a
	return a, true, nil
}

// runAttempt places the attempt and waits until it is running or has ended.
func (s *Service) runAttempt(ctx context.Context, a *attempt, call port.Place) {
	call.Spec.Quota = s.Quota(call.Spec.ID.Work.Team)
	place := s.place
	if call.Reserved {
		place = s.startReserved
	}
	if err := place(ctx, a, call.Spec); err != nil {
		s.recordEvent(timeline.Refused, call.Spec.ID, "", err.Error())
		s.finish(a, work.Outcome{}, err)
	}
}

func (s *Service) place(ctx context.Context, a *attempt, spec work.Spec) error {
	var err error
	for placed := range maxPlacements {
		if placed > 0 && s.RetryLimiter.Wait(ctx) != nil {
			return err // no retry is allowed before the deadline
		}
		var assignment fleet.Assignment
		if assignment, err = s.awaitAssignment(ctx, a, spec); err != nil {
			return err
		}
		if err = s.start(ctx, a, assignment); err == nil {
			return nil
		}
		if !canPlaceElsewhere(err) {
			return err
		}
	}
	return err
}

// canPlaceElsewhere reports whether the worker refused because the fleet's view was outdated, so that another worker
// may accept the task.
func canPlaceElsewhere(err error) bool {
	switch fault.KindOf(err) {
	case fault.StaleEpoch, fault.NoCapacity, fault.Draining, fault.Unavailable, fault.DeadlineExceeded:
		return true // DeadlineExceeded: the start message was late, not the task
	default:
		return false
	}
}

// awaitAssignment returns the assignment of the task to a worker. It waits in the queue if the task fits on none.
func (s *Service) awaitAssignment(ctx context.Context, a *attempt, spec work.Spec) (fleet.Assignment, error) {
	assignment, placed, err := s.fleet.Schedule(time.Now(), spec)
	if err != nil || placed {
		return assignment, err
	}
	s.recordEvent(timeline.Queued, spec.ID, "", "")
	s.preemptSelected(ctx)
	if s.ownsNoCapacity() && s.fleet.Cancel(spec.ID) {
		return fleet.Assignment{}, noWorkerError(spec.ID)
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
		return fleet.Assignment{}, fault.New(fault.DeadlineExceeded, "deadline of %s passed while it was queued", spec.ID)
	}
	select { // the task was assigned or canceled at the same time
	case assignment := <-a.assigned:
		return assignment, nil
	case <-a.done:
		_, err := a.result()
		return fleet.Assignment{}, err
	}
}

// returnQueued ends the queued attempts when this process owns no worker any more, so that their homes send them to
// another owner.
func (s *Service) returnQueued() {
	if !s.ownsNoCapacity() {
		return
	}
	s.mu.Lock()
	all := make([]*attempt, 0, len(s.attempts))
	for _, a := range s.attempts {
		all = append(all, a)
	}
	s.mu.Unlock()
	for _, a := range all {
		if s.fleet.Cancel(a.id.Task) {
			s.finish(a, work.Outcome{}, noWorkerError(a.id.Task))
		}
	}
}

func (s *Service) ownsNoCapacity() bool { return s.fleet.Digest(time.Now()).Capacity.IsZero() }

func noWorkerError(task ident.TaskID) error {
	return fault.New(fault.NoCapacity, "this process owns no workers; %s cannot be queued here", task)
}

func withDeadline(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	if deadline.IsZero() {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, deadline)
}

// start reserves the capacity of the assignment on the worker and starts the attempt there.
func (s *Service) start(ctx context.Context, a *attempt, assignment fleet.Assignment) error {
	m, epoch, err := s.reserve(a, assignment)
	if err != nil {
		return err
	}
	return s.launch(ctx, a, m, assignment.Spec, epoch)
}

// launch starts the attempt, whose capacity is reserved, on the worker.
func (s *Service) launch(ctx context.Context, a *attempt, m *workerManager, spec work.Spec, epoch ident.Epoch) error {
	s.recordEvent(timeline.Placed, spec.ID, m.id, "")
	// A canceled call must not abandon a start in flight: its result would stay unknown.
	ctx = context.WithoutCancel(ctx)
	err := m.client.Start(ctx, newStart(epoch, spec))
	switch {
	case err == nil:
		s.confirmStart(a, m, "")
		return nil
	case fault.Is(err, fault.Conflict): // a later or running attempt exists: the home has to find out which
		m.worker.Release(spec.ID, spec.Attempt)
		return fault.WrapAs(fault.Interrupted, err, "start the attempt on its worker")
	case fault.KindOf(err).Response().Execution == fault.NotExecuted:
		s.startRefused(a, m, err)
		return err
	default:
		return s.resolveStart(ctx, a, m, newStart(epoch, spec))
	}
}

// reserve reserves the capacity of the assignment on its worker, unless the attempt has ended meanwhile.
func (s *Service) reserve(a *attempt, assignment fleet.Assignment) (*workerManager, ident.Epoch, error) {
	spec := assignment.Spec
	m, err := s.manager(assignment.Worker)
	if err != nil {
		s.fleet.RemoveWorker(assignment.Worker)
		return nil, 0, err
	}
	epoch, err := m.worker.Reserve(time.Now(), spec)
	if err == nil {
		if err = a.assign(m.id); err != nil {
			m.worker.Release(spec.ID, spec.Attempt)
		}
	}
	if err != nil {
		s.dispatch(s.fleet.Forget(time.Now(), spec.ID))
		s.refresh(m)
		return nil, 0, err
	}
	s.fleet.Confirm(spec.ID)
	s.heldAttempts.AssignWorker(spec.ID, m.id)
	return m, epoch, nil
}

func newStart(epoch ident.Epoch, spec work.Spec) work.StartRequest {
	return work.StartRequest{
		Epoch: epoch, Task: spec.ID, Attempt: spec.Attempt, Kind: spec.Kind, Class: spec.Class, Size: spec.Size,
		TTL: startExpiry, Payload: spec.Payload,
	}
}

func (s *Service) confirmStart(a *attempt, m *workerManager, detail string) {
	a.confirm()
	s.recordEvent(timeline.Started, a.id.Task, m.id, detail)
}

// startRefused returns the reserved capacity. A worker that responds that it is draining gets no further tasks.
func (s *Service) startRefused(a *attempt, m *workerManager, err error) {
	m.worker.Release(a.id.Task, a.id.Attempt)
	s.dispatch(s.fleet.Forget(time.Now(), a.id.Task))
	a.unassign()
	if fault.Is(err, fault.Draining) {
		m.drain()
	}
	s.refresh(m)
}

// resolveStart repeats a start whose result is unknown until the worker responds, or the control lease is lost.
// Repeating is safe: a worker gives the same response to the same attempt.
func (s *Service) resolveStart(ctx context.Context, a *attempt, m *workerManager, start work.StartRequest) error {
	for m.worker.Snapshot(time.Now()).Epoch == start.Epoch {
		err := m.client.Start(ctx, start)
		switch {
		case err == nil:
			s.confirmStart(a, m, "after a lost answer")
			return nil
		case fault.Is(err, fault.StaleEpoch), fault.Is(err, fault.Conflict):
			return fault.WrapAs(fault.Interrupted, err, "start the attempt on its worker")
		case !fault.Is(err, fault.Unavailable) && fault.KindOf(err).Response().Execution == fault.NotExecuted:
			s.startRefused(a, m, err)
			return err
		}
		pause.For(ctx, startRetry)
	}
	return fault.New(fault.Interrupted, "the start of %s on worker %s was not confirmed", start.Task, m.id)
}

// refresh updates the fleet's view of a worker with its current state.
func (s *Service) refresh(m *workerManager) {
	s.dispatch(m.updateFleet())
	s.returnQueued()
}

// dispatch carries out decisions of the fleet: it passes assignments to the goroutines that wait for them, and ends
// refused attempts.
func (s *Service) dispatch(decisions fleet.Decisions) {
	for _, refusal := range decisions.Refused {
		a := s.findAttempt(refusal.Task)
		if a != nil {
			s.finish(a, work.Outcome{}, refusal.Err)
		}
	}
	for _, assignment := range decisions.Assigned {
		s.mu.Lock()
		a := s.attempts[work.AttemptID{Task: assignment.Spec.ID, Attempt: assignment.Spec.Attempt}]
		s.mu.Unlock()
		if a == nil {
			s.dispatch(s.fleet.Forget(time.Now(), assignment.Spec.ID))
			continue
		}
		a.assigned <- assignment
	}
}
