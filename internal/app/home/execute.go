package home

import (
	"context"
	"errors"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/ledger"
	"skylarkstall/internal/domain/work"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/pause"
	"skylarkstall/internal/port"
)

// keepResult is how long after its deadline the result of a request is kept for a caller that asks again.
const keepResult = 15 * time.Minute

// retryPause is the mean pause before a refused attempt goes to another owner.
const retryPause = 20 * time.Millisecond

// settleTimeout bounds the call that lets an owner forget an outcome.
const settleTimeout = 2 * time.Second

// runRepeatable runs a request that may be started again when an attempt certainly does not run any longer.
func (t *term) runRepeatable(call port.Execute) {
	ctx, cancel := context.WithDeadline(t.process, call.Spec.Deadline)
	defer cancel()
	ended, err := t.run(ctx, ctx, call.Spec)
	t.ledger.Complete(call.Spec.ID.Work, ledger.Result{Outcome: ended.outcome, Err: err}, call.Spec.Deadline.Add(keepResult))
	if ended.followed {
		t.settle(ended.owner, call.Spec.ID)
	}
}

// ending is the outcome of an attempt and the owner that has it.
type ending struct {
	outcome  work.Outcome
	owner    ident.ProcessID
	followed bool // it came from another call than the one that placed the attempt
}

// run starts attempts until one ends. An attempt follows another only when that one certainly did not run, or may be
// repeated and certainly does not run any longer. No attempt is placed once the first context has ended; the outcome is
// waited for until the second one ends.
func (t *term) run(placing, ctx context.Context, spec work.Spec) (ending, error) {
	defer t.land(spec.ID, t.launch(spec.ID))
	refused := map[ident.ProcessID]bool{}
	began := false // an attempt may have begun to run; no refusal may then say that the work did not
	for tried := false; ; {
		owner, err := t.service.choose(spec, refused)
		if err != nil {
			if len(refused) == 0 || !pause.For(placing, retryPause) {
				return ending{}, refusal(began, err)
			}
			clear(refused) // every owner refused; their queues may have moved since
			continue
		}
		if tried && t.service.Retries.Wait(placing) != nil {
			err := fault.New(fault.Overloaded, "the retry budget is used up until the deadline of %s", spec.ID)
			return ending{}, refusal(began, err)
		}
		tried = true
		spec.Attempt = ident.NextAttempt(time.Now(), spec.Attempt)
		ended, err := t.attempt(ctx, owner, spec)
		again := ended.outcome.Evicted() && spec.Repeatable
		began = began || ended.followed || ended.outcome.Evicted()
		switch answer := fault.KindOf(err).Response(); {
		case err == nil && !again:
			return ended, nil
		case err != nil && (answer.Ran != fault.RanNo || !answer.Retryable) || placing.Err() != nil:
			return ending{}, refusal(began, err)
		}
		refused[owner] = true
	}
}

// refusal returns err, or Interrupted in place of an error that would say that the work did not run.
func refusal(began bool, err error) error {
	if began && (err == nil || fault.KindOf(err).Response().Ran == fault.RanNo) {
		return fault.New(fault.Interrupted, "an attempt began and was lost; ask again with the same request id")
	}
	return err
}

// attempt places one attempt and follows it until it has ended or certainly does not run.
func (t *term) attempt(ctx context.Context, owner ident.ProcessID, spec work.Spec) (ending, error) {
	epoch, err := t.homeEpoch()
	if err != nil {
		return ending{}, err
	}
	call := port.Place{Partition: t.id, Home: epoch, Spec: spec}
	if err := t.direct(spec.ID, owner); err != nil {
		return ending{}, err
	}
	outcome, err := t.service.Peers.Place(ctx, owner, call)
	switch {
	case fault.Is(err, fault.Interrupted):
		t.nextEpoch(ident.HomeEpoch{}) // fences the call that broke off, should it still arrive
		ended, err := t.follow(ctx, call, owner)
		ended.followed = true
		return ended, err
	case fault.Is(err, fault.StaleEpoch):
		// The owner means its worker, or this home.
		if _, refusal := t.ask(ctx, owner); fault.Is(refusal, fault.StaleEpoch) {
			t.fenced()
		}
	}
	return ending{outcome: outcome, owner: owner}, err
}

// follow waits for the outcome of an attempt whose call broke off: first at the given owner, which keeps the outcome
// for a while, then where a survey finds the attempt. Without an outcome it fails with NoCapacity when a repeatable
// attempt certainly does not run, and with UnknownOutcome when work that is not repeatable may have run.
func (t *term) follow(ctx context.Context, call port.Place, owner ident.ProcessID) (ending, error) {
	task := call.Spec.ID
	began := time.Now()
	for ctx.Err() == nil {
		changed := t.changed.Changed()
		if r, ok := t.takeReported(task, call.Spec.Attempt); ok {
			return ending{r.outcome, r.owner, true}, nil
		}
		if owner != "" {
			outcome, err := t.attach(ctx, owner, call)
			if !gone(err) {
				return ending{outcome, owner, true}, err
			}
		}
		if _, err := t.homeEpoch(); err != nil {
			return ending{}, fault.New(fault.Interrupted, "the home of %s changed; ask again with the same request id", task)
		}
		found, ok := t.surveyed(ctx)
		if !ok {
			break
		}
		at, held := found.holders[task]
		switch {
		case found.outranked:
			t.fenced()
		case held && at.process != owner:
			owner = at.process
			continue
		case !held && (found.complete || time.Since(began) > t.service.TaskLeaseBound):
			return ending{}, lost(call.Spec)
		}
		awaitAny(ctx, changed, surveyRetry)
	}
	if errors.Is(ctx.Err(), context.Canceled) { // the process stops or the term ended: another call may find it
		return ending{}, fault.New(fault.Interrupted, "%s was started; ask again for its outcome", task)
	}
	return ending{}, fault.New(fault.UnknownOutcome, "%s was started; its outcome is not known", task)
}

// lost is the end of an attempt that no owner holds. The attempt may have run on a worker that failed.
func lost(spec work.Spec) error {
	if spec.Repeatable {
		return fault.New(fault.NoCapacity, "the owner of %s failed before it ran", spec.ID)
	}
	return fault.New(fault.UnknownOutcome, "%s may have run; no process or worker knows its outcome", spec.ID)
}

// awaitAny waits for the change, the time or the end of the context.
func awaitAny(ctx context.Context, changed <-chan struct{}, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// settle lets the owner and the worker forget the outcome of the task. When the call fails, the owner tells of the
// outcome again to the next home.
func (t *term) settle(owner ident.ProcessID, task ident.TaskID) {
	if owner == "" {
		return
	}
	ctx, cancel := context.WithTimeout(t.process, settleTimeout)
	defer cancel()
	if err := t.service.Peers.AckOutcomes(ctx, owner, []ident.TaskID{task}); err != nil {
		t.service.Log.Info("outcome not settled", "task", task.String(), "owner", owner, "error", err)
	}
}
