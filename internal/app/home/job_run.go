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

// recordRetry is the mean pause between attempts to append records while the store is down.
const recordRetry = 500 * time.Millisecond

// jobRunner runs one job. It has one goroutine for the job and one for each task in flight.
type jobRunner struct {
	partition *partition
	job       *job.Job
	accepted  chan struct{} // closed once the job is recorded or its recording has failed
	changed   notify.Broadcast
}

func newJobRunner(p *partition, j *job.Job) *jobRunner {
	return &jobRunner{partition: p, job: j, accepted: make(chan struct{})}
}

// run starts the attempts that the job decides on, until the job is complete or the term ends.
func (r *jobRunner) run(ctx context.Context) {
	for ctx.Err() == nil {
		changed := r.changed.Changed()
		action := r.job.Next(time.Now())
		switch {
		case action.Complete:
			r.partition.service.recordEvent(timeline.JobEnded, ident.TaskID{Work: r.job.ID()}, statusSummary(r.job.Status(0)))
			r.changed.Signal()
			return
		case len(action.Start) > 0:
			r.changed.Signal()
			go r.startAttempts(ctx, action.Start)
		default:
			waitForChangeUntil(ctx, changed, action.WakeAt)
		}
	}
}

func statusSummary(s job.Status) string {
	return fmt.Sprintf("%s: %d succeeded, %d failed, %d canceled, %d unknown, %d attempts",
		s.State(), s.Succeeded, s.Failed, s.Canceled, s.Unknown, s.Attempts)
}

// waitForChangeUntil waits until changed is closed, the given time is reached or the context ends. A zero time is never
// reached.
func waitForChangeUntil(ctx context.Context, changed <-chan struct{}, until time.Time) {
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

// startAttempts starts attempts. For work that is not repeatable it records the intents first, and starts nothing if
// that fails.
func (r *jobRunner) startAttempts(ctx context.Context, specs []work.Spec) {
	if intents := r.job.IntentRecords(specs); len(intents) > 0 {
		if err := r.partition.service.Journal.Append(ctx, r.partition.id, intents...); err != nil {
			r.partition.stepDownIfStale(err)
			r.failUnstarted(ctx, specs, err)
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

// failUnstarted ends attempts that were not started because their intents could not be recorded.
func (r *jobRunner) failUnstarted(ctx context.Context, specs []work.Spec, err error) {
	if fault.Is(err, fault.Interrupted) {
		err = fault.WrapAs(fault.StoreUnavailable, err, "record intent") // certain, because nothing was started
	}
	for _, spec := range specs {
		r.attemptEnded(ctx, spec, job.AttemptResult{Err: err})
	}
}

// runTask places one attempt and follows it until it has ended.
func (r *jobRunner) runTask(ctx context.Context, spec work.Spec) {
	defer r.partition.untrackTask(spec.ID, r.partition.trackTask(spec.ID))
	if r.job.Canceled() {
		r.attemptEnded(ctx, spec, canceledBeforeStart(spec))
		return
	}
	owner, err := r.partition.service.chooseOwner(spec, nil)
	if err != nil {
		r.attemptEnded(ctx, spec, job.AttemptResult{Err: err})
		return
	}
	r.place(ctx, owner, r.placeCall(spec))
}

func canceledBeforeStart(spec work.Spec) job.AttemptResult {
	return job.AttemptResult{Err: fault.New(fault.Canceled, "task %s was canceled before it started", spec.ID)}
}

func (r *jobRunner) placeCall(spec work.Spec) port.Place {
	epoch := r.partition.currentEpoch()
	return port.Place{Partition: r.partition.id, Home: epoch, Spec: spec}
}

// place places an attempt at the owner and follows it until it has certainly ended.
func (r *jobRunner) place(ctx context.Context, owner ident.ProcessID, call port.Place) {
	if err := r.partition.assignOwner(call.Spec.ID, owner); err != nil {
		r.attemptEnded(ctx, call.Spec, job.AttemptResult{Err: err})
		return
	}
	outcome, err := r.partition.service.Peers.Place(ctx, owner, call)
	if fault.Is(err, fault.Interrupted) {
		r.partition.advanceEpoch(ident.HomeEpoch{}) // fences the interrupted call in case it arrives later
		r.follow(ctx, owner, call)
		return
	}
	r.attemptEnded(ctx, call.Spec, job.AttemptResult{Outcome: outcome, Err: err})
	if !call.Spec.Repeatable {
		r.ackOutcome(owner, call.Spec.ID)
	}
}

// ackOutcome tells the owner to discard the outcome, which has been recorded.
func (r *jobRunner) ackOutcome(owner ident.ProcessID, task ident.TaskID) {
	if t := r.partition.currentTerm(); t != nil {
		t.ackOutcome(owner, task)
	}
}

// follow waits for the end of an attempt whose call was interrupted, and reports it to the job.
func (r *jobRunner) follow(ctx context.Context, owner ident.ProcessID, call port.Place) {
	call.Reserved = false
	end, err := r.awaitOutcome(ctx, owner, call)
	r.attemptEnded(ctx, call.Spec, job.AttemptResult{Outcome: end.outcome, Err: err, Lost: err != nil})
	r.ackOutcome(end.owner, call.Spec.ID)
}

// awaitOutcome waits for the outcome of an attempt whose call was interrupted.
func (r *jobRunner) awaitOutcome(ctx context.Context, owner ident.ProcessID, call port.Place) (attemptOutcome, error) {
	t := r.partition.currentTerm()
	if t == nil {
		return attemptOutcome{}, fault.New(fault.Interrupted, "home of task %s changed", call.Spec.ID)
	}
	return t.followAttempt(ctx, call, owner)
}

// followHeld waits for the end of an attempt that a previous home placed at the owner, and reports it to the job.
func (r *jobRunner) followHeld(ctx context.Context, f *inFlightTask, owner ident.ProcessID, spec work.Spec) {
	defer r.partition.untrackTask(spec.ID, f)
	call := r.placeCall(spec)
	outcome, err := r.partition.attachTo(ctx, owner, call)
	if notReported(err) {
		r.follow(ctx, "", call)
		return
	}
	r.attemptEnded(ctx, spec, job.AttemptResult{Outcome: outcome, Err: err, Lost: err != nil})
	r.ackOutcome(owner, spec.ID)
}

// attemptEnded reports the end of an attempt to the job. After the end of the term it does nothing, because the next
// home follows the attempt.
func (r *jobRunner) attemptEnded(ctx context.Context, spec work.Spec, end job.AttemptResult) {
	if ctx.Err() != nil {
		return
	}
	r.applyDecision(ctx, r.job.AttemptEnded(time.Now(), spec.ID.Index, spec.Attempt, end))
}

// applyDecision stops tasks and records results as the job decided.
func (r *jobRunner) applyDecision(ctx context.Context, decision job.Decision) {
	r.changed.Signal()
	r.partition.cancelTasks(decision.Stop)
	if len(decision.Records) == 0 || !r.appendRecords(ctx, decision.Records) {
		return
	}
	for _, record := range decision.Records {
		r.job.MarkRecorded(record.Index)
	}
	r.changed.Signal()
}

// appendRecords appends records to the journal, retrying while the store is down. It returns false if the term ended.
func (r *jobRunner) appendRecords(ctx context.Context, records []journal.Record) bool {
	for ctx.Err() == nil {
		err := r.partition.service.Journal.Append(ctx, r.partition.id, records...)
		if err == nil {
			return true
		}
		r.partition.service.Log.Debug("could not record task results; retrying", "job", r.job.ID().String(), "error", err)
		r.partition.stepDownIfStale(err)
		pause.For(ctx, pause.Jitter(recordRetry, r.job.ID().String()))
	}
	return false
}
