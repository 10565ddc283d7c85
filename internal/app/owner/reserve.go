package owner

import (
	"context"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/reservation"
	"skylarkstall/internal/domain/work"
	"skylarkstall/internal/port"
)

// HandleReserve holds room for as many tasks of a gang as fit now and returns their indexes. The room is taken from the
// view and from the worker's aggregate, so that nothing else takes it until the reservation expires.
func (s *Service) HandleReserve(_ context.Context, call port.Reserve) ([]uint32, error) {
	if err := s.holdings.CheckEpoch(call.Partition, call.Home); err != nil {
		return nil, err
	}
	s.giveBackHolds(s.reservations.Release(call.Spec.ID.Work, call.Spec.Attempt))
	defer s.reserved.Signal()
	var held []uint32
	for _, index := range call.Indexes {
		spec := call.Spec
		spec.ID.Index = index
		if !s.holdRoom(spec) {
			break
		}
		held = append(held, index)
	}
	return held, nil
}

// holdRoom holds room for one task. It returns false when no worker has room.
func (s *Service) holdRoom(spec work.Spec) bool {
	for range maxPlacements {
		assignment, ok := s.fleet.TryAssign(time.Now(), spec)
		if !ok {
			return false
		}
		k, err := s.keeper(assignment.Worker)
		if err != nil {
			s.fleet.RemoveWorker(assignment.Worker)
			continue
		}
		now := time.Now()
		if _, err := k.worker.Reserve(now, spec); err != nil {
			s.dispatch(s.fleet.Forget(now, spec.ID))
			s.refresh(k)
			continue
		}
		s.fleet.Confirm(spec.ID)
		err = s.reservations.Add(reservation.Reservation{
			Task: spec.ID, Attempt: spec.Attempt, Worker: k.id, Expires: now.Add(reservation.TTL),
		})
		if err != nil {
			s.giveBack(k, spec.ID, spec.Attempt)
			return false
		}
		return true
	}
	return false
}

// HandleRelease gives up the room that is held for a gang.
func (s *Service) HandleRelease(_ context.Context, call port.Release) error {
	s.giveBackHolds(s.reservations.Release(call.Gang, call.Attempt))
	return nil
}

func (s *Service) giveBackHolds(holds []reservation.Reservation) {
	for _, hold := range holds {
		if k, err := s.keeper(hold.Worker); err == nil {
			s.giveBack(k, hold.Task, hold.Attempt)
		}
	}
}

// expireReservations gives back the room of gangs whose home did not start them in time.
func (s *Service) expireReservations(ctx context.Context) {
	for ctx.Err() == nil {
		added := s.reserved.Changed()
		expired, next := s.reservations.Expire(time.Now())
		s.giveBackHolds(expired)
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

// startReserved starts an attempt in the room that was reserved for it.
func (s *Service) startReserved(ctx context.Context, a *attempt, spec work.Spec) error {
	now := time.Now()
	hold, err := s.reservations.Consume(now, spec.ID, spec.Attempt)
	if err != nil {
		return err
	}
	k, err := s.keeper(hold.Worker)
	if err != nil {
		return err
	}
	epoch, err := k.worker.ReservedEpoch(now, spec.ID, spec.Attempt)
	if err == nil {
		err = a.assign(k.id)
	}
	if err != nil {
		s.giveBack(k, spec.ID, spec.Attempt)
		return err
	}
	s.holdings.AssignWorker(spec.ID, k.id)
	return s.launch(ctx, a, k, spec, epoch)
}

// ReservationCount returns the number of tasks for which room is held.
func (s *Service) ReservationCount() int { return s.reservations.Len() }

// giveBack returns the room of an attempt that did not start.
func (s *Service) giveBack(k *keeper, task ident.TaskID, attempt ident.Attempt) {
	k.worker.Release(task, attempt)
	s.dispatch(s.fleet.Forget(time.Now(), task))
	s.refresh(k)
}
