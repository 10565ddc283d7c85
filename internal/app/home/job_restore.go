package home

import (
	"context"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/job"
	"skylarkstall/internal/domain/journal"
	"skylarkstall/internal/domain/work"
	"skylarkstall/internal/port"
)

// restoreJobs makes the jobs of the records and attaches them to what the owners hold.
func (p *partition) restoreJobs(ctx context.Context, records []journal.Record, found survey) {
	jobs := map[ident.WorkID]*runner{}
	for _, record := range records {
		if record.Kind == journal.JobAccepted && jobs[record.Work] == nil {
			jobs[record.Work] = newRunner(p, job.New(record.Work, record.Digest, record.Job, seedOf(record.Work)))
		}
	}
	for _, record := range records {
		if r := jobs[record.Work]; r != nil {
			r.job.Restore(record)
		}
	}
	held := p.heldTasks(ctx, jobs, found)
	for id, r := range jobs {
		close(r.accepted)
		p.resume(ctx, r, held[id], found)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if ctx.Err() == nil {
		p.jobs, p.restored = jobs, true
		p.changed.Signal()
	}
}

// heldTasks returns the attempts that owners hold, by job. Those of jobs that the journal does not know are stopped.
func (p *partition) heldTasks(
	ctx context.Context, jobs map[ident.WorkID]*runner, found survey,
) map[ident.WorkID]map[uint32]ident.Attempt {
	held := map[ident.WorkID]map[uint32]ident.Attempt{}
	for task, at := range found.holders {
		id := task.Work
		switch {
		case task.Index == 0:
		case jobs[id] == nil:
			go p.stopUnknown(ctx, at.process, port.HeldAttempt{Task: task, Attempt: at.attempt})
		default:
			if held[id] == nil {
				held[id] = map[uint32]ident.Attempt{}
			}
			held[id][task.Index] = at.attempt
		}
	}
	return held
}

// stopUnknown stops a task of a job that the journal does not know, and sees it through to its end.
func (p *partition) stopUnknown(ctx context.Context, owner ident.ProcessID, held port.HeldAttempt) {
	defer p.land(held.Task, p.launch(held.Task))
	p.halt([]ident.TaskID{held.Task})
	epoch := p.currentEpoch()
	call := port.Place{Partition: p.id, Home: epoch, Spec: work.Spec{ID: held.Task, Attempt: held.Attempt}}
	call.Spec.Size.Slots = 1 // the least that a frame may carry; an attach does not use it
	if _, err := p.attach(ctx, owner, call); !gone(err) {
		return
	}
	if t := p.current(); t != nil {
		_, _ = t.follow(ctx, call, "") // the outcome of an unknown job is not told to anyone
	}
}

// resume attaches the job to the attempts that owners hold and goes on with it.
func (p *partition) resume(ctx context.Context, r *runner, held map[uint32]ident.Attempt, found survey) {
	attached := r.job.Reattach(held)
	for _, spec := range attached.Follow {
		f := p.launch(spec.ID)
		p.redirect(spec.ID, found.holders[spec.ID].process)
		go r.followHeld(ctx, f, found.holders[spec.ID].process, spec)
	}
	go r.carryOut(ctx, attached.Decision)
	go r.run(ctx)
}
