package scheduler

import (
	"context"
	"slices"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/pool"
	"skylarkstall/internal/domain/workflow"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/pause"
	"skylarkstall/internal/port"
)

// Parameters of syncs with a worker. A sync renews the lease, acknowledges ends and returns the runs of the worker.
const (
	syncWait    = 800 * time.Millisecond // how long a worker delays its reply to wait for a run to end
	syncTimeout = 450 * time.Millisecond // beyond that wait
	// Syncs with a worker that did not respond are retried soon, because an unresponsive worker delays other work.
	retrySyncTimeout = 250 * time.Millisecond
	retrySyncDelay   = 50 * time.Millisecond
	// maxFirstSyncDelay is the longest delay between calls to an entry that has never answered. It may be no worker.
	maxFirstSyncDelay = 3 * time.Second
	// speculateAfter is how long a reply is overdue before copies of the worker's runs may start elsewhere, if their
	// steps allow it.
	speculateAfter = 300 * time.Millisecond
	// ackWait is how long the next sync is delayed to wait for the reported ends to be recorded.
	ackWait = 250 * time.Millisecond
	// fenceSyncWait is the longest wait of a sync with a restarted worker, which gets no starts until it has answered a later one.
	fenceSyncWait = 100 * time.Millisecond
)

// maxWithheldAcks bounds the syncs in a row that acknowledge nothing because their connections are new: a worker, or a device before
// it, may close each connection after a response. The syncs follow one another at once, so a restart between two of them is unlikely.
const maxWithheldAcks = 3

// workerMonitor keeps one worker's lease alive and tracks its runs. Its fields are guarded by the scheduler's lock.
type workerMonitor struct {
	worker           *pool.Worker
	inFlight         chan struct{} // holds a token for each start or stop request in progress
	cancel           context.CancelFunc
	appliedEnd       uint64         // highest number of an end that was applied
	ackedEnd         uint64         // highest number of an end that the worker need not report again
	pendingEnds      []*pendingEnd  // reported and not acknowledged, by ascending number
	lastSyncSent     time.Time      // when the request of the last reply that was applied was sent, or a restart was suspected
	unreachable      bool           // the worker may have restarted since its last reply: a sync failed, or a start showed it
	failedSyncs      int            // since the last answer
	roster           *workerRoster  // the last one that it was in
	noticedReleases  uint64         // releases on the worker up to the last pass of placement
	withheldAcks     int            // answered syncs in a row that acknowledged nothing, because each had a new connection
	knownAddress     string         // at which the worker answered last, or that the record names; empty if neither
	replaced         bool           // another worker responds at its address
	lapsed           []*pool.Run    // runs that were given up when the lease expired, and the worker has not responded since
	addedAt          time.Time      // when the worker was added
	answeredAt       time.Time      // when it answered for the first time
	cordonedRevision ident.Revision // of the record that cordoned the worker; 0 while there is none
	recordedFenced   bool           // the record states that the worker is fenced
}

// pendingEnd is an end that is acknowledged once the recorded progress of the job has reached the version.
type pendingEnd struct {
	number     uint64
	jobUnknown bool      // the end is not applied yet, because its job is not known
	job        *jobEntry // nil when nothing has to be recorded
	version    uint64
}

// acknowledgeable reports whether the worker need not report the end again. The scheduler's lock is held.
func (p *pendingEnd) acknowledgeable() bool {
	return !p.jobUnknown && (p.job == nil || p.job.storedVersion >= p.version)
}

// hasUnrecordedEnds reports whether the worker has reported ends that are not recorded yet. The scheduler's lock is held.
func (m *workerMonitor) hasUnrecordedEnds() bool {
	return slices.ContainsFunc(m.pendingEnds, func(p *pendingEnd) bool { return !p.acknowledgeable() })
}

// isSettled reports whether the next leader need not ask the worker: nothing runs there, and every end that it has reported is
// recorded. The scheduler's lock is held.
func (m *workerMonitor) isSettled() bool {
	return len(m.worker.Runs()) == 0 && !m.hasUnrecordedEnds()
}

// suspectRestart lets syncs acknowledge nothing until the worker replies to one that is sent from now on: the ends that it has now
// may have the numbers of those of its former life. The scheduler's lock is held.
func (m *workerMonitor) suspectRestart(now time.Time) {
	m.unreachable, m.lastSyncSent = true, now
}

// countWithheld counts the syncs in a row that acknowledged nothing because their connections were new. The scheduler's lock is held.
func (m *workerMonitor) countWithheld(reply port.SyncReply) {
	if !reply.Withheld {
		m.withheldAcks = 0
		return
	}
	m.withheldAcks++
}

// target returns where to call the worker. While it answers, that is not changed by its entry in the worker list, which another
// writer may have replaced. After a failure both addresses are tried by turns.
func (m *workerMonitor) target() port.Target {
	address := m.worker.Info().Address
	if m.knownAddress != "" && (!m.unreachable || m.failedSyncs%2 == 1) {
		address = m.knownAddress
	}
	return port.Target{Worker: m.worker.Info().ID, Address: address}
}

// maxRequests bounds the start and stop requests in progress to one worker. Each request in progress needs a connection,
// and opening one costs more than waiting for the next response of a worker.
const maxRequests = 1

func newMonitor(w pool.WorkerInfo) *workerMonitor {
	return &workerMonitor{worker: pool.NewWorker(w), inFlight: make(chan struct{}, maxRequests)}
}

// acquireRequestBy is like acquireRequest, with a deadline. It makes no timer if nothing has to be waited for.
func (m *workerMonitor) acquireRequestBy(ctx context.Context, deadline time.Time) bool {
	if ctx.Err() != nil || !time.Now().Before(deadline) {
		return false
	}
	select {
	case m.inFlight <- struct{}{}:
		return true
	default:
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	return m.acquireRequest(ctx)
}

// acquireRequest waits until a request may be sent to the worker. It returns false when the context ends first.
func (m *workerMonitor) acquireRequest(ctx context.Context) bool {
	return acquire(ctx, m.inFlight)
}

// acquire puts a token into slots. It returns false when the context ends first.
func acquire(ctx context.Context, slots chan<- struct{}) bool {
	select {
	case slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (m *workerMonitor) releaseRequest() { <-m.inFlight }

// addWorker starts the monitor of a worker. The lock is held.
func (s *Scheduler) addWorker(w pool.WorkerInfo) {
	ctx, cancel := context.WithCancel(s.ctx)
	m := newMonitor(w)
	m.cancel, m.unreachable, m.addedAt = cancel, true, time.Now()
	s.putMonitor(w.ID, m)
	s.goTask(func() { s.monitor(ctx, m) })
}

// monitor syncs with a worker until the context ends.
func (s *Scheduler) monitor(ctx context.Context, m *workerMonitor) {
	for ctx.Err() == nil {
		if err := s.sync(ctx, m, s.syncWait(time.Now())); err != nil {
			pause.For(ctx, s.syncRetryDelay(m))
			continue
		}
		s.awaitAcks(ctx, m)
	}
}

// syncRetryDelay returns the delay after a failed sync. It grows while the worker has never answered.
func (s *Scheduler) syncRetryDelay(m *workerMonitor) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	delay := retrySyncDelay
	if m.knownAddress != "" {
		return delay
	}
	for range m.failedSyncs - 1 {
		if delay = 2 * delay; delay >= maxFirstSyncDelay {
			return maxFirstSyncDelay
		}
	}
	return delay
}

// Bounds of the syncs in progress with workers that are not reached. Each opens a connection. All that are in progress must be answered within
// retrySyncTimeout, which leaves 0.8 ms of processor time for each: those that are not have been in vain, and are tried again.
const (
	reconnectsPerCore = 320
	minReconnects     = 32
	maxReconnects     = 256
)

// newReconnectSlots returns the slots of such syncs of a process with a usable share of a processor, in cores; 0 if it is not known.
func newReconnectSlots(share float64) chan struct{} {
	slots := maxReconnects
	if share > 0 {
		slots = min(max(int(share*reconnectsPerCore), minReconnects), maxReconnects)
	}
	return make(chan struct{}, slots)
}

// isUnreachable reports whether the last sync with the worker failed, or there was none.
func (s *Scheduler) isUnreachable(m *workerMonitor) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return m.unreachable
}

// sync sends one sync request to a worker and applies the reply.
func (s *Scheduler) sync(ctx context.Context, m *workerMonitor, wait time.Duration) error {
	if s.isUnreachable(m) {
		if !acquire(ctx, s.reconnects) {
			return ctx.Err()
		}
		defer func() { <-s.reconnects }()
	}
	s.mu.Lock()
	request := s.syncRequest(m, wait)
	target, timeout := m.target(), syncTimeout
	if m.unreachable {
		timeout = retrySyncTimeout
	}
	s.mu.Unlock()
	sentAt := time.Now()
	if err := s.checkInForce(sentAt); err != nil {
		s.endTerm("another process may lead", err)
		return err
	}
	syncCtx, cancel := context.WithTimeout(ctx, request.Wait+timeout)
	reply, err := s.ports.RunClient.Sync(syncCtx, target, request)
	cancel()
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if err != nil {
		s.syncFailed(m, target.Address, request.Token, err)
		return err
	}
	s.mu.Lock()
	s.recordOutdated = s.recordOutdated || m.knownAddress != target.Address
	m.knownAddress, m.failedSyncs = target.Address, 0
	m.countWithheld(reply)
	s.mu.Unlock()
	s.applyReply(m, request.Token, reply, sentAt, time.Now())
	return nil
}

// syncRequest returns the next sync request. After a failed sync it acknowledges nothing and does not wait, because the
// worker may have restarted, and then numbers its ends from 1 again. It does not renew the lease either, so that the
// lease can expire while the worker does not respond. The lock is held.
func (s *Scheduler) syncRequest(m *workerMonitor, wait time.Duration) port.SyncRequest {
	request := port.SyncRequest{Token: m.worker.Token()}
	if m.unreachable {
		return request
	}
	if now := time.Now(); s.mayLetRun(now) {
		request.LeaseExpiry, _ = m.worker.ExtendLease(s.settings.leaseDuration(), now)
	}
	for len(m.pendingEnds) > 0 && m.pendingEnds[0].acknowledgeable() {
		m.ackedEnd = m.pendingEnds[0].number
		m.pendingEnds = m.pendingEnds[1:]
	}
	request.AckThrough, request.Wait = m.ackedEnd, wait
	if m.worker.AwaitsFence() {
		request.Wait = min(wait, fenceSyncWait)
	}
	if m.withheldAcks < maxWithheldAcks {
		request.ListedAt = m.lastSyncSent
	}
	return request
}

// awaitAcks waits until the ends that the worker has reported are recorded, so that the next sync acknowledges them.
func (s *Scheduler) awaitAcks(ctx context.Context, m *workerMonitor) {
	deadline := time.After(ackWait)
	for {
		changed := s.progressStored.Changed()
		s.mu.Lock()
		unrecorded := m.hasUnrecordedEnds()
		s.mu.Unlock()
		if !unrecorded {
			return
		}
		select {
		case <-changed:
		case <-deadline:
			return
		case <-ctx.Done():
			return
		}
	}
}

// syncFailed handles a failed sync at an address. That another worker answers shows that the runs have ended only at the address
// where the worker was.
func (s *Scheduler) syncFailed(m *workerMonitor, address string, token ident.Epoch, err error) {
	if fault.Is(err, fault.StaleEpoch) {
		s.tokenRefused(m, token, err)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !m.unreachable {
		s.log.Warn("worker not reached", "worker", m.worker.Info().ID, "runs", len(m.worker.Runs()), "error", err)
	}
	m.unreachable = true
	m.failedSyncs++
	m.worker.MarkUnreached()
	switch {
	case fault.Is(err, fault.NotFound) && (m.knownAddress == "" || address == m.knownAddress):
		s.dropRuns(m, workflow.Lost)
		m.replaced = true
	case s.leaseExpired(m, time.Now()):
		s.dropRuns(m, workflow.LeaseExpired)
	case m.worker.SilentFor(time.Now()) > syncWait+speculateAfter:
		s.speculate(m)
	}
}

// tokenRefused ends the term after a worker has refused the token of a request, unless it may have seen a higher one of this leader: the
// requests that follow a restart of the worker carry it. It reports whether the term ends.
func (s *Scheduler) tokenRefused(m *workerMonitor, token ident.Epoch, err error) bool {
	s.mu.Lock()
	outdated := token < m.worker.Token()
	s.mu.Unlock()
	if !outdated {
		s.endTerm("another process may lead", err)
	}
	return !outdated
}

// leaseExpired reports whether the lease of a silent worker has certainly expired. A leader whose own lease was not renewed may have a
// successor that extends it. The lock is held.
func (s *Scheduler) leaseExpired(m *workerMonitor, now time.Time) bool {
	return m.worker.LeaseExpired(now) && s.term.Renewal.Within(authorityWindow, now)
}

// speculate lets copies of the runs of an unresponsive worker start elsewhere, if their steps allow it. The runs keep
// their capacity on the worker. The lock is held.
func (s *Scheduler) speculate(m *workerMonitor) {
	for _, run := range m.worker.Runs() {
		e := s.jobs[run.Task.Job]
		if e != nil && run.Step.AllowsCopies() && e.workflow.DropRun(run.RunRef, m.worker.Info().ID) {
			s.log.Info("run copied", "task", run.Task.String(), "run", run.Run, "worker", m.worker.Info().ID,
				"silent_ms", m.worker.SilentFor(time.Now()).Milliseconds())
			s.logGivenUp(m, run, "copied", evidenceOf(m.worker, evidenceSilent))
			s.doubtRuns([]*pool.Run{run})
			s.wakePlacement()
		}
	}
}

// dropRuns ends every run of a worker on which certainly nothing runs any more. The lock is held.
func (s *Scheduler) dropRuns(m *workerMonitor, outcome workflow.Outcome) {
	runs := m.worker.Runs()
	evidence := evidenceOf(m.worker, evidenceLapsed)
	if outcome == workflow.Lost {
		evidence.kind = evidenceReplaced
	}
	for _, run := range runs {
		m.worker.Release(run.RunRef)
		s.logGivenUp(m, run, outcome.String(), evidence)
		s.applyEnd(m, workflow.End{Run: run.RunRef, Outcome: outcome})
	}
	if outcome == workflow.Lost {
		if m.replaced {
			s.blameCrash(m, runs) // the crash itself is noted
		} else {
			s.noteCrash(m, runs, nil)
		}
	} else {
		m.lapsed = append(m.lapsed, runs...)
		s.doubtRuns(runs)
	}
	if len(runs) > 0 {
		s.log.Warn("runs of a worker given up", "worker", m.worker.Info().ID, "runs", len(runs), "how", outcome.String())
		s.wakePlacement()
	}
}
