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

// reserveTimeout bounds the reservation of a whole gang. Half the expiry: the first room is still held when the tasks
// start.
const reserveTimeout = reservation.TTL / 2

// releaseTimeout bounds a release; room that is not released expires.
const releaseTimeout = time.Second

// startGang reserves room for every task and starts all of them, or none.
func (r *runner) startGang(ctx context.Context, specs []work.Spec) {
	owners, err := r.reserve(ctx, specs)
	if err != nil {
		if ctx.Err() == nil {
			r.carryOut(ctx, r.job.ReservationFailed(time.Now(), err))
		}
		return
	}
	flights := make([]*flight, len(specs))
	for i, spec := range specs {
		flights[i] = r.p.launch(spec.ID)
	}
	if r.job.Canceled() { // a later cancellation finds every task in flight
		r.p.halt(taskIDs(specs))
		r.release(ctx, owners, specs[0])
	}
	for i, spec := range specs {
		go r.placeReserved(ctx, flights[i], owners[i], spec)
	}
}

func taskIDs(specs []work.Spec) []ident.TaskID {
	ids := make([]ident.TaskID, len(specs))
	for i, spec := range specs {
		ids[i] = spec.ID
	}
	return ids
}

func (r *runner) placeReserved(ctx context.Context, f *flight, owner ident.ProcessID, spec work.Spec) {
	defer r.p.land(spec.ID, f)
	call := r.call(spec)
	call.Reserved = true
	r.place(ctx, owner, call)
}

// reserve asks the owners in ascending order of their ids for room, each for as much as is still needed, and returns
// the owner of each task. The common order keeps two gangs from holding what the other one waits for. It fails with
// NoCapacity when there is not room for all, and then holds nothing.
func (r *runner) reserve(ctx context.Context, specs []work.Spec) ([]ident.ProcessID, error) {
	epoch := r.p.currentEpoch()
	call := port.Reserve{Partition: r.p.id, Home: epoch, Spec: specs[0]}
	call.Spec.Payload = nil
	for _, spec := range specs {
		call.Indexes = append(call.Indexes, spec.ID.Index)
	}
	reserving, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	var owners, asked []ident.ProcessID
	for _, peer := range r.p.service.Members.Live() {
		if len(call.Indexes) == 0 || r.job.Canceled() {
			break
		}
		asked = append(asked, peer.ID)
		held, err := r.p.service.Peers.Reserve(reserving, peer.ID, call)
		if err != nil {
			r.p.service.Log.Debug("no reservation", "job", r.job.ID().String(), "owner", peer.ID, "error", err)
			continue
		}
		for range held {
			owners = append(owners, peer.ID)
		}
		call.Indexes = call.Indexes[len(held):]
	}
	if len(call.Indexes) == 0 && reserving.Err() == nil {
		return owners, nil
	}
	r.release(ctx, asked, specs[0])
	return nil, fault.New(fault.NoCapacity, "%d of %d tasks have room now", len(owners), len(specs))
}

// release gives the room back that may be held at the owners.
func (r *runner) release(ctx context.Context, asked []ident.ProcessID, spec work.Spec) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	for _, owner := range slices.Compact(asked) {
		call := port.Release{Gang: spec.ID.Work, Attempt: spec.Attempt}
		if err := r.p.service.Peers.Release(ctx, owner, call); err != nil {
			r.p.service.Log.Debug("room not released", "job", spec.ID.Work.String(), "owner", owner, "error", err)
		}
	}
}
