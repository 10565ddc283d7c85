package owner

import (
	"context"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/reservation"
	"skylarkstall/internal/domain/work"
	"skylarkstall/internal/port"
)

// HandleReserve reserves capacity for as many tasks of a gang as fit now and returns their indexes. The capacity is
// deducted from the fleet's view and from the worker's aggregate, so that nothing else uses it until the reservation
// expires.
func (s *Service) HandleReserve(_ context.Context, call port.Reserve) ([]uint32, error) {
	if err := s.heldAttempts.CheckEpoch(call.Partition, call.Home); err != nil {
		return nil, err
	}
	s.releaseReservations(s.reservations.Release(call.Spec.ID.Work, call.Spec.Attempt))
	defer s.reservationAdded.Signal()
	var held []uint32
	for _, index := range call.Indexes {
		spec := call.Spec
		spec.ID.Index = index
		if !s.reserveTask(spec) {
			break
		}
		held = append(held, index)
	}
	return held, nil
}

// reserveTask reserves capacity for one task. It returns false if the task fits on no worker.
func (s *Service) reserveTask(spec work.Spec) bool {
	for range maxPlacements {
		assignment, ok := s.fleet.TryAssign(time.Now(), spec)
		if !ok {
			return false
		}
		m, err := s.manager(assignment.Worker)
		if err != nil {
			s.fleet.RemoveWorker(assignment.Worker)
			continue
		}
		now := time.Now()
		if _, err := m.worker.Reserve(now, spec); err != nil {
			s.dispatch(s.fleet.Forget(now, spec.ID))
			s.refresh(m)
			continue
		}
		s.fleet.Confirm(spec.ID)
		err = s.reservations.Add(reservation.Reservation{
			Task: spec.ID, Attempt: spec.Attempt, Worker: m.id, Expires: now.Add(reservation.TTL),
		})
		if err != nil {
			s.releaseCapacity(m, spec.ID, spec.Attempt)
			return false
		}
		return true
	}
	return false
}

// HandleRelease releases the capacity that is reserved for a gang.
func (s *Service) HandleRelease(_ context.Context, call port.Release) error {
	s.releaseReservations(s.reservations.Release(call.Gang, call.Attempt))
	return nil
}

func (s *Service) releaseReservations(released []reservation.Reservation) {
	for _, reserved := range released {
		if m, err := s.manager(reserved.Worker); err == nil {
			s.releaseCapacity(m, reserved.Task, reserved.Attempt)
		}
	}
}

// expireReservations releases the capacity of gangs whose home did not start them in time.
func (s *Service) expireReservations(ctx context.Context) {
	for ctx.Err() == nil {
		added := s.reservationAdded.Changed()
		expired, next := s.reservations.Expire(time.Now())
		s.releaseReservations(expired)
		var expiry <-chan time.Time
		if !next.IsZero() {
			expiry = time.After(time.Until(next))
		}
		select {
		case <-added:
		case <-expiry:
		case <-ctx.Done():
		}
	}
}

// startReserved starts an attempt in the capacity that was reserved for it.
func (s *Service) startReserved(ctx context.Context, a *attempt, spec work.Spec) error {
	now := time.Now()
	reserved, err := s.reservations.Consume(now, spec.ID, spec.Attempt)
	if err != nil {
		return err
	}
	m, err := s.manager(reserved.Worker)
	if err != nil {
		return err
	}
	epoch, err := m.worker.ReservedEpoch(now, spec.ID, spec.Attempt)
	if err == nil {
		err = a.assign(m.id)
	}
	if err != nil {
		s.releaseCapacity(m, spec.ID, spec.Attempt)
		return err
	}
	s.heldAttempts.AssignWorker(spec.ID, m.id)
	return s.launch(ctx, a, m, spec, epoch)
}

// ReservationCount returns the number of tasks for which capacity is reserved.
func (s *Service) ReservationCount() int { return s.reservations.Len() }

// releaseCapacity frees the capacity of an attempt that was not started.
func (s *Service) releaseCapacity(m *workerManager, task ident.TaskID, attempt ident.Attempt) {
	m.worker.Release(task, attempt)
	s.dispatch(s.fleet.Forget(time.Now(), task))
	s.refresh(m)
}
