package scheduler

import (
	"context"
	"strings"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/workflow"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/pause"
	"skylarkstall/internal/port"
)

// load reads the state that earlier terms recorded, and returns the revision to watch from. It returns false when the
// term ends first, or when this process should give way to others.
func (s *Scheduler) load(ctx context.Context) (ident.Revision, bool) {
	workers, err := s.readWorkersRecord(ctx)
	var asOf ident.Revision
	if err == nil {
		asOf, err = s.readOpenJobs(ctx)
	}
	if err != nil {
		s.log.Warn("store not read at the start of the term", "error", err)
		return 0, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range workers {
		s.unsynced[w.ID] = w
		s.predecessor.workers = append(s.predecessor.workers, w.ID)
		s.authority.workers = append(s.authority.workers, w.ID)
		s.addWorker(w.WorkerInfo)
		s.monitors[w.ID].knownAddress, s.monitors[w.ID].recordedFenced = w.Address, w.Fenced
		s.monitors[w.ID].worker.MarkNeverListed()
		s.setRecorded(w.ID, !w.Cordoned)
	}
	s.ready, s.jobsReadTo = true, asOf
	s.log.Info("store read", "jobs", len(s.jobs), "open", len(s.openJobs), "workers", len(workers), "as_of", asOf,
		"took_ms", time.Since(s.startedAt).Milliseconds())
	return asOf, true
}

// readOpenJobs reads the jobs that are not archived, and their progress.
func (s *Scheduler) readOpenJobs(ctx context.Context) (ident.Revision, error) {
	restore := func(restoreItem func(port.Entry)) func([]port.Entry) {
		return func(page []port.Entry) {
			s.mu.Lock()
			defer s.mu.Unlock()
			for _, item := range page {
				restoreItem(item)
			}
		}
	}
	asOf, err := pageReader{s: s, prefix: port.JobPrefix, givesWay: true}.readAll(ctx, restore(s.restoreJob))
	if err != nil {
		return 0, err
	}
	_, err = pageReader{s: s, prefix: port.ProgressPrefix, givesWay: true}.readAll(ctx, restore(s.restoreProgress))
	return asOf, err
}

// readWorkersRecord returns the workers to which the previous leader may have sent requests. It fails when the term ends, or with
// errStalled.
func (s *Scheduler) readWorkersRecord(ctx context.Context) ([]port.WorkerRecord, error) {
	for began := time.Now(); ; {
		readCtx, cancel := context.WithTimeout(ctx, readTimeout)
		record, err := s.ports.Store.Get(readCtx, port.WorkersKey)
		cancel()
		if fault.Is(err, fault.NotFound) {
			return nil, nil
		}
		if err == nil {
			s.workersRevision = record.Revision
			return s.ports.RecordCodec.DecodeWorkers(record.Value, record.Revision)
		}
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		s.log.Warn("record of workers not read", "error", err)
		if s.hasStalled(began) {
			return nil, errStalled
		}
		pause.For(ctx, retryDelay)
	}
}

func (s *Scheduler) restoreJob(item port.Entry) {
	job, err := s.ports.RecordCodec.DecodeJob(item.Value)
	if err != nil {
		s.log.Error("record of a job left out", "key", item.Key, "error", err)
		return
	}
	if s.jobs[job.Spec.ID] != nil {
		return
	}
	if job.Tombstone {
		s.tombstones[job.Spec.ID] = time.Now()
		return
	}
	e := s.addJob(job)
	e.createdRevision = item.Revision
	if s.term.HasPredecessor {
		e.workflow.MarkUnknownRuns()
	}
}

func (s *Scheduler) restoreProgress(item port.Entry) {
	id := workflow.ID(strings.TrimPrefix(item.Key, port.ProgressPrefix))
	e := s.jobs[id]
	if e == nil {
		return
	}
	p, err := s.ports.RecordCodec.DecodeProgress(item.Value)
	if err != nil {
		s.log.Error("record of progress left out", "key", item.Key, "error", err)
		return
	}
	e.workflow.Restore(p)
	e.revision, e.storedState = item.Revision, e.workflow.State()
	if e.workflow.State().Final() {
		e.finished = time.Now()
		delete(s.openJobs, id)
	}
}

// updateUnsynced checks which workers of the previous leader have reported their runs. Once each of them has done
// so, or certainly runs nothing any more, every run that an earlier leader may have started is known or has ended. The
// lock is held.
func (s *Scheduler) updateUnsynced(now time.Time) {
	if s.accounted {
		return
	}
	s.observeFencing(now)
	silentAt := s.predecessorSilentAt()
	for id, w := range s.unsynced {
		m := s.monitors[id]
		answers := m != nil && !m.answeredAt.IsZero() && !m.worker.LeaseExpired(now) // but has more ends than it lists
		if m != nil && (m.worker.Synced() || m.replaced) || now.After(silentAt.Add(s.lapseTime(w))) && !answers {
			delete(s.unsynced, id)
		}
	}
	if len(s.unsynced) > 0 {
		return
	}
	s.accounted = true
	for _, e := range s.openJobs {
		s.settleDoubts(e)
	}
	s.log.Info("runs of earlier terms accounted for", "after_ms", now.Sub(s.startedAt).Milliseconds(),
		"fenced_ms", s.fencedAfter().Milliseconds())
}

// mayRunOnUnsynced reports whether tasks of a job may be running on a worker that has not reported its runs yet. A
// worker that the predecessor cordoned before the job was stored has none of them, unless they were started by a leader before the
// predecessor. The lock is held.
func (s *Scheduler) mayRunOnUnsynced(e *jobEntry) bool {
	if !e.workflow.MayHaveUnknownRuns() && !s.mayBeStartedByPredecessor(e) {
		return false
	}
	for _, w := range s.unsynced {
		if s.mayRunOn(e, w) {
			return true
		}
	}
	return false
}

// mayRunOn reports whether tasks of a job may be running on a worker that has not reported its runs yet. The lock is held.
func (s *Scheduler) mayRunOn(e *jobEntry, w port.WorkerRecord) bool {
	return !w.Cordoned || e.createdRevision < w.CordonedAt || s.earlierRunsLast(w)
}

// acceptJob adds a job that was accepted during the term, unless it is already known, has finished, or was cancelled before it was stored. The
// revision is that of its record, or 0 if it is not known. The lock is held.
func (s *Scheduler) acceptJob(job port.AcceptedJob, revision ident.Revision) {
	id := job.Spec.ID
	if e := s.jobs[id]; e != nil {
		if e.createdRevision == 0 {
			e.createdRevision = revision
		}
		return
	}
	if _, cancelled := s.tombstones[id]; cancelled {
		return
	}
	if _, finished := s.finished[id]; finished {
		return
	}
	if job.Tombstone {
		s.tombstones[id] = time.Now()
		return
	}
	s.countJob(&job, time.Now())
	s.countIntake(&job)
	e := s.addJob(job)
	e.createdRevision = revision
	s.adoptOrphans(e)
	s.log.Info("job taken in", "job", job.Spec.ID, "queue", job.Queue.Name, "priority", job.Queue.Priority,
		"steps", len(job.Spec.Steps), "age_ms", time.Since(job.AcceptedAt).Milliseconds())
	s.wakePlacement()
}
