package home

import (
	"context"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/job"
	"skylarkstall/internal/domain/journal"
	"skylarkstall/internal/domain/work"
	"skylarkstall/internal/port"
)

// restoreJobs restores the jobs from the journal records and attaches them to the attempts that owners hold.
func (p *partition) restoreJobs(ctx context.Context, records []journal.Record, found survey) {
	jobs := map[ident.WorkID]*jobRunner{}
	for _, record := range records {
		if record.Kind == journal.JobAccepted && jobs[record.Work] == nil {
			jobs[record.Work] = newJobRunner(p, job.New(record.Work, record.Digest, record.Job, jitterSeed(record.Work)))
		}
	}
	for _, record := range records {
		if r := jobs[record.Work]; r != nil {
			r.job.Restore(record)
		}
	}
	held := p.heldAttempts(ctx, jobs, found)
	for id, r := range jobs {
		close(r.accepted)
		p.resumeJob(ctx, r, held[id], found)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if ctx.Err() == nil {
		p.jobs, p.jobsRestored = jobs, true
		p.changed.Signal()
	}
}

// heldAttempts returns the attempts that owners hold, by job and task index. It stops the tasks of jobs that are not in
// the journal.
func (p *partition) heldAttempts(
	ctx context.Context, jobs map[ident.WorkID]*jobRunner, found survey,
) map[ident.WorkID]map[uint32]ident.Attempt {
	held := map[ident.WorkID]map[uint32]ident.Attempt{}
	for task, h := range found.holders {
		id := task.Work
		switch {
		case task.Index == 0:
		case jobs[id] == nil:
			go p.stopUnknownTask(ctx, h.process, port.HeldAttempt{Task: task, Attempt: h.attempt})
		default:
			if held[id] == nil {
				held[id] = map[uint32]ident.Attempt{}
			}
			held[id][task.Index] = h.attempt
		}
	}
	return held
}

// stopUnknownTask stops a task of a job that is not in the journal, and waits until it has ended.
func (p *partition) stopUnknownTask(ctx context.Context, owner ident.ProcessID, held port.HeldAttempt) {
	defer p.untrackTask(held.Task, p.trackTask(held.Task))
	p.cancelTasks([]ident.TaskID{held.Task})
	epoch := p.currentEpoch()
	call := port.Place{Partition: p.id, Home: epoch, Spec: work.Spec{ID: held.Task, Attempt: held.Attempt}}
	call.Spec.Size.Slots = 1 // the minimum that the peer protocol accepts; not used when attaching
	if _, err := p.attachTo(ctx, owner, call); !notReported(err) {
		return
	}
	if t := p.currentTerm(); t != nil {
		_, _ = t.followAttempt(ctx, call, "") // no caller waits for the outcome of an unknown job
	}
}

// resumeJob attaches the job to the attempts that owners hold and continues it.
func (p *partition) resumeJob(ctx context.Context, r *jobRunner, held map[uint32]ident.Attempt, found survey) {
	attached := r.job.Reattach(held)
	for _, spec := range attached.Follow {
		f := p.trackTask(spec.ID)
		p.reassignOwner(spec.ID, found.holders[spec.ID].process)
		go r.followHeld(ctx, f, found.holders[spec.ID].process, spec)
	}
	go r.applyDecision(ctx, attached.Decision)
	go r.run(ctx)
}
