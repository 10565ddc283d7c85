package home

import (
	"context"
	"fmt"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/job"
	"skylarkstall/internal/domain/journal"
	"skylarkstall/internal/domain/timeline"
	"skylarkstall/internal/domain/work"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/notify"
	"skylarkstall/internal/pause"
	"skylarkstall/internal/port"
)

// recordRetry is the mean pause before records are appended again while the store is down.
const recordRetry = 500 * time.Millisecond

// runner is the goroutine of one job. Each task in flight has a goroutine of its own besides.
type runner struct {
	p        *partition
	job      *job.Job
	accepted chan struct{} // closed once the job is recorded, or is not going to be
	changed  notify.Broadcast
}

func newRunner(p *partition, j *job.Job) *runner {
	return &runner{p: p, job: j, accepted: make(chan struct{})}
}

// run starts what the job's rules allow, until the job has ended or the partition is given up.
func (r *runner) run(ctx context.Context) {
	for ctx.Err() == nil {
		changed := r.changed.Changed()
		step := r.job.Next(time.Now())
		switch {
		case step.Complete:
			r.p.service.record(timeline.JobEnded, ident.TaskID{Work: r.job.ID()}, summary(r.job.Status(0)))
			r.changed.Signal()
			return
		case len(step.Start) > 0:
			r.changed.Signal()
			go r.start(ctx, step.Start)
		default:
			waitUntil(ctx, changed, step.WakeAt)
		}
	}
}

func summary(s job.Status) string {
	return fmt.Sprintf("%s: %d succeeded, %d failed, %d canceled, %d unknown, %d attempts",
		s.State(), s.Succeeded, s.Failed, s.Canceled, s.Unknown, s.Attempts)
}

// waitUntil waits for a change, or until the time if it is not zero.
func waitUntil(ctx context.Context, changed <-chan struct{}, until time.Time) {
	var due <-chan time.Time
	if !until.IsZero() {
		timer := time.NewTimer(time.Until(until))
		defer timer.Stop()
		due = timer.C
	}
	select {
	case <-changed:
	case <-due:
	case <-ctx.Done():
	}
}

// start makes attempts. For work that is not repeatable the intent is recorded first; when that fails, nothing starts.
func (r *runner) start(ctx context.Context, specs []work.Spec) {
	if intents := r.job.IntentRecords(specs); len(intents) > 0 {
		if err := r.p.service.Journal.Append(ctx, r.p.id, intents...); err != nil {
			r.p.checkFenced(err)
			r.refuse(ctx, specs, err)
			return
		}
	}
	if r.job.Class() == work.Gang {
		r.startGang(ctx, specs)
		return
	}
	for _, spec := range specs {
		go r.runTask(ctx, spec)
	}
}

// refuse ends attempts that were not made.
func (r *runner) refuse(ctx context.Context, specs []work.Spec, err error) {
	if fault.Is(err, fault.Interrupted) {
		err = fault.WrapAs(fault.StoreUnavailable, err, "record the intent") // nothing was started
	}
	for _, spec := range specs {
		r.ended(ctx, spec, job.AttemptResult{Err: err})
	}
}

// runTask places one attempt and sees it through to its end.
func (r *runner) runTask(ctx context.Context, spec work.Spec) {
	defer r.p.land(spec.ID, r.p.launch(spec.ID))
	if r.job.Canceled() {
		r.ended(ctx, spec, canceledBefore(spec))
		return
	}
	owner, err := r.p.service.choose(spec, nil)
	if err != nil {
		r.ended(ctx, spec, job.AttemptResult{Err: err})
		return
	}
	r.place(ctx, owner, r.call(spec))
}

func canceledBefore(spec work.Spec) job.AttemptResult {
	return job.AttemptResult{Err: fault.New(fault.Canceled, "%s was canceled before it started", spec.ID)}
}

func (r *runner) call(spec work.Spec) port.Place {
	epoch := r.p.currentEpoch()
	return port.Place{Partition: r.p.id, Home: epoch, Spec: spec}
}

// place makes an attempt at the owner and follows it until it has certainly ended.
func (r *runner) place(ctx context.Context, owner ident.ProcessID, call port.Place) {
	if err := r.p.direct(call.Spec.ID, owner); err != nil {
		r.ended(ctx, call.Spec, job.AttemptResult{Err: err})
		return
	}
	outcome, err := r.p.service.Peers.Place(ctx, owner, call)
	if fault.Is(err, fault.Interrupted) {
		r.p.nextEpoch(ident.HomeEpoch{}) // fences the call that broke off, should it still arrive
		r.follow(ctx, owner, call)
		return
	}
	r.ended(ctx, call.Spec, job.AttemptResult{Outcome: outcome, Err: err})
	if !call.Spec.Repeatable {
		r.settle(owner, call.Spec.ID)
	}
}

// settle lets the owner forget the outcome, which has been recorded.
func (r *runner) settle(owner ident.ProcessID, task ident.TaskID) {
	if t := r.p.current(); t != nil {
		t.settle(owner, task)
	}
}

// follow sees an attempt through whose owner was lost.
func (r *runner) follow(ctx context.Context, owner ident.ProcessID, call port.Place) {
	call.Reserved = false
	ended, err := r.followed(ctx, owner, call)
	r.ended(ctx, call.Spec, job.AttemptResult{Outcome: ended.outcome, Err: err, Lost: err != nil})
	r.settle(ended.owner, call.Spec.ID)
}

// followed waits for the outcome of an attempt whose owner was lost.
func (r *runner) followed(ctx context.Context, owner ident.ProcessID, call port.Place) (ending, error) {
	t := r.p.current()
	if t == nil {
		return ending{}, fault.New(fault.Interrupted, "the home of %s changed", call.Spec.ID)
	}
	return t.follow(ctx, call, owner)
}

// followHeld sees an attempt through that a former home placed at the owner.
func (r *runner) followHeld(ctx context.Context, f *flight, owner ident.ProcessID, spec work.Spec) {
	defer r.p.land(spec.ID, f)
	call := r.call(spec)
	outcome, err := r.p.attach(ctx, owner, call)
	if gone(err) {
		r.follow(ctx, "", call)
		return
	}
	r.ended(ctx, spec, job.AttemptResult{Outcome: outcome, Err: err, Lost: err != nil})
	r.settle(owner, spec.ID)
}

// ended hands the end of an attempt to the job. When the partition was given up, the next home follows the attempt.
func (r *runner) ended(ctx context.Context, spec work.Spec, end job.AttemptResult) {
	if ctx.Err() != nil {
		return
	}
	r.carryOut(ctx, r.job.AttemptEnded(time.Now(), spec.ID.Index, spec.Attempt, end))
}

// carryOut stops tasks and records ends as the job decided.
func (r *runner) carryOut(ctx context.Context, decision job.Decision) {
	r.changed.Signal()
	r.p.halt(decision.Stop)
	if len(decision.Records) == 0 || !r.append(ctx, decision.Records) {
		return
	}
	for _, record := range decision.Records {
		r.job.MarkRecorded(record.Index)
	}
	r.changed.Signal()
}

// append records, again while the store is down. It returns false when the partition was given up.
func (r *runner) append(ctx context.Context, records []journal.Record) bool {
	for ctx.Err() == nil {
		err := r.p.service.Journal.Append(ctx, r.p.id, records...)
		if err == nil {
			return true
		}
		r.p.service.Log.Debug("end not recorded", "job", r.job.ID().String(), "error", err)
		r.p.checkFenced(err)
		pause.For(ctx, pause.Jitter(recordRetry, r.job.ID().String()))
	}
	return false
}
