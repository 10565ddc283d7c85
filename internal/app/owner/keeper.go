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

// retryInterval is the mean pause after a failed call to a worker.
const retryInterval = 500 * time.Millisecond

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

	mu          sync.Mutex
	owned       bool
	claims      int            // how often the worker became owned
	settled     []ident.TaskID // outcomes that the worker may forget at the next sync
	unreachable time.Time      // since when the worker has not answered; zero when it answers
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
	for k.waitUntilMine(ctx) {
		inv, err := k.claim(ctx)
		if err != nil {
			k.log.Debug("claim refused", "error", err)
			pause.For(ctx, pause.Jitter(retryInterval))
			continue
		}
		k.take(inv)
		k.serve(ctx, inv)
	}
}

func (k *keeper) mine() bool {
	return k.service.Members.Owner(k.id, k.zone) == k.service.Self
}

// waitUntilMine returns true once this process should own the worker, and false when the context ends.
func (k *keeper) waitUntilMine(ctx context.Context) bool {
	for ctx.Err() == nil {
		changed := k.service.Live()
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

// claim asks for the control lease; it displaces a holder that membership declared dead.
func (k *keeper) claim(ctx context.Context) (work.Inventory, error) {
	s := k.service
	sent := time.Now()
	inv, err := k.client.Claim(ctx, k.worker.Claim(s.Self, false, TaskLease))
	if fault.Is(err, fault.StaleEpoch) {
		k.reached()
		k.worker.Refused(inv.Epoch)
		supersede := inv.Holder != "" && !s.Members.Alive(inv.Holder)
		sent = time.Now()
		inv, err = k.client.Claim(ctx, k.worker.Claim(s.Self, supersede, TaskLease))
		k.worker.Refused(inv.Epoch)
	}
	if err != nil {
		k.missed(err)
		return work.Inventory{}, err
	}
	k.reached()
	k.worker.Granted(sent, inv)
	return inv, nil
}

func (k *keeper) missed(err error) {
	if fault.Is(err, fault.StaleEpoch) {
		return
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

// standing tells which claim the worker is owned by (0 for none), or that it has been out of reach for so long that
// nothing can run on it.
func (k *keeper) standing(now time.Time) (claim int, unreachable bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.owned {
		claim = k.claims
	}
	return claim, !k.unreachable.IsZero() && now.Sub(k.unreachable) > TaskLeaseBound
}

func (k *keeper) setOwned(owned bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.owned = owned
	if owned {
		k.claims++
	}
}

// take adopts what runs on the worker and puts it into the view.
func (k *keeper) take(inv work.Inventory) {
	s := k.service
	k.takeSettled() // the worker may have a newer outcome of these tasks
	for _, r := range inv.Running {
		s.adopt(k.id, r)
	}
	for _, outcome := range inv.Outcomes {
		if a := s.adoptOutcome(k.id, outcome); a != nil {
			s.finish(a, outcome, nil)
		}
	}
	k.setOwned(true)
	s.record(timeline.Claimed, ident.TaskID{}, k.id, "")
	s.refresh(k)
}

// serve renews the control lease and takes outcomes until the worker is lost or belongs to another process.
func (k *keeper) serve(ctx context.Context, inv work.Inventory) {
	sync := work.Sync{Epoch: inv.Epoch, Wait: SyncWait}
	for ctx.Err() == nil && k.mine() {
		sent := time.Now()
		sync.Acknowledge = append(sync.Acknowledge, k.takeSettled()...)
		reply, err := k.client.Sync(ctx, sync)
		switch {
		case err == nil:
			k.reached()
			k.worker.Renewed(sent, reply.Draining)
			sync.After = reply.Last
			sync.Acknowledge = k.outcomes(reply.Outcomes)
			k.service.refresh(k)
			k.service.reclaim(ctx)
		case fault.Is(err, fault.StaleEpoch) || !k.worker.Snapshot(time.Now()).Held:
			k.lose(err)
			return
		default:
			k.missed(err)
			k.log.Info("sync failed", "error", err)
			pause.For(ctx, pause.Jitter(retryInterval))
		}
	}
	k.release(sync.Epoch)
}

// outcomes ends the attempts and returns those that the worker may forget.
func (k *keeper) outcomes(outcomes []work.Outcome) []ident.TaskID {
	s := k.service
	var settled []ident.TaskID
	for _, outcome := range outcomes {
		if !s.ended(k, outcome) {
			settled = append(settled, outcome.Task)
		}
	}
	return settled
}

// lose ends the attempts on a worker that this process no longer holds. They may go on under another owner.
func (k *keeper) lose(err error) {
	s := k.service
	k.setOwned(false)
	s.fleet.Remove(k.id)
	k.log.Warn("control lease lost", "error", err)
	s.record(timeline.LeaseLost, ident.TaskID{}, k.id, "")
	for _, task := range k.worker.Lost() {
		s.lost(task, k.id)
	}
}

// release gives the worker back so that its next owner can claim it at once.
func (k *keeper) release(epoch ident.Epoch) {
	k.service.fleet.Remove(k.id)
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if err := k.client.Release(ctx, epoch); err != nil {
		k.log.Info("release failed", "error", err)
	}
	k.setOwned(false)
	k.service.record(timeline.ReleasedLease, ident.TaskID{}, k.id, "")
	for _, task := range k.worker.Lost() {
		k.service.lost(task, k.id)
	}
}

const releaseTimeout = 2 * time.Second

func rowOf(snap worker.Snapshot) fleet.Row {
	return fleet.Row{
		Worker: snap.ID, Zone: snap.Zone, Rack: snap.Rack, Capacity: snap.Capacity, Free: snap.Free,
	}
}
