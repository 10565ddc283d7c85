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

// Times of watching for jobs.
const (
	watchWait = 3 * time.Second
	// watchPause bounds the calls to the store: processes also tell of the jobs that they accept.
	watchPause = 250 * time.Millisecond
)

// watchJobs takes in the jobs of which no process has told.
func (s *Scheduler) watchJobs(ctx context.Context, after ident.Revision) {
	for ctx.Err() == nil {
		waiting, cancel := context.WithTimeout(ctx, watchWait+readTimeout)
		events, asOf, err := s.ports.Ledger.Watch(waiting, port.JobPrefix, after, watchWait)
		cancel()
		switch {
		case err == nil:
			s.takeAll(events)
			after = max(after, asOf)
		case fault.Is(err, fault.Compacted):
			after = s.readJobs(ctx, after)
		case ctx.Err() == nil:
			s.log.Warn("jobs not watched", "error", err)
		}
		pause.For(ctx, watchPause)
	}
}

// readJobs reads all jobs where the history is gone, and returns the revision to watch from.
func (s *Scheduler) readJobs(ctx context.Context, after ident.Revision) ident.Revision {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	items, asOf, err := s.ports.Ledger.List(ctx, port.JobPrefix)
	if err != nil {
		s.log.Warn("jobs not read", "error", err)
		return after
	}
	s.takeAll(items)
	return asOf
}

func (s *Scheduler) takeAll(items []port.Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, item := range items {
		if item.Value == nil {
			continue
		}
		job, err := s.ports.Records.DecodeJob(item.Value)
		if err != nil {
			s.log.Error("record of a job left out", "key", item.Key, "error", err)
			continue
		}
		if e := s.take(job); e.created == 0 {
			e.created = item.Revision
		}
	}
}

// Notify implements port.Scheduler.
func (s *Scheduler) Notify(_ context.Context, job port.AcceptedJob) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ready {
		s.take(job)
	}
	return nil
}

// StoreJob implements port.Scheduler.
func (s *Scheduler) StoreJob(ctx context.Context, job port.AcceptedJob) error {
	_, err := s.ports.Ledger.Commit(ctx, port.CreateJobTxn(s.ports.Records, job))
	if err != nil && !fault.Is(err, fault.Conflict) {
		return err
	}
	return s.Notify(ctx, job)
}

// find returns a job of a queue, or nil. The lock is held.
func (s *Scheduler) find(queue string, id workflow.ID) *entry {
	if e := s.jobs[id]; e != nil && e.queue.Name == queue {
		return e
	}
	return nil
}

// errNotRead tells a caller to come back.
func (s *Scheduler) errNotRead() error {
	return fault.New(fault.NotReady, "the leader has not read the store yet")
}

// State implements port.Scheduler. A final state is shown once it is recorded.
func (s *Scheduler) State(_ context.Context, queue string, id workflow.ID) (workflow.State, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ready {
		return 0, s.errNotRead()
	}
	e := s.find(queue, id)
	if e == nil {
		return 0, fault.New(fault.NotFound, "job %s is not known", id)
	}
	if state := e.flow.State(); !state.Final() || e.shown.Final() {
		return state, nil
	}
	return workflow.Running, nil
}

// PendingJobs implements port.Scheduler. Jobs whose time has not come do not count.
func (s *Scheduler) PendingJobs(_ context.Context, queue string) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ready {
		return 0, s.errNotRead()
	}
	n := 0
	for _, e := range s.open {
		if e.queue.Name == queue && e.flow.State() == workflow.Pending {
			n++
		}
	}
	return n, nil
}

// Config implements port.Scheduler.
func (s *Scheduler) Config(context.Context) ([]byte, error) { return s.table.Config().Source, nil }

// Cancel implements port.Scheduler.
func (s *Scheduler) Cancel(ctx context.Context, queue string, id workflow.ID) error {
	e, err := s.lookUp(ctx, queue, id)
	if err != nil {
		return err
	}
	s.mu.Lock()
	if e.flow.Cancel() {
		s.log.Info("job cancelled", "job", id, "runs", len(e.flow.Active()))
		s.changed(e)
		s.stopAll(e.flow.Active())
	}
	version := e.version
	s.mu.Unlock()
	return s.awaitStored(ctx, e, version)
}

// lookUp returns a job, also one of which the leader has not heard yet.
func (s *Scheduler) lookUp(ctx context.Context, queue string, id workflow.ID) (*entry, error) {
	s.mu.Lock()
	ready, e := s.ready, s.find(queue, id)
	s.mu.Unlock()
	if !ready {
		return nil, s.errNotRead()
	}
	if e != nil {
		return e, nil
	}
	item, err := s.ports.Ledger.Get(ctx, port.JobPrefix+string(id))
	if err != nil {
		return nil, err
	}
	job, err := s.ports.Records.DecodeJob(item.Value)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.take(job)
	if e := s.find(queue, id); e != nil {
		return e, nil
	}
	return nil, fault.New(fault.NotFound, "job %s is of another queue", id)
}

// awaitStored waits until the record has the version.
func (s *Scheduler) awaitStored(ctx context.Context, e *entry, version uint64) error {
	for {
		changed := s.settled.Changed()
		s.mu.Lock()
		stored := e.stored >= version
		s.mu.Unlock()
		if stored {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return fault.WrapAs(fault.Interrupted, ctx.Err(), "wait for the record")
		case <-s.ctx.Done():
			return fault.New(fault.Interrupted, "the term ended before the record was written")
		}
	}
}
