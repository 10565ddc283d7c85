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

// Parameters of reading the store.
const (
	readTimeout = 1500 * time.Millisecond
	retryDelay  = 100 * time.Millisecond
)

// load reads the state that earlier terms recorded, and returns the revision to watch from. It returns false when the
// term ends first.
func (s *Scheduler) load(ctx context.Context) (ident.Revision, bool) {
	for ctx.Err() == nil {
		asOf, err := s.loadOnce(ctx)
		if err == nil {
			return asOf, true
		}
		s.log.Warn("store not read at the start of the term", "error", err)
		pause.For(ctx, retryDelay)
	}
	return 0, false
}

func (s *Scheduler) loadOnce(ctx context.Context) (ident.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*readTimeout)
	defer cancel()
	workers, err := s.readWorkersRecord(ctx)
	if err != nil {
		return 0, err
	}
	jobs, asOf, err := s.ports.Store.List(ctx, port.JobPrefix)
	if err != nil {
		return 0, err
	}
	progress, _, err := s.ports.Store.List(ctx, port.ProgressPrefix)
	if err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, item := range jobs {
		s.restoreJob(item)
	}
	for _, item := range progress {
		s.restoreProgress(item)
	}
	for _, w := range workers {
		s.unsynced[w.ID] = w
		s.predecessor.workers = append(s.predecessor.workers, w.ID)
		s.authority.workers = append(s.authority.workers, w.ID)
		s.addWorker(w.WorkerInfo)
		s.monitors[w.ID].knownAddress = w.Address
		s.recorded[w.ID] = !w.Cordoned
	}
	s.ready = true
	s.log.Info("store read", "jobs", len(s.jobs), "open", len(s.openJobs), "workers", len(workers), "as_of", asOf)
	return asOf, nil
}

// readWorkersRecord returns the workers to which the previous leader may have sent requests.
func (s *Scheduler) readWorkersRecord(ctx context.Context) ([]port.WorkerRecord, error) {
	record, err := s.ports.Store.Get(ctx, port.WorkersKey)
	if fault.Is(err, fault.NotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	s.workersRevision = record.Revision
	return s.ports.RecordCodec.DecodeWorkers(record.Value, record.Revision)
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
	lapsed := now.After(s.predecessorLapsedAt())
	for id := range s.unsynced {
		m := s.monitors[id]
		if m != nil && (m.worker.Synced() || m.replaced) || lapsed {
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
// worker that was cordoned before the job was stored has none of them. The lock is held.
func (s *Scheduler) mayRunOnUnsynced(e *jobEntry) bool {
	if !e.workflow.MayHaveUnknownRuns() {
		return false
	}
	for _, w := range s.unsynced {
		if !w.Cordoned || e.createdRevision < w.CordonedAt {
			return true
		}
	}
	return false
}

// staleLeaderWindow is how long a replaced leader may still accept jobs and start their tasks before it learns that it
// has been replaced.
const staleLeaderWindow = 1500 * time.Millisecond

// acceptJob adds a job that was accepted during the term, unless it is already known or was cancelled before it was stored. The
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
	if job.Tombstone {
		s.tombstones[id] = time.Now()
		return
	}
	e := s.addJob(job)
	e.createdRevision = revision
	s.adoptOrphans(e)
	if len(s.unsynced) > 0 && time.Since(s.startedAt) < staleLeaderWindow {
		e.workflow.MarkUnknownRuns()
	}
	s.log.Info("job taken in", "job", job.Spec.ID, "queue", job.Queue.Name, "priority", job.Queue.Priority,
		"steps", len(job.Spec.Steps), "age_ms", time.Since(job.AcceptedAt).Milliseconds())
	s.wakePlacement()
}
