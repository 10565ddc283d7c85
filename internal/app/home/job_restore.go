package home

import (
	"context"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/job"
	"skylarkstall/internal/domain/journal"
	"skylarkstall/internal/domain/work"
	"skylarkstall/internal/pause"
	"skylarkstall/internal/port"
)

// takeRetry is the mean pause before the journal is read again while the store is down.
const takeRetry = time.Second

// restore reads the journal and goes on with the jobs of the former home. While the store is down, it tries again;
// repeatable requests are served meanwhile.
func (p *partition) restore(ctx context.Context, found survey) {
	for ctx.Err() == nil {
		records, err := p.service.Journal.Take(ctx, p.id)
		if err == nil {
			p.restoreJobs(ctx, records, found)
			return
		}
		p.service.Log.Info("journal not read", "partition", p.id, "error", err)
		pause.For(ctx, pause.Jitter(takeRetry))
	}
}

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
	for _, t := range found.tasks {
		id := t.Task.Work
		switch {
		case t.Task.Index == 0:
		case jobs[id] == nil:
			go p.stopUnknown(ctx, found.owners[t.Task], t)
		default:
			if held[id] == nil {
				held[id] = map[uint32]ident.Attempt{}
			}
			held[id][t.Task.Index] = t.Attempt
		}
	}
	return held
}

// stopUnknown stops a task of a job that the journal does not know, and sees it through to its end.
func (p *partition) stopUnknown(ctx context.Context, owner ident.ProcessID, held port.HeldTask) {
	defer p.land(held.Task, p.launch(held.Task))
	p.halt([]ident.TaskID{held.Task})
	epoch, _ := p.tenure()
	call := port.Place{Partition: p.id, Home: epoch, Spec: work.Spec{ID: held.Task, Attempt: held.Attempt}}
	call.Spec.Size.Slots = 1 // the least that a frame may carry; an attach does not use it
	if _, err := p.attach(ctx, owner, call); gone(err) {
		_, _ = p.follow(ctx, call) // the outcome of an unknown job is not told to anyone
	}
}

// resume attaches the job to the attempts that owners hold and goes on with it.
func (p *partition) resume(ctx context.Context, r *runner, held map[uint32]ident.Attempt, found survey) {
	attached := r.job.Attach(held)
	for _, spec := range attached.Follow {
		f := p.launch(spec.ID)
		p.redirect(spec.ID, found.owners[spec.ID])
		go r.followHeld(ctx, f, found.owners[spec.ID], spec)
	}
	go r.carryOut(ctx, attached.Decision)
	go r.run(ctx)
}
