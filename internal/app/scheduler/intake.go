package scheduler

import (
	"context"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/workflow"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/pause"
	"skylarkstall/internal/port"
)

// Parameters of watching the store for jobs.
const (
	watchWait = 3 * time.Second
	// watchPause limits the rate of calls to the store. The delay is acceptable because processes also notify the
	// leader of the jobs that they accept.
	watchPause = 250 * time.Millisecond
)

// watchJobs adds accepted jobs from the store, for those of which no process has notified the leader.
func (s *Scheduler) watchJobs(ctx context.Context, after ident.Revision) {
	for ctx.Err() == nil {
		watchCtx, cancel := context.WithTimeout(ctx, watchWait+readTimeout)
		events, asOf, err := s.ports.Store.Watch(watchCtx, port.JobPrefix, after, watchWait)
		cancel()
		switch {
		case err == nil:
			s.acceptJobs(events)
			after = max(after, asOf)
		case fault.Is(err, fault.Compacted):
			after = s.readJobs(ctx, after)
		case ctx.Err() == nil:
			s.log.Warn("jobs not watched", "error", err)
		}
		pause.For(ctx, watchPause)
	}
}

// readJobs reads all jobs after the store has compacted its history, and returns the revision to watch from.
func (s *Scheduler) readJobs(ctx context.Context, after ident.Revision) ident.Revision {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	items, asOf, err := s.ports.Store.List(ctx, port.JobPrefix)
	if err != nil {
		s.log.Warn("jobs not read", "error", err)
		return after
	}
	s.acceptJobs(items)
	return asOf
}

func (s *Scheduler) acceptJobs(items []port.Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, item := range items {
		if item.Value == nil {
			continue
		}
		job, err := s.ports.RecordCodec.DecodeJob(item.Value)
		if err != nil {
			s.log.Error("record of a job left out", "key", item.Key, "error", err)
			continue
		}
		if e := s.acceptJob(job); e.createdRevision == 0 {
			e.createdRevision = item.Revision
		}
	}
}

// Notify implements port.Scheduler.
func (s *Scheduler) Notify(_ context.Context, job port.AcceptedJob) error {
	defer s.guardCall()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ready {
		s.acceptJob(job)
	}
	return nil
}

// StoreJob implements port.Scheduler.
func (s *Scheduler) StoreJob(ctx context.Context, job port.AcceptedJob) error {
	_, err := s.ports.Store.Commit(ctx, port.CreateJobTxn(s.ports.RecordCodec, job))
	if err != nil && !fault.Is(err, fault.Conflict) {
		return err
	}
	return s.Notify(ctx, job)
}

// findJob returns a job of a queue, or nil if it is not known. The lock is held.
func (s *Scheduler) findJob(queue string, id workflow.ID) *jobEntry {
	if e := s.jobs[id]; e != nil && e.queue.Name == queue {
		return e
	}
	return nil
}

// errNotReady returns the error for calls that arrive before the store has been read; callers retry them.
func (s *Scheduler) errNotReady() error {
	return fault.New(fault.NotReady, "the leader has not read the store yet")
}

// State implements port.Scheduler. A final state is returned only after it has been recorded; until then the job counts
// as running.
func (s *Scheduler) State(_ context.Context, queue string, id workflow.ID) (workflow.State, error) {
	defer s.guardCall()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ready {
		return 0, s.errNotReady()
	}
	e := s.findJob(queue, id)
	if e == nil {
		return 0, fault.New(fault.NotFound, "job %s is not known", id)
	}
	if state := e.workflow.State(); !state.Final() || e.storedState.Final() {
		return state, nil
	}
	return workflow.Running, nil
}

// PendingJobs implements port.Scheduler. It counts the open jobs of which no task has started.
func (s *Scheduler) PendingJobs(_ context.Context, queue string) (int, error) {
	defer s.guardCall()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ready {
		return 0, s.errNotReady()
	}
	n := 0
	for _, e := range s.openJobs {
		if e.queue.Name == queue && e.workflow.State() == workflow.Pending {
			n++
		}
	}
	return n, nil
}

// Cancel implements port.Scheduler.
func (s *Scheduler) Cancel(ctx context.Context, queue string, id workflow.ID) error {
	defer s.guardCall()
	e, err := s.lookUpJob(ctx, queue, id)
	if err != nil {
		return err
	}
	s.mu.Lock()
	if e.workflow.Cancel() {
		s.log.Info("job cancelled", "job", id, "runs", len(e.workflow.Active()))
		s.markDirty(e)
		s.stopRuns(e.workflow.Active())
	}
	version := e.version
	s.mu.Unlock()
	return s.awaitStored(ctx, e, version)
}

// lookUpJob returns a job. It reads the store for a job that is not known yet.
func (s *Scheduler) lookUpJob(ctx context.Context, queue string, id workflow.ID) (*jobEntry, error) {
	s.mu.Lock()
	ready, e := s.ready, s.findJob(queue, id)
	s.mu.Unlock()
	if !ready {
		return nil, s.errNotReady()
	}
	if e != nil {
		return e, nil
	}
	item, err := s.ports.Store.Get(ctx, port.JobPrefix+string(id))
	if err != nil {
		return nil, err
	}
	job, err := s.ports.RecordCodec.DecodeJob(item.Value)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.acceptJob(job)
	if e := s.findJob(queue, id); e != nil {
		return e, nil
	}
	return nil, fault.New(fault.NotFound, "job %s belongs to another queue", id)
}

// awaitStored waits until the recorded progress of the job has reached the version.
func (s *Scheduler) awaitStored(ctx context.Context, e *jobEntry, version uint64) error {
	for {
		changed := s.progressStored.Changed()
		s.mu.Lock()
		stored := e.storedVersion >= version
		s.mu.Unlock()
		if stored {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return fault.WrapAs(fault.Interrupted, ctx.Err(), "wait for the job's progress to be recorded")
		case <-s.ctx.Done():
			return fault.New(fault.Interrupted, "the leader's term ended before the job's progress was recorded")
		}
	}
}
