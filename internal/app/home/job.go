package home

import (
	"context"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/job"
	"skylarkstall/internal/domain/journal"
	"skylarkstall/internal/domain/timeline"
	"skylarkstall/internal/domain/work"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/port"
)

// HandleSubmit accepts a job once it is recorded. The same job submitted again returns its status.
func (s *Service) HandleSubmit(ctx context.Context, call port.Submit) (job.Status, error) {
	p := s.partitions[call.Work.Partition()]
	if err := p.awaitJobs(ctx); err != nil {
		return job.Status{}, err
	}
	r, fresh, err := p.admit(call)
	if err != nil {
		return job.Status{}, err
	}
	if fresh {
		return p.accept(ctx, r, call)
	}
	select {
	case <-r.accepted:
	case <-ctx.Done():
		return job.Status{}, fault.New(fault.Interrupted, "job %s is being recorded; ask again", call.Work)
	}
	if p.job(call.Work) != r {
		return job.Status{}, fault.New(fault.StoreUnavailable, "job %s was not recorded", call.Work)
	}
	return r.job.Status(0), nil
}

// admit returns the job of the call and whether it is new. It fails with Conflict when the id was used for other work.
func (p *partition) admit(call port.Submit) (*runner, bool, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.jobs == nil {
		return nil, false, fault.New(fault.StaleEpoch, "partition %d moved to another process", p.id)
	}
	if r, ok := p.jobs[call.Work]; ok {
		if !r.job.MatchesDigest(call.Digest) {
			return nil, false, fault.New(fault.Conflict, "request id %s was used with different content", call.Work)
		}
		return r, false, nil
	}
	if p.flights[ident.TaskID{Work: call.Work}] != nil {
		return nil, false, fault.New(fault.Conflict, "request id %s was used for a request", call.Work)
	}
	p.dropExpired(time.Now())
	r := newRunner(p, job.New(call.Work, call.Digest, call.Job, seedOf(call.Work)))
	p.jobs[call.Work] = r
	return r, true, nil
}

// dropExpired forgets jobs that have ended and whose records may be dropped.
func (p *partition) dropExpired(now time.Time) {
	for id, r := range p.jobs {
		if now.After(r.job.Expires()) && r.job.Status(0).Complete {
			delete(p.jobs, id)
		}
	}
}

// accept records the job and starts it.
func (p *partition) accept(ctx context.Context, r *runner, call port.Submit) (job.Status, error) {
	defer close(r.accepted)
	err := p.service.Journal.Append(ctx, p.id, journal.Record{
		Kind: journal.JobAccepted, Work: call.Work, Digest: call.Digest, Job: call.Job, Expires: r.job.Expires(),
	})
	if err != nil {
		p.dropJob(r)
		p.checkFenced(err)
		return job.Status{}, err
	}
	detail := fmt.Sprintf("%s, %d tasks of kind %s", call.Job.Class, call.Job.Tasks, call.Job.Kind)
	p.service.record(timeline.JobAccepted, ident.TaskID{Work: call.Work}, detail)
	p.startJob(r)
	return r.job.Status(0), nil
}

// startJob runs the job until the partition is given up.
func (p *partition) startJob(r *runner) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.jobs[r.job.ID()] == r {
		go r.run(p.term.ctx)
	}
}

func (p *partition) dropJob(r *runner) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.jobs[r.job.ID()] == r {
		delete(p.jobs, r.job.ID())
	}
}

// job returns the job with the id, or nil.
func (p *partition) job(id ident.WorkID) *runner {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.jobs[id]
}

// awaitJobs waits until the partition serves and its jobs were read from the journal.
func (p *partition) awaitJobs(ctx context.Context) error {
	for {
		if _, err := p.await(ctx); err != nil {
			return err
		}
		changed := p.changed.Changed()
		p.mu.Lock()
		restored := p.restored
		p.mu.Unlock()
		if restored {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return fault.New(fault.StoreUnavailable, "the journal of partition %d was not read yet", p.id)
		}
	}
}

// find returns the job with the id. It fails with NotFound.
func (p *partition) find(ctx context.Context, id ident.WorkID) (*runner, error) {
	if err := p.awaitJobs(ctx); err != nil {
		return nil, err
	}
	r := p.job(id)
	if r == nil {
		return nil, fault.New(fault.NotFound, "no job has the id %s", id)
	}
	return r, nil
}

// HandleQueryJob returns the status of a job, at once or after its next change.
func (s *Service) HandleQueryJob(ctx context.Context, call port.QueryJob) (job.Status, error) {
	p := s.partitions[call.Work.Partition()]
	r, err := p.find(ctx, call.Work)
	if err != nil {
		return job.Status{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, call.Wait)
	defer cancel()
	for {
		changed := r.changed.Changed()
		status := r.job.Status(call.From)
		if status.Version != call.Version || ctx.Err() != nil {
			return status, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
		if p.job(call.Work) != r {
			return job.Status{}, fault.New(fault.StaleEpoch, "partition %d moved to another process", p.id)
		}
	}
}

// HandleCancelWork cancels a job or a request. The cancellation of a job is recorded before the tasks are stopped.
func (s *Service) HandleCancelWork(ctx context.Context, id ident.WorkID) (job.Status, error) {
	p := s.partitions[id.Partition()]
	if _, err := p.await(ctx); err != nil {
		return job.Status{}, err
	}
	if task := (ident.TaskID{Work: id}); p.inFlight(task) {
		s.record(timeline.CancelRequested, task, "")
		p.halt([]ident.TaskID{task})
		return job.Status{Work: id, Class: work.Request, Tasks: 1, Running: 1, CancelRequested: true}, nil
	}
	r, err := p.find(ctx, id)
	if err != nil {
		return job.Status{}, err
	}
	if status := r.job.Status(0); status.Complete || status.CancelRequested {
		return status, nil
	}
	err = s.Journal.Append(ctx, p.id, journal.Record{Kind: journal.Canceled, Work: id, Expires: r.job.Expires()})
	if err != nil {
		p.checkFenced(err)
		return job.Status{}, err
	}
	s.record(timeline.CancelRequested, ident.TaskID{Work: id}, "")
	p.halt(r.job.Cancel())
	r.changed.Signal()
	return r.job.Status(0), nil
}

// checkFenced gives the partition up when the error says that another home writes its journal.
func (p *partition) checkFenced(err error) {
	if !fault.Is(err, fault.StaleEpoch) {
		return
	}
	if t := p.current(); t != nil {
		t.fenced()
	}
}

// seedOf returns the seed for the jitter of one job. It depends only on the job, so that a session replays.
func seedOf(id ident.WorkID) uint64 { return xxhash.Sum64String(id.String()) }
