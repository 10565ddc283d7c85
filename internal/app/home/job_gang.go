package home

import (
	"context"
	"slices"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/reservation"
	"skylarkstall/internal/domain/work"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/port"
)

// reserveTimeout bounds the reservation of capacity for a whole gang. It is half the expiry of a reservation, so that
// the first reservation is still valid when the tasks start.
const reserveTimeout = reservation.TTL / 2

// releaseTimeout bounds a release; reservations that are not released expire.
const releaseTimeout = time.Second

// startGang reserves capacity for all tasks of the gang and starts either all of them or none.
func (r *jobRunner) startGang(ctx context.Context, specs []work.Spec) {
	owners, err := r.reserve(ctx, specs)
	if err != nil {
		if ctx.Err() == nil {
			r.applyDecision(ctx, r.job.ReservationFailed(time.Now(), err))
		}
		return
	}
	inFlight := make([]*inFlightTask, len(specs))
	for i, spec := range specs {
		inFlight[i] = r.partition.trackTask(spec.ID)
	}
	if r.job.Canceled() { // a cancellation after this check finds every task in flight
		r.partition.cancelTasks(taskIDs(specs))
		r.release(ctx, owners, specs[0])
	}
	for i, spec := range specs {
		go r.placeReserved(ctx, inFlight[i], owners[i], spec)
	}
}

func taskIDs(specs []work.Spec) []ident.TaskID {
	ids := make([]ident.TaskID, len(specs))
	for i, spec := range specs {
		ids[i] = spec.ID
	}
	return ids
}

func (r *jobRunner) placeReserved(ctx context.Context, f *inFlightTask, owner ident.ProcessID, spec work.Spec) {
	defer r.partition.untrackTask(spec.ID, f)
	call := r.placeCall(spec)
	call.Reserved = true
	r.place(ctx, owner, call)
}

// reserve asks the owners in ascending order of their ids to reserve capacity, each for the tasks that are still
// without, and returns the owner of each task. The common order prevents two gangs from each holding the capacity that
// the other one waits for. If there is not enough capacity for all tasks, it releases the reservations and fails with
// NoCapacity.
func (r *jobRunner) reserve(ctx context.Context, specs []work.Spec) ([]ident.ProcessID, error) {
	epoch := r.partition.currentEpoch()
	call := port.Reserve{Partition: r.partition.id, Home: epoch, Spec: specs[0]}
	call.Spec.Payload = nil
	for _, spec := range specs {
		call.Indexes = append(call.Indexes, spec.ID.Index)
	}
	reserveCtx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	var owners, asked []ident.ProcessID
	for _, peer := range r.partition.service.Membership.Live() {
		if len(call.Indexes) == 0 || r.job.Canceled() {
			break
		}
		asked = append(asked, peer.ID)
		held, err := r.partition.service.Peers.Reserve(reserveCtx, peer.ID, call)
		if err != nil {
			r.partition.service.Log.Debug("could not reserve capacity",
				"job", r.job.ID().String(), "owner", peer.ID, "error", err)
			continue
		}
		for range held {
			owners = append(owners, peer.ID)
		}
		call.Indexes = call.Indexes[len(held):]
	}
	if len(call.Indexes) == 0 && reserveCtx.Err() == nil {
		return owners, nil
	}
	r.release(ctx, asked, specs[0])
	return nil, fault.New(fault.NoCapacity, "capacity reserved for %d of %d tasks of the gang", len(owners), len(specs))
}

// release releases the reservations that the owners may hold for the gang.
func (r *jobRunner) release(ctx context.Context, asked []ident.ProcessID, spec work.Spec) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	for _, owner := range slices.Compact(asked) {
		call := port.Release{Gang: spec.ID.Work, Attempt: spec.Attempt}
		if err := r.partition.service.Peers.Release(ctx, owner, call); err != nil {
			r.partition.service.Log.Debug("could not release reservation; it will expire",
				"job", spec.ID.Work.String(), "owner", owner, "error", err)
		}
	}
}
