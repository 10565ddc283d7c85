package scheduler

import (
	"cmp"
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

// Parameters of polling the worker list.
const (
	listInterval = 500 * time.Millisecond
	// removeAfter is how long a settled worker must be missing from the worker list before it is removed. Entries
	// that expired while the store was unavailable reappear within two seconds.
	removeAfter = 3 * time.Second
	// recordDelay collects the first answers of several workers into one record.
	recordDelay = 50 * time.Millisecond
	// maxListTimeout bounds the time for the list, which doubles with each failure: a long list may need it on a slow link.
	maxListTimeout = 12 * time.Second
)

// watchWorkers reads the worker list periodically, and records workers once they have answered, until the term ends.
func (s *Scheduler) watchWorkers(ctx context.Context) {
	for timeout := readTimeout; ctx.Err() == nil; {
		readCtx, cancel := context.WithTimeout(ctx, timeout)
		workers, err := s.ports.Workers.Workers(readCtx)
		cancel()
		timeout = min(2*timeout, maxListTimeout)
		if err == nil {
			timeout = readTimeout
			s.applyWorkerList(ctx, workers)
		} else if ctx.Err() == nil {
			s.log.Warn("list of workers not read", "error", err)
		}
		s.recordAnswers(ctx, time.After(listInterval))
	}
}

// recordAnswers updates the record of workers after each first answer of a worker, until the given time or the restart of a worker.
func (s *Scheduler) recordAnswers(ctx context.Context, until <-chan time.Time) {
	for {
		select {
		case <-s.firstAnswers:
			pause.For(ctx, recordDelay)
			s.recordWorkers(ctx)
		case <-s.restarts:
			pause.For(ctx, recordDelay)
			return
		case <-until:
			return
		case <-ctx.Done():
			return
		}
	}
}

// applyWorkerList applies the worker list and updates the record of workers.
func (s *Scheduler) applyWorkerList(ctx context.Context, workers []pool.WorkerInfo) {
	s.mu.Lock()
	s.updateWorkers(workers, time.Now())
	s.removeMissing(time.Now())
	s.mu.Unlock()
	s.recordWorkers(ctx)
}

// recordWorkers updates the record of workers. A worker is recorded before it gets requests to start runs, so that the next leader
// checks it for runs.
func (s *Scheduler) recordWorkers(ctx context.Context) {
	s.mu.Lock()
	record, changed := s.workersRecord()
	revision := s.workersRevision
	s.mu.Unlock()
	if !changed {
		return
	}
	newRevision, ok := s.storeWorkers(ctx, record, revision)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.workersRevision, s.recordOutdated = newRevision, false
	s.authority.workers = nil
	for _, w := range record {
		s.authority.workers = append(s.authority.workers, w.ID)
		m := s.monitors[w.ID]
		if m == nil {
			continue
		}
		s.setRecorded(w.ID, !w.Cordoned)
		m.recordedFenced = w.Fenced
		if w.Cordoned && m.cordonedRevision == 0 {
			m.cordonedRevision = newRevision
		}
		if m.worker.NeedsToken() {
			m.worker.SetToken(ident.Epoch(newRevision)) // lower than that of every later leader, as this one led at the revision
		}
	}
	s.log.Info("workers recorded", "workers", len(record), "known", len(s.monitors))
	s.wakePlacement()
}

// updateWorkers applies the entries of the worker list to the monitored workers. The lock is held.
func (s *Scheduler) updateWorkers(workers []pool.WorkerInfo, now time.Time) {
	listed := map[ident.WorkerID]bool{}
	for _, w := range workers {
		listed[w.ID] = true
		m := s.monitors[w.ID]
		if m == nil {
			s.addWorker(w)
			s.log.Info("worker added", "worker", w.ID, "address", w.Address, "service", w.Service)
			continue
		}
		if w.Draining && !m.worker.Info().Draining {
			s.log.Info("worker drains", "worker", w.ID, "remaining_ms", w.RemainingTime.Milliseconds())
			s.evacuate(m, w.RemainingTime, now)
		}
		former := m.worker.Info()
		incarnation := former.Incarnation
		m.worker.UpdateInfo(w)
		if former.Rack != w.Rack {
			s.roster = nil // it lists the workers by rack
		}
		if !slices.Equal(former.Labels, w.Labels) {
			s.assignKind(m.worker)
		}
		if m.worker.Synced() && incarnation != 0 {
			m.worker.KeepIncarnation(incarnation) // sync replies report a restart earlier than the list
		}
	}
	for id, m := range s.monitors {
		if !listed[id] {
			m.worker.MarkMissing(now)
		}
	}
}

// evacuate stops the runs of a draining worker that should continue elsewhere: long-running tasks, and checkpointing
// tasks that will not end in the remaining time. The lock is held.
func (s *Scheduler) evacuate(m *workerMonitor, remaining time.Duration, now time.Time) {
	var runs []workflow.Placement
	for _, run := range m.worker.Runs() {
		timeLeft := run.Step.Estimate
		if !run.Started.IsZero() {
			timeLeft -= now.Sub(run.Started)
		}
		resumable := run.Step.Checkpointing && !run.Step.Gang && timeLeft > remaining
		if run.Step.LongRunning || resumable {
			runs = append(runs, workflow.Placement{RunRef: run.RunRef, Worker: m.worker.Info().ID})
		}
	}
	s.stopRuns(runs)
}

// removeMissing removes settled workers that have been missing from the worker list for long. The lock is held.
func (s *Scheduler) removeMissing(now time.Time) {
	for id, m := range s.monitors {
		_, unsynced := s.unsynced[id]
		if !unsynced && m.worker.MissingFor(now) > removeAfter && m.isSettled() {
			m.cancel()
			s.resolveLapsed(m)
			_, known := s.recorded[id]
			s.recordOutdated = s.recordOutdated || known
			s.removeMonitor(id)
			s.log.Info("worker removed", "worker", id)
		}
	}
}

// firstResponseTimeout is how long a new worker may take to respond before it counts as unresponsive.
const firstResponseTimeout = 2 * time.Second

// workersRecord returns the new content of the record of workers, and whether it differs from the stored one. A worker
// that does not respond or is draining is cordoned: it gets no further runs. Once a cordoned worker is settled, it is
// left out. So is an entry of the worker list that has not answered yet, because it gets no runs and may be no worker at all.
// The lock is held.
func (s *Scheduler) workersRecord() ([]port.WorkerRecord, bool) {
	var record []port.WorkerRecord
	changed := s.recordOutdated
	for id, m := range s.monitors {
		_, unsynced := s.unsynced[id]
		unresponsive := m.unreachable && (m.worker.Synced() || time.Since(m.addedAt) > firstResponseTimeout)
		cordoned := unresponsive || m.worker.Info().Draining
		schedulable, known := s.recorded[id]
		if (cordoned || !m.worker.Synced()) && !unsynced && m.isSettled() {
			changed = changed || known
			s.unrecord(id)
			continue
		}
		fenced := s.isFenced(m, time.Now())
		changed = changed || !known || schedulable == cordoned || fenced != m.recordedFenced || m.worker.NeedsToken()
		if cordoned {
			s.setRecorded(id, false)
		} else {
			m.cordonedRevision = 0
		}
		info := m.worker.Info()
		info.Address = cmp.Or(m.knownAddress, info.Address)
		record = append(record, port.WorkerRecord{
			WorkerInfo: info, Cordoned: cordoned, CordonedAt: m.cordonedRevision, Fenced: fenced,
		})
	}
	s.recordOutdated = changed
	return record, changed
}

// isFenced reports whether the next leader may rely on leases of the usual length on the worker. The lock is held.
func (s *Scheduler) isFenced(m *workerMonitor, now time.Time) bool {
	if !m.answeredAt.IsZero() {
		return m.worker.IsFenced(s.settings.leaseDuration(), now)
	}
	record := s.unsynced[m.worker.Info().ID] // this leader has sent no leases to the worker
	return record.Fenced && record.Incarnation == m.worker.Info().Incarnation
}

// storeWorkers writes the record of workers if it still has the revision. It returns the new revision, and false when
// the write failed.
func (s *Scheduler) storeWorkers(
	ctx context.Context, record []port.WorkerRecord, revision ident.Revision,
) (ident.Revision, bool) {
	commitCtx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	result, err := s.ports.Store.Commit(commitCtx, port.Txn{
		If: []port.Condition{
			{Key: port.LeaderKey, Revision: s.term.Revision}, {Key: port.WorkersKey, Revision: revision},
		},
		Writes: []port.Write{{Key: port.WorkersKey, Value: s.ports.RecordCodec.EncodeWorkers(record)}},
	})
	if err == nil {
		return result.Revision, true
	}
	s.log.Warn("workers not recorded", "workers", len(record), "error", err)
	if !fault.Is(err, fault.Conflict) {
		return 0, false
	}
	isLeader := false
	for _, item := range result.Current {
		isLeader = isLeader || item.Key == port.LeaderKey && item.Revision == s.term.Revision
		if item.Key == port.WorkersKey {
			s.mu.Lock()
			s.workersRevision = item.Revision // an earlier attempt without a response has succeeded
			s.mu.Unlock()
		}
	}
	if !isLeader {
		s.endTerm("the store names another leader", err)
	}
	return 0, false
}
