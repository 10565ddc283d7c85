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

// Timing of calls to a worker and of retries.
const (
	// claimRetryMin is the mean delay after the first refused claim. A handover usually takes one or two retries.
	claimRetryMin = 50 * time.Millisecond
	// claimRetryMax is the upper bound of the delay, which doubles with each refusal.
	claimRetryMax = 500 * time.Millisecond
	// syncRetry is the mean delay between syncs after a failure. The first retry follows at once.
	syncRetry = 200 * time.Millisecond
	// releaseTimeout limits the release call. A worker that is not reached becomes free when its lease expires.
	releaseTimeout = 2 * time.Second
	// mitigationTimeout limits the calls about tasks on a draining or overloaded worker, so that they do not delay the
	// renewal of its lease.
	mitigationTimeout = time.Second
)

// workerManager manages one worker in its own goroutine. While this process should own the worker, it holds the control
// lease and receives the outcomes.
type workerManager struct {
	id      ident.WorkerID
	zone    ident.Zone
	address string
	service *Service
	worker  *worker.Worker
	client  port.WorkerClient
	log     *slog.Logger

	viewMu sync.Mutex // orders the snapshots of the worker that are passed to the fleet

	mu               sync.Mutex
	ownedEpoch       ident.Epoch // epoch of the claim whose tasks were adopted; 0 while the worker is not owned
	unreachableSince time.Time   // zero while the worker responds
}

func newWorkerManager(s *Service, vm port.VM) *workerManager {
	id := ident.WorkerID(vm.ID)
	return &workerManager{
		id: id, zone: vm.Zone, address: vm.Address, service: s, worker: worker.New(id, ControlLease),
		client: s.Dialer.Dial(id, vm.Address), log: s.Log.With("worker", id),
	}
}

// Run claims the worker and renews its lease whenever this process should own it, until the context ends.
func (m *workerManager) Run(ctx context.Context) {
	defer func() { _ = m.client.Close() }() // a failed close cannot be handled
	retry := claimRetryMin
	for m.waitForOwnership(ctx) {
		inv, err := m.claim(ctx)
		if err != nil {
			m.log.Debug("claim failed", "error", err)
			pause.For(ctx, pause.Jitter(retry, string(m.service.Self)+string(m.id)))
			retry = min(2*retry, claimRetryMax)
			continue
		}
		retry = claimRetryMin
		m.adopt(inv)
		m.syncLoop(ctx, inv)
	}
}

func (m *workerManager) shouldOwn() bool {
	return m.service.Membership.Owner(m.id, m.zone) == m.service.Self
}

// waitForOwnership returns true once this process should own the worker, and false when the context ends.
func (m *workerManager) waitForOwnership(ctx context.Context) bool {
	for ctx.Err() == nil {
		changed := m.service.LiveChanged()
		if m.shouldOwn() {
			return true
		}
		m.recordReachable()
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
	return false
}

// whileOwner returns a context that is canceled once another process should own the worker. This ends a waiting sync at
// once, so that the next owner does not have to wait for it.
func (m *workerManager) whileOwner(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		defer cancel()
		for ctx.Err() == nil {
			changed := m.service.LiveChanged()
			if !m.shouldOwn() {
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

// claim requests the control lease. It supersedes a holder that the membership has declared dead.
func (m *workerManager) claim(ctx context.Context) (work.Inventory, error) {
	s := m.service
	sent := time.Now()
	inv, err := m.client.Claim(ctx, m.worker.NewClaim(sent, s.Self, false, TaskLease))
	if fault.Is(err, fault.StaleEpoch) {
		m.recordReachable()
		m.worker.ClaimRefused(inv.Epoch)
		supersede := inv.Holder != "" && !s.Membership.Alive(inv.Holder)
		sent = time.Now()
		inv, err = m.client.Claim(ctx, m.worker.NewClaim(sent, s.Self, supersede, TaskLease))
	}
	if err != nil {
		m.worker.ClaimRefused(inv.Epoch)
		m.recordFailedCall(err)
		return work.Inventory{}, err
	}
	m.recordReachable()
	m.worker.ClaimGranted(sent, inv)
	return inv, nil
}

// recordFailedCall records a call that the worker did not respond to. After an interrupted call the next one uses a new
// connection, because the open one may be dead.
func (m *workerManager) recordFailedCall(err error) {
	if fault.Is(err, fault.StaleEpoch) {
		return
	}
	if fault.Is(err, fault.Interrupted) {
		m.client.Reset()
		m.service.recordEvent(timeline.ConnectionReplaced, ident.TaskID{}, m.id, err.Error())
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.unreachableSince.IsZero() {
		m.unreachableSince = time.Now()
	}
}

func (m *workerManager) recordReachable() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unreachableSince = time.Time{}
}

// ownership returns the epoch under which the worker is owned, 0 if it is not, and whether it has been unreachable for
// so long that no task can still be running on it.
func (m *workerManager) ownership(now time.Time) (epoch ident.Epoch, unreachable bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ownedEpoch, !m.unreachableSince.IsZero() && now.Sub(m.unreachableSince) > TaskLeaseBound
}

func (m *workerManager) setOwnedEpoch(epoch ident.Epoch) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ownedEpoch = epoch
}

// adopt takes over the running and ended attempts of the inventory and adds the worker to the fleet. The worker counts
// as owned only after that, so that a home is never told of a worker without its tasks.
func (m *workerManager) adopt(inv work.Inventory) {
	s := m.service
	for _, r := range inv.Running {
		s.adoptRunning(m.id, r)
	}
	for _, outcome := range inv.Outcomes {
		s.adoptEnded(m, outcome)
	}
	if inv.Draining {
		m.drain()
	}
	m.setOwnedEpoch(inv.Epoch)
	s.recordEvent(timeline.Claimed, ident.TaskID{}, m.id, "")
	s.refresh(m)
}

// syncLoop renews the control lease and receives outcomes until the lease is lost or another process should own the
// worker.
func (m *workerManager) syncLoop(ctx context.Context, inv work.Inventory) {
	ctx, cancel := m.whileOwner(ctx)
	defer cancel()
	sync := work.SyncRequest{Epoch: inv.Epoch, AfterOutcome: inv.LastOutcome, MaxWait: SyncWait}
	for ctx.Err() == nil {
		sent := time.Now()
		sync.Acknowledge = m.worker.Acknowledgeable(sent)
		reply, err := m.client.Sync(ctx, sync)
		switch {
		case err == nil:
			m.applySync(sent, sync.Acknowledge, reply)
			sync.AfterOutcome, sync.MaxWait = reply.LastOutcome, SyncWait
			m.mitigate(ctx)
			m.service.preemptSelected(ctx)
		case ctx.Err() != nil:
		case fault.Is(err, fault.StaleEpoch) || !m.worker.Snapshot(time.Now()).LeaseHeld:
			m.loseLease(err)
			return
		default:
			m.recordFailedCall(err)
			m.log.Info("worker sync failed", "error", err)
			if sync.MaxWait == 0 {
				pause.For(ctx, pause.Jitter(syncRetry, string(m.service.Self)+string(m.id)))
			}
			sync.MaxWait = 0 // renew at once
		}
	}
	m.releaseLease(sync.Epoch)
}

// applySync applies the reply to a sync.
func (m *workerManager) applySync(sent time.Time, acknowledged []work.AttemptID, reply work.SyncReply) {
	m.recordReachable()
	m.worker.LeaseRenewed(sent)
	m.worker.OutcomesAcknowledged(acknowledged)
	m.worker.UpdateUsage(reply.Usage)
	if reply.Draining {
		m.drain()
	}
	for _, outcome := range reply.Outcomes {
		m.service.recordOutcome(m, outcome)
	}
	m.service.updateRestriction(m, time.Now())
	m.service.refresh(m)
}

// drain stops placements because the worker itself reports that it is draining.
func (m *workerManager) drain() {
	m.recordDraining(m.worker.Drain(time.Now(), m.service.TerminationNotice))
}

// updateListed records whether the VM list reports the worker as draining.
func (m *workerManager) updateListed(draining bool) {
	m.recordDraining(m.worker.UpdateListed(time.Now(), draining, m.service.TerminationNotice))
	m.service.refresh(m)
}

func (m *workerManager) recordDraining(started bool) {
	if started {
		m.log.Info("worker is draining", "notice", m.service.TerminationNotice)
		m.service.recordEvent(timeline.WorkerDraining, ident.TaskID{}, m.id, "")
	}
}

// mitigate carries out the actions that the aggregate requires on a draining or overloaded worker. Failed actions are
// decided again later.
func (m *workerManager) mitigate(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, mitigationTimeout)
	defer cancel()
	epoch := m.worker.Snapshot(time.Now()).Epoch
	for _, mitigation := range m.worker.Mitigations(time.Now()) {
		var err error
		switch mitigation.Action {
		case worker.Throttle:
			err = m.client.Throttle(ctx, epoch, mitigation.ID.Task, mitigation.Limit)
		case worker.Checkpoint:
			_, err = m.client.Checkpoint(ctx, epoch, mitigation.ID.Task)
		case worker.Stop:
			err = m.client.Stop(ctx, epoch, mitigation.ID.Task)
		}
		m.service.recordEvent(timeline.Mitigated, mitigation.ID.Task, m.id, mitigation.Action.String())
		if err != nil {
			m.log.Info("action on a task failed",
				"task", mitigation.ID.Task.String(), "remedy", mitigation.Action.String(), "error", err)
		}
	}
}

// loseLease ends the attempts on a worker whose lease this process has lost. They may continue under another owner.
func (m *workerManager) loseLease(err error) {
	m.log.Warn("control lease lost", "error", err)
	m.service.recordEvent(timeline.LeaseLost, ident.TaskID{}, m.id, "")
	m.endOwnership()
}

// releaseLease releases the control lease, so that the next owner can claim the worker at once.
func (m *workerManager) releaseLease(epoch ident.Epoch) {
	if m.service.skipRelease.Load() {
		m.endOwnership()
		return
	}
	m.setOwnedEpoch(0)
	m.removeFromFleet()
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	err := m.client.Release(ctx, epoch)
	if fault.Is(err, fault.StaleEpoch) {
		m.loseLease(err) // another process has claimed the worker
		return
	}
	if err != nil {
		m.log.Info("control lease not released", "error", err)
	}
	m.service.recordEvent(timeline.LeaseReleased, ident.TaskID{}, m.id, "")
	m.endOwnership()
}

// endOwnership stops reporting the worker as owned before it ends the attempts, so that a home is never told of a
// worker without its tasks.
func (m *workerManager) endOwnership() {
	m.setOwnedEpoch(0)
	lost := m.worker.LeaseLost()
	m.removeFromFleet()
	for _, task := range lost {
		m.service.loseAttempt(task, m.id)
	}
	m.service.returnQueued()
	m.service.released.Signal()
}

func (m *workerManager) removeFromFleet() {
	m.viewMu.Lock()
	defer m.viewMu.Unlock()
	m.service.fleet.RemoveWorker(m.id)
}

// updateFleet passes the state of an owned worker to the fleet, or removes the worker from it when it is draining or
// not owned. It returns what the fleet decides about queued tasks. The lock keeps an older snapshot from replacing a
// newer one.
func (m *workerManager) updateFleet() fleet.Decisions {
	m.viewMu.Lock()
	defer m.viewMu.Unlock()
	now := time.Now()
	snap := m.worker.Snapshot(now)
	if epoch, _ := m.ownership(now); epoch == 0 || snap.Draining {
		m.service.fleet.RemoveWorker(m.id)
		return fleet.Decisions{}
	}
	return m.service.fleet.UpdateWorker(now, viewOf(snap))
}

func viewOf(snap worker.Snapshot) fleet.WorkerView {
	return fleet.WorkerView{
		Worker: snap.ID, Zone: snap.Zone, Rack: snap.Rack, Capacity: snap.Capacity, Free: snap.Free,
	}
}
