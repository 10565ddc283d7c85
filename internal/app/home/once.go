package home

import (
	"context"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/journal"
	"skylarkstall/internal/domain/ledger"
	"skylarkstall/internal/domain/work"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/pause"
	"skylarkstall/internal/port"
)

// appendRetry is the mean pause before an outcome is appended again that could not be journaled.
const appendRetry = 500 * time.Millisecond

// runOnce runs a request that is not repeatable: its intent is stored before its first start, and its outcome before
// the caller gets the response.
func (t *term) runOnce(call port.Execute) {
	spec := call.Spec
	id := spec.ID.Work
	expires := spec.Deadline.Add(resultRetention)
	placeCtx, cancelPlace := context.WithDeadline(t.processCtx, spec.Deadline)
	defer cancelPlace()
	ctx, cancel := context.WithDeadline(t.processCtx, expires)
	defer cancel()
	if err := t.recordIntent(placeCtx, call, expires); err != nil {
		t.dedup.Complete(id, ledger.Result{Err: err}, time.Time{})
		return
	}
	end, err := t.runAttempts(placeCtx, ctx, spec)
	_, termErr := t.homeEpoch()
	switch {
	case err != nil && fault.KindOf(err).Response().Execution == fault.NotExecuted:
		t.withdrawIntent(ctx, id, expires)
		t.dedup.Complete(id, ledger.Result{Err: err}, time.Time{}) // has no effect after the term, whose end failed the request
	case termErr != nil:
		return // the next home finds the intent
	default:
		t.recordOutcome(ctx, spec.ID, end, err, expires)
	}
}

// recordIntent stores the intent of a request. If it fails, nothing was started, and the intent alone never causes a
// start: even if it does get stored, the next home only searches for an attempt. Before the caller is told that the
// request did not run, the owners are asked whether there is a later home, which may have started the request while
// this process was paused.
func (t *term) recordIntent(ctx context.Context, call port.Execute, expires time.Time) error {
	id := call.Spec.ID.Work
	err := t.service.Journal.Append(ctx, t.id, journal.Record{
		Kind: journal.Intent, Work: id, Digest: call.Digest, Expires: expires,
	})
	switch {
	case err == nil:
		return nil
	case fault.Is(err, fault.StaleEpoch), t.surveyHolders(ctx).fenced:
		t.stepDown()
		return fault.WrapAs(fault.Interrupted, err, "another home may have run "+id.String())
	default:
		return fault.WrapAs(fault.StoreUnavailable, err, id.String()+" was not started")
	}
}

// withdrawIntent cancels the intent of a request that certainly did not start, so that the next home does not treat the
// request as one that may have run. It is not retried: after a failure the next home only reports an unknown outcome
// where it could have reported that the request did not run. After the end of the term it has no effect if another
// process has taken over the journal.
func (t *term) withdrawIntent(ctx context.Context, id ident.WorkID, expires time.Time) {
	err := t.service.Journal.Append(ctx, t.id, journal.Record{Kind: journal.Canceled, Work: id, Expires: expires})
	if err != nil {
		t.service.Log.Info("could not withdraw intent", "work", id.String(), "error", err)
	}
}

// recordOutcome stores the outcome, then completes the request, then tells the owner to discard the outcome. While the
// store is down it retries and the request stays in progress; when ctx ends, the result has expired.
func (t *term) recordOutcome(
	ctx context.Context, task ident.TaskID, end attemptOutcome, failure error, expires time.Time,
) {
	record := journal.Record{
		Kind: journal.Outcome, Work: task.Work, Index: task.Index, Attempt: end.outcome.Attempt, Expires: expires,
		Result: journalResult(end.outcome, failure),
	}
	for {
		err := t.service.Journal.Append(ctx, t.id, record)
		if err == nil || ctx.Err() != nil {
			break
		}
		if fault.Is(err, fault.StaleEpoch) {
			t.stepDown()
			return // the next home finds the intent and asks the owner for the outcome
		}
		t.service.Log.Info("could not journal outcome; retrying", "task", task.String(), "error", err)
		pause.For(ctx, pause.Jitter(appendRetry, task.String()))
	}
	t.dedup.Complete(task.Work, ledger.Result{Outcome: end.outcome, Err: failure}, expires)
	t.takeReported(task, end.outcome.Attempt)
	if _, termErr := t.homeEpoch(); termErr == nil && ctx.Err() == nil {
		t.ackOutcome(end.owner, task) // not after the term: the next home looks for the outcome at the owner
	}
}

// journalResult returns the result of a task as stored in the journal.
func journalResult(outcome work.Outcome, failure error) journal.Result {
	if failure != nil {
		return journal.Result{Unknown: true, Message: failure.Error()}
	}
	return journal.Result{
		OK: outcome.OK, Output: outcome.Output, Message: outcome.Message, RunTime: outcome.RunTime,
	}
}

// dedupResult returns the result of a request from its journal record. It is the inverse of journalResult.
func dedupResult(r journal.Record) ledger.Result {
	task := ident.TaskID{Work: r.Work, Index: r.Index}
	switch {
	case r.Result.Unknown:
		return ledger.Result{Err: fault.New(fault.UnknownOutcome, "%s", r.Result.Message)}
	case r.Result.OutputLost:
		return ledger.Result{Err: fault.New(fault.UnknownOutcome,
			"task %s ran; its output exceeded %d bytes and was not stored", task, journal.MaxOutputBytes)}
	}
	return ledger.Result{Outcome: work.Outcome{
		Task: task, Attempt: r.Attempt, OK: r.Result.OK, Output: r.Result.Output, Message: r.Result.Message,
		RunTime: r.Result.RunTime,
	}}
}
