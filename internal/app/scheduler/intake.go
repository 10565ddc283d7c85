package scheduler

import (
	"context"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/route"
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
		s.noteJobsRead(after)
		pause.For(ctx, watchPause)
	}
}

// noteJobsRead notes that every job that was stored up to a revision has been read.
func (s *Scheduler) noteJobsRead(through ident.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.jobsReadTo = max(s.jobsReadTo, through)
}

// readJobs reads the jobs that are not archived after the store has compacted its history, and returns the revision to watch
// from.
func (s *Scheduler) readJobs(ctx context.Context, after ident.Revision) ident.Revision {
	asOf, err := pageReader{s: s, prefix: port.JobPrefix}.readAll(ctx, s.acceptJobs)
	if err != nil {
		return after // the term has ended
	}
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
		s.acceptJob(job, item.Revision)
	}
}

// Notify implements port.Scheduler. Until the archive has been read, the job may be one that finished long ago and is announced
// late. The leader then waits until it reads the job from the store.
func (s *Scheduler) Notify(_ context.Context, job port.AcceptedJob) error {
	defer s.guardCall()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ready && s.historyRead {
		s.acceptJob(job, 0)
	}
	return nil
}

// StoreJob implements port.Scheduler.
func (s *Scheduler) StoreJob(ctx context.Context, job port.AcceptedJob) error {
	defer s.guardCall()
	stored, err := port.CreateJob(ctx, s.ports.Store, s.ports.RecordCodec, job)
	if err != nil {
		return err
	}
	if err := stored.CheckSubmission(job); err != nil || stored.Finished != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ready {
		s.acceptJob(stored.AcceptedJob, stored.Revision)
	}
	return nil
}

// findJob returns a job that its caller can reach, or nil if it is not known. The lock is held.
func (s *Scheduler) findJob(ref port.JobRef) *jobEntry {
	if e := s.jobs[ref.ID]; e != nil && ref.Reaches(e.queue.Ref(), e.account) {
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
func (s *Scheduler) State(_ context.Context, ref port.JobRef) (workflow.State, error) {
	defer s.guardCall()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ready {
		return 0, s.errNotReady()
	}
	e := s.findJob(ref)
	if e == nil {
		if job, ok := s.finished[ref.ID]; ok && ref.Reaches(job.Queue, job.Account) {
			return job.State, nil
		}
		return 0, fault.New(fault.NotFound, "job %s is not known", ref.ID)
	}
	if state := e.workflow.State(); !state.Final() || e.storedState.Final() {
		return state, nil
	}
	return workflow.Running, nil
}

// PendingJobs implements port.Scheduler. It counts the open jobs of which no task has started.
func (s *Scheduler) PendingJobs(_ context.Context, queue route.QueueRef) (int, error) {
	defer s.guardCall()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ready {
		return 0, s.errNotReady()
	}
	n := 0
	for _, e := range s.openJobs {
		if e.queue.Ref().Matches(queue) && e.workflow.State() == workflow.Pending {
			n++
		}
	}
	return n, nil
}
