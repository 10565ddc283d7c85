package scheduler

import (
	"context"
	"time"

	"skylarkstall/internal/domain/workflow"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/port"
)

// Cancel implements port.Scheduler. A write that would store the job may still be on its way, so NotFound is returned only after a
// tombstone has taken its place. A job that has finished remains as it is.
func (s *Scheduler) Cancel(ctx context.Context, ref port.JobRef) error {
	defer s.guardCall()
	e, err := s.lookUpJob(ctx, ref)
	if fault.Is(err, fault.NotFound) && ref.ID.Validate() == nil {
		e, err = s.preventJob(ctx, ref)
	}
	if e == nil || err != nil {
		return err
	}
	s.mu.Lock()
	if e.workflow.Cancel() {
		s.log.Info("job cancelled", "job", ref.ID, "runs", len(e.workflow.Active()))
		s.markDirty(e)
		s.stopRuns(e.workflow.Active())
	}
	version := e.version
	s.mu.Unlock()
	return s.awaitStored(ctx, e, version)
}

// lookUpJob returns a job, or nil if the job is archived. It reads the store for a job that is not known yet.
func (s *Scheduler) lookUpJob(ctx context.Context, ref port.JobRef) (*jobEntry, error) {
	s.mu.Lock()
	ready, e := s.ready, s.findJob(ref)
	finished, isFinished := s.finished[ref.ID]
	s.mu.Unlock()
	if !ready {
		return nil, s.errNotReady()
	}
	if e != nil {
		return e, nil
	}
	if isFinished {
		return nil, checkFinished(ref, finished.FinishedJob)
	}
	item, err := s.ports.Store.Get(ctx, port.JobPrefix+string(ref.ID))
	if err != nil {
		return nil, err
	}
	job, err := s.ports.RecordCodec.DecodeJob(item.Value)
	if err != nil {
		return nil, err
	}
	return s.acceptStored(ref, port.StoredJob{AcceptedJob: job, Revision: item.Revision})
}

// checkFinished fails with NotFound if a finished job belongs to another queue or account.
func checkFinished(ref port.JobRef, job port.FinishedJob) error {
	if !ref.Reaches(job.Queue, job.Account) {
		return fault.New(fault.NotFound, "job %s belongs to another queue or account", ref.ID)
	}
	return nil
}

// acceptStored takes in a job of the store and returns it. It fails with NotFound if it is a tombstone or belongs to another
// queue or account.
func (s *Scheduler) acceptStored(ref port.JobRef, job port.StoredJob) (*jobEntry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.acceptJob(job.AcceptedJob, job.Revision)
	if e := s.findJob(ref); e != nil {
		return e, nil
	}
	return nil, fault.New(fault.NotFound, "job %s was cancelled, or belongs to another queue or account", ref.ID)
}

// preventJob stores a tombstone, so that the job is not stored later. It fails with NotFound once that is certain, and returns the job if
// it was stored meanwhile, or nil if it is archived.
func (s *Scheduler) preventJob(ctx context.Context, ref port.JobRef) (*jobEntry, error) {
	if s.hasTombstone(ref.ID) {
		return nil, fault.New(fault.NotFound, "job %s was cancelled before", ref.ID)
	}
	stored, err := port.CreateJob(ctx, s.ports.Store, s.ports.RecordCodec, port.NewTombstone(ref.ID, time.Now()))
	if err != nil {
		return nil, err
	}
	if stored.Finished != nil {
		return nil, checkFinished(ref, *stored.Finished)
	}
	s.log.Info("unknown job cancelled", "job", ref.ID, "queue", ref.Queue.Name, "stored_meanwhile", !stored.Tombstone)
	return s.acceptStored(ref, stored)
}

func (s *Scheduler) hasTombstone(id workflow.ID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, found := s.tombstones[id]
	return found
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
