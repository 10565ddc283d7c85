package owner

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"skylarkstall/internal/domain/fleet"
	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/timeline"
	"skylarkstall/internal/domain/work"
	"skylarkstall/internal/domain/worker"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/pause"
	"skylarkstall/internal/port"
)

// Pauses after failed calls to a worker.
const (
	// claimRetryMin is the mean pause after the first refused claim. A handover takes one or two of them.
	claimRetryMin = 50 * time.Millisecond
	// claimRetryMax bounds the pause, which doubles with each refusal.
	claimRetryMax = 500 * time.Millisecond
	// syncRetry is the mean pause between renewals after a failed one. The first follows at once.
	syncRetry = 200 * time.Millisecond
	// releaseTimeout bounds the release; a worker that is not reached becomes free when its lease lapses.
	releaseTimeout = 2 * time.Second
	// relieveTimeout bounds the calls about tasks on a leaving or overused worker, so that they do not delay the
	// renewal.
	relieveTimeout = time.Second
)

// keeper is the goroutine of one worker: while this process should own the worker, it holds the control lease and takes
// the outcomes.
type keeper struct {
	id      ident.WorkerID
	zone    ident.Zone
	address string
	service *Service
	worker  *worker.Worker
	client  port.WorkerClient
	log     *slog.Logger

	view sync.Mutex // orders the copies of the worker's state that go into the fleet's view

	mu          sync.Mutex
	tenure      ident.Epoch // epoch of the claim whose tasks this process holds; 0 while the worker is not owned
	unreachable time.Time   // since when the worker has not answered; zero when it answers
}

func newKeeper(s *Service, vm port.VM) *keeper {
	id := ident.WorkerID(vm.ID)
	return &keeper{
		id: id, zone: vm.Zone, address: vm.Address, service: s, worker: worker.New(id, ControlLease),
		client: s.Dialer.Dial(id, vm.Address), log: s.Log.With("worker", id),
	}
}

// Run claims and keeps the worker whenever this process should own it.
func (k *keeper) Run(ctx context.Context) {
	defer func() { _ = k.client.Close() }() // nothing to do about a failed close
	retry := claimRetryMin
	for k.waitUntilMine(ctx) {
		inv, err := k.claim(ctx)
		if err != nil {
			k.log.Debug("claim refused", "error", err)
			pause.For(ctx, pause.Jitter(retry, string(k.service.Self)+string(k.id)))
			retry = min(2*retry, claimRetryMax)
			continue
		}
		retry = claimRetryMin
		k.take(inv)
		k.serve(ctx, inv)
	}
}

func (k *keeper) mine() bool {
	return k.service.Membership.Owner(k.id, k.zone) == k.service.Self
}

// waitUntilMine returns true once this process should own the worker, and false when the context ends.
func (k *keeper) waitUntilMine(ctx context.Context) bool {
	for ctx.Err() == nil {
		changed := k.service.LiveChanged()
		if k.mine() {
			return true
		}
		k.reached()
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
	return false
}

// whileMine returns a context that ends once another process should own the worker, so that a waiting sync ends at once
// and the next owner need not wait for it.
func (k *keeper) whileMine(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		defer cancel()
		for ctx.Err() == nil {
			changed := k.service.LiveChanged()
			if !k.mine() {
				return
			}
			select {
			case <-changed:
			case <-ctx.Done():
			}
		}
	}()
	return ctx, cancel
}

// claim asks for the control lease; it displaces a holder that membership declared dead.
func (k *keeper) claim(ctx context.Context) (work.Inventory, error) {
	s := k.service
	sent := time.Now()
	inv, err := k.client.Claim(ctx, k.worker.NewClaim(sent, s.Self, false, TaskLease))
	if fault.Is(err, fault.StaleEpoch) {
		k.reached()
		k.worker.ClaimRefused(inv.Epoch)
		supersede := inv.Holder != "" && !s.Membership.Alive(inv.Holder)
		sent = time.Now()
		inv, err = k.client.Claim(ctx, k.worker.NewClaim(sent, s.Self, supersede, TaskLease))
	}
	if err != nil {
		k.worker.ClaimRefused(inv.Epoch)
		k.missed(err)
		return work.Inventory{}, err
	}
	k.reached()
	k.worker.ClaimGranted(sent, inv)
	return inv, nil
}

// missed notes a call that the worker did not answer. The next call uses a new connection: the open one may be silent.
func (k *keeper) missed(err error) {
	if fault.Is(err, fault.StaleEpoch) {
		return
	}
	if fault.Is(err, fault.Interrupted) {
		k.client.Reset()
		k.service.record(timeline.ConnectionReplaced, ident.TaskID{}, k.id, err.Error())
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.unreachable.IsZero() {
		k.unreachable = time.Now()
	}
}

func (k *keeper) reached() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.unreachable = time.Time{}
}

// standing returns the epoch under which the worker is owned, 0 if it is not, and whether it has been out of reach
// for so long that nothing can run on it.
func (k *keeper) standing(now time.Time) (tenure ident.Epoch, unreachable bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.tenure, !k.unreachable.IsZero() && now.Sub(k.unreachable) > TaskLeaseBound
}

func (k *keeper) setTenure(epoch ident.Epoch) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.tenure = epoch
}

// take adopts what runs or has ended on the worker and puts it into the view. Only then does this process speak for the
// worker, so that a home is never told of a worker without its tasks.
func (k *keeper) take(inv work.Inventory) {
	s := k.service
	for _, r := range inv.Running {
		s.adopt(k.id, r)
	}
	for _, outcome := range inv.Outcomes {
		s.adoptEnded(k, outcome)
	}
	if inv.Draining {
		k.leave()
	}
	k.setTenure(inv.Epoch)
	s.record(timeline.Claimed, ident.TaskID{}, k.id, "")
	s.refresh(k)
}

// serve renews the control lease and takes outcomes until the worker is lost or belongs to another process.
func (k *keeper) serve(ctx context.Context, inv work.Inventory) {
	ctx, cancel := k.whileMine(ctx)
	defer cancel()
	sync := work.Sync{Epoch: inv.Epoch, After: inv.Last, Wait: SyncWait}
	for ctx.Err() == nil {
		sent := time.Now()
		sync.Acknowledge = k.worker.Acknowledgeable(sent)
		reply, err := k.client.Sync(ctx, sync)
		switch {
		case err == nil:
			k.synced(sent, sync.Acknowledge, reply)
			sync.After, sync.Wait = reply.Last, SyncWait
			k.relieve(ctx)
			k.service.reclaim(ctx)
		case ctx.Err() != nil:
		case fault.Is(err, fault.StaleEpoch) || !k.worker.Snapshot(time.Now()).LeaseHeld:
			k.lose(err)
			return
		default:
			k.missed(err)
			k.log.Info("sync failed", "error", err)
			if sync.Wait == 0 {
				pause.For(ctx, pause.Jitter(syncRetry, string(k.service.Self)+string(k.id)))
			}
			sync.Wait = 0 // renew at once
		}
	}
	k.release(sync.Epoch)
}

// synced takes over the answer to a sync.
func (k *keeper) synced(sent time.Time, acknowledged []work.AttemptID, reply work.SyncReply) {
	k.reached()
	k.worker.LeaseRenewed(sent)
	k.worker.OutcomesAcknowledged(acknowledged)
	k.worker.UpdateUsage(reply.Usage)
	if reply.Draining {
		k.leave()
	}
	for _, outcome := range reply.Outcomes {
		k.service.ended(k, outcome)
	}
	k.service.restrict(k, time.Now())
	k.service.refresh(k)
}

// leave stops placements because the worker itself says that it leaves.
func (k *keeper) leave() {
	k.leaving(k.worker.Drain(time.Now(), k.service.TerminationNotice))
}

// listed notes what the VM list says of the worker.
func (k *keeper) listed(leaving bool) {
	k.leaving(k.worker.UpdateListed(time.Now(), leaving, k.service.TerminationNotice))
	k.service.refresh(k)
}

func (k *keeper) leaving(fresh bool) {
	if fresh {
		k.log.Info("worker is leaving", "notice", k.service.TerminationNotice)
		k.service.record(timeline.WorkerLeaving, ident.TaskID{}, k.id, "")
	}
}

// relieve carries out what the aggregate decides about a leaving or overused worker. What fails is decided again later.
func (k *keeper) relieve(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, relieveTimeout)
	defer cancel()
	epoch := k.worker.Snapshot(time.Now()).Epoch
	for _, step := range k.worker.Mitigations(time.Now()) {
		var err error
		switch step.Action {
		case worker.Throttle:
			err = k.client.Throttle(ctx, epoch, step.ID.Task, step.Limit)
		case worker.Checkpoint:
			_, err = k.client.Checkpoint(ctx, epoch, step.ID.Task)
		case worker.Stop:
			err = k.client.Stop(ctx, epoch, step.ID.Task)
		}
		k.service.record(timeline.Relieved, step.ID.Task, k.id, step.Action.String())
		if err != nil {
			k.log.Info("relief failed", "task", step.ID.Task.String(), "remedy", step.Action.String(), "error", err)
		}
	}
}

// lose ends the attempts on a worker that this process no longer holds. They may go on under another owner.
func (k *keeper) lose(err error) {
	k.log.Warn("control lease lost", "error", err)
	k.service.record(timeline.LeaseLost, ident.TaskID{}, k.id, "")
	k.disown()
}

// release gives the worker back so that its next owner can claim it at once.
func (k *keeper) release(epoch ident.Epoch) {
	if k.service.gone.Load() {
		k.disown()
		return
	}
	k.setTenure(0)
	k.hide()
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	err := k.client.Release(ctx, epoch)
	if fault.Is(err, fault.StaleEpoch) {
		k.lose(err) // another process took the worker over
		return
	}
	if err != nil {
		k.log.Info("release failed", "error", err)
	}
	k.service.record(timeline.ReleasedLease, ident.TaskID{}, k.id, "")
	k.disown()
}

// disown ends the tenure before the attempts, so that a home is never told of a worker without its tasks.
func (k *keeper) disown() {
	k.setTenure(0)
	lost := k.worker.LeaseLost()
	k.hide()
	for _, task := range lost {
		k.service.lost(task, k.id)
	}
	k.service.refuseQueue()
	k.service.released.Signal()
}

// hide takes the worker out of the view.
func (k *keeper) hide() {
	k.view.Lock()
	defer k.view.Unlock()
	k.service.fleet.RemoveWorker(k.id)
}

// show puts the state of an owned worker that stays into the view and returns what the fleet decides about waiting
// tasks. A copy of the state that is older than the view's must not replace it.
func (k *keeper) show() fleet.Decisions {
	k.view.Lock()
	defer k.view.Unlock()
	now := time.Now()
	snap := k.worker.Snapshot(now)
	if tenure, _ := k.standing(now); tenure == 0 || snap.Leaving {
		k.service.fleet.RemoveWorker(k.id)
		return fleet.Decisions{}
	}
	return k.service.fleet.UpdateWorker(now, rowOf(snap))
}

func rowOf(snap worker.Snapshot) fleet.WorkerView {
	return fleet.WorkerView{
		Worker: snap.ID, Zone: snap.Zone, Rack: snap.Rack, Capacity: snap.Capacity, Free: snap.Free,
	}
}
