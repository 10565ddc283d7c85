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

// appendRetry is the mean pause before an outcome that could not be journalled is appended again.
const appendRetry = 500 * time.Millisecond

// runOnce runs a request that is not repeatable: its intent is stored before the first start, and its outcome before
// the answer.
func (t *term) runOnce(call port.Execute) {
	spec := call.Spec
	id := spec.ID.Work
	keep := spec.Deadline.Add(keepResult)
	placing, cancel := context.WithDeadline(t.process, spec.Deadline)
	defer cancel()
	ctx, cancelKeep := context.WithDeadline(t.process, keep)
	defer cancelKeep()
	if err := t.intend(placing, call, keep); err != nil {
		t.ledger.Complete(id, ledger.Result{Err: err}, time.Time{})
		return
	}
	ended, err := t.run(placing, ctx, spec)
	switch _, over := t.homeEpoch(); {
	case over != nil:
		return // and the request ended with the term; the next home finds the intent
	case err != nil && fault.KindOf(err).Response().Ran == fault.RanNo:
		t.withdraw(ctx, id, keep)
		t.ledger.Complete(id, ledger.Result{Err: err}, time.Time{})
	default:
		t.conclude(ctx, spec.ID, ended, err, keep)
	}
}

// intend stores the intent. When it fails, nothing was started, and nothing ever is because of the intent alone: even
// if it is stored in the end, a next home only searches for the attempt. Before the caller is told "not run", the
// owners are asked for a later home, which may have started the request while this process was paused.
func (t *term) intend(ctx context.Context, call port.Execute, keep time.Time) error {
	id := call.Spec.ID.Work
	err := t.service.Journal.Append(ctx, t.id, journal.Record{
		Kind: journal.Intent, Work: id, Digest: call.Digest, Expires: keep,
	})
	switch {
	case err == nil:
		return nil
	case fault.Is(err, fault.StaleEpoch), t.survey(ctx).outranked:
		t.fenced()
		return fault.WrapAs(fault.Interrupted, err, "another home may have run "+id.String())
	default:
		return fault.WrapAs(fault.StoreUnavailable, err, id.String()+" was not started")
	}
}

// withdraw voids the intent of a request that certainly did not start, so that a next home does not take it for one
// that may have run. A failure leaves the next home with less to tell and is not repeated.
func (t *term) withdraw(ctx context.Context, id ident.WorkID, keep time.Time) {
	err := t.service.Journal.Append(ctx, t.id, journal.Record{Kind: journal.Canceled, Work: id, Expires: keep})
	if err != nil {
		t.service.Log.Info("intent not withdrawn", "work", id.String(), "error", err)
	}
}

// conclude stores the outcome, then ends the request, then lets the owner forget the outcome. While the store is down
// the request stays open; when the context ends, its result has expired.
func (t *term) conclude(ctx context.Context, task ident.TaskID, ended ending, failure error, keep time.Time) {
	record := journal.Record{
		Kind: journal.Outcome, Work: task.Work, Index: task.Index, Attempt: ended.outcome.Attempt, Expires: keep,
		Result: resultOf(ended.outcome, failure),
	}
	for {
		err := t.service.Journal.Append(ctx, t.id, record)
		if err == nil || ctx.Err() != nil {
			break
		}
		if fault.Is(err, fault.StaleEpoch) {
			t.fenced()
			return // the next home finds the intent and asks the owner for the outcome
		}
		t.service.Log.Info("outcome not journalled yet", "task", task.String(), "error", err)
		pause.For(ctx, pause.Jitter(appendRetry, task.String()))
	}
	t.ledger.Complete(task.Work, ledger.Result{Outcome: ended.outcome, Err: failure}, keep)
	t.takeReported(task, ended.outcome.Attempt)
	if _, over := t.homeEpoch(); over == nil && ctx.Err() == nil {
		t.settle(ended.owner, task) // a next home would look for the outcome there
	}
}

// resultOf returns what the journal keeps of the end of a task.
func resultOf(outcome work.Outcome, failure error) journal.Result {
	if failure != nil {
		return journal.Result{Unknown: true, Message: failure.Error()}
	}
	return journal.Result{
		OK: outcome.OK, Output: outcome.Output, Message: outcome.Message, RunTime: outcome.RunTime,
	}
}

// endOf is the inverse of resultOf.
func endOf(r journal.Record) ledger.Result {
	task := ident.TaskID{Work: r.Work, Index: r.Index}
	switch {
	case r.Result.Unknown:
		return ledger.Result{Err: fault.New(fault.UnknownOutcome, "%s", r.Result.Message)}
	case r.Result.OutputLost:
		return ledger.Result{Err: fault.New(fault.UnknownOutcome,
			"%s ran; its output was larger than the %d bytes that a journal keeps", task, journal.MaxOutputBytes)}
	}
	return ledger.Result{Outcome: work.Outcome{
		Task: task, Attempt: r.Attempt, OK: r.Result.OK, Output: r.Result.Output, Message: r.Result.Message,
		RunTime: r.Result.RunTime,
	}}
}
