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

// HandleSubmit accepts a job: it records the job in the journal and then starts it. If the same job was submitted
// before, it returns the status of that job.
func (s *Service) HandleSubmit(ctx context.Context, call port.Submit) (job.Status, error) {
	p := s.partitions[call.Work.Partition()]
	if err := p.awaitJobs(ctx); err != nil {
		return job.Status{}, err
	}
	r, isNew, err := p.admitJob(call)
	if err != nil {
		return job.Status{}, err
	}
	if isNew {
		return p.acceptJob(ctx, r, call)
	}
	select {
	case <-r.accepted:
	case <-ctx.Done():
		return job.Status{}, fault.New(fault.Interrupted,
			"job %s is being recorded; retry with the same request id", call.Work)
	}
	if p.jobByID(call.Work) != r {
		return job.Status{}, fault.New(fault.StoreUnavailable, "job %s was not recorded", call.Work)
	}
	return r.job.Status(0), nil
}

// admitJob returns the job of the call and whether it is new. It fails with Conflict if the id was used for other work.
func (p *partition) admitJob(call port.Submit) (*jobRunner, bool, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.jobs == nil {
		return nil, false, fault.New(fault.StaleEpoch, "home of partition %d moved to another process", p.id)
	}
	if r, ok := p.jobs[call.Work]; ok {
		if !r.job.MatchesDigest(call.Digest) {
			return nil, false, fault.New(fault.Conflict, "request id %s was used with different content", call.Work)
		}
		return r, false, nil
	}
	if p.inFlight[ident.TaskID{Work: call.Work}] != nil {
		return nil, false, fault.New(fault.Conflict, "request id %s was used for a request, not for a job", call.Work)
	}
	p.removeExpiredJobs(time.Now())
	r := newJobRunner(p, job.New(call.Work, call.Digest, call.Job, jitterSeed(call.Work)))
	p.jobs[call.Work] = r
	return r, true, nil
}

// removeExpiredJobs removes completed jobs whose records have expired.
func (p *partition) removeExpiredJobs(now time.Time) {
	for id, r := range p.jobs {
		if now.After(r.job.Expires()) && r.job.Status(0).Complete {
			delete(p.jobs, id)
		}
	}
}

// acceptJob records the job in the journal and starts it.
func (p *partition) acceptJob(ctx context.Context, r *jobRunner, call port.Submit) (job.Status, error) {
	defer close(r.accepted)
	err := p.service.Journal.Append(ctx, p.id, journal.Record{
		Kind: journal.JobAccepted, Work: call.Work, Digest: call.Digest, Job: call.Job, Expires: r.job.Expires(),
	})
	if err != nil {
		p.removeJob(r)
		p.stepDownIfStale(err)
		return job.Status{}, err
	}
	detail := fmt.Sprintf("%s, %d tasks of kind %s", call.Job.Class, call.Job.Tasks, call.Job.Kind)
	p.service.recordEvent(timeline.JobAccepted, ident.TaskID{Work: call.Work}, detail)
	p.startJob(r)
	return r.job.Status(0), nil
}

// startJob runs the job until the term ends.
func (p *partition) startJob(r *jobRunner) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.jobs[r.job.ID()] == r {
		go r.run(p.term.ctx)
	}
}

func (p *partition) removeJob(r *jobRunner) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.jobs[r.job.ID()] == r {
		delete(p.jobs, r.job.ID())
	}
}

// jobByID returns the job with the given id, or nil.
func (p *partition) jobByID(id ident.WorkID) *jobRunner {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.jobs[id]
}

// awaitJobs waits until this process is the home and has restored the jobs of the partition from the journal.
func (p *partition) awaitJobs(ctx context.Context) error {
	for {
		if _, err := p.awaitTerm(ctx); err != nil {
			return err
		}
		changed := p.changed.Changed()
		p.mu.Lock()
		restored := p.jobsRestored
		p.mu.Unlock()
		if restored {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return fault.New(fault.StoreUnavailable, "the journal of partition %d has not been read yet", p.id)
		}
	}
}

// findJob waits until the jobs are restored and returns the job with the given id. It fails with NotFound if there is
// none.
func (p *partition) findJob(ctx context.Context, id ident.WorkID) (*jobRunner, error) {
	if err := p.awaitJobs(ctx); err != nil {
		return nil, err
	}
	r := p.jobByID(id)
	if r == nil {
		return nil, fault.New(fault.NotFound, "job %s not found", id)
	}
	return r, nil
}

// HandleQueryJob returns the status of a job. If the caller already has the present version, it waits for the next
// change.
func (s *Service) HandleQueryJob(ctx context.Context, call port.QueryJob) (job.Status, error) {
	p := s.partitions[call.Work.Partition()]
	r, err := p.findJob(ctx, call.Work)
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
		if p.jobByID(call.Work) != r {
			return job.Status{}, fault.New(fault.StaleEpoch, "home of partition %d moved to another process", p.id)
		}
	}
}

// HandleCancelWork cancels a job or a request. The cancellation of a job is recorded in the journal before its tasks
// are stopped.
func (s *Service) HandleCancelWork(ctx context.Context, id ident.WorkID) (job.Status, error) {
	p := s.partitions[id.Partition()]
	if _, err := p.awaitTerm(ctx); err != nil {
		return job.Status{}, err
	}
	if task := (ident.TaskID{Work: id}); p.isInFlight(task) {
		s.recordEvent(timeline.CancelRequested, task, "")
		p.cancelTasks([]ident.TaskID{task})
		return job.Status{Work: id, Class: work.Request, Tasks: 1, Running: 1, CancelRequested: true}, nil
	}
	r, err := p.findJob(ctx, id)
	if err != nil {
		return job.Status{}, err
	}
	if status := r.job.Status(0); status.Complete || status.CancelRequested {
		return status, nil
	}
	err = s.Journal.Append(ctx, p.id, journal.Record{Kind: journal.Canceled, Work: id, Expires: r.job.Expires()})
	if err != nil {
		p.stepDownIfStale(err)
		return job.Status{}, err
	}
	s.recordEvent(timeline.CancelRequested, ident.TaskID{Work: id}, "")
	p.cancelTasks(r.job.Cancel())
	r.changed.Signal()
	return r.job.Status(0), nil
}

// stepDownIfStale ends the term if err states that another process writes the journal of the partition.
func (p *partition) stepDownIfStale(err error) {
	if !fault.Is(err, fault.StaleEpoch) {
		return
	}
	if t := p.currentTerm(); t != nil {
		t.stepDown()
	}
}

// jitterSeed returns the seed for the jitter of one job. It depends only on the job, so that a session can be replayed.
func jitterSeed(id ident.WorkID) uint64 { return xxhash.Sum64String(id.String()) }
