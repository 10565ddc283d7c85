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

// resultRetention is how long after its deadline the result of a request is kept for a caller that retries.
const resultRetention = 15 * time.Minute

// retryPause is the pause before a request is placed again after all owners have refused it.
const retryPause = 20 * time.Millisecond

// noOwnerWait is how long a request waits for a process that owns workers before it fails with NoCapacity. It covers the
// failure of an owner: 3 s until it counts as dead, a claim of its workers, and the next heartbeat of their new owner.
const noOwnerWait = 5 * time.Second

// noOwnerRetry is the mean pause before such a request looks for an owner again.
const noOwnerRetry = 200 * time.Millisecond

// ackTimeout bounds the call that tells an owner to discard an outcome.
const ackTimeout = 2 * time.Second

// runRepeatable runs a request that may be started again once its previous attempt certainly is not running any more.
func (t *term) runRepeatable(call port.Execute) {
	ctx, cancel := context.WithDeadline(t.processCtx, call.Spec.Deadline)
	defer cancel()
	end, err := t.runAttempts(ctx, ctx, call.Spec)
	t.dedup.Complete(
		call.Spec.ID.Work, ledger.Result{Outcome: end.outcome, Err: err}, call.Spec.Deadline.Add(resultRetention),
	)
	if end.followed {
		t.ackOutcome(end.owner, call.Spec.ID)
	}
}

// attemptOutcome is the outcome of an attempt and the owner that retains it.
type attemptOutcome struct {
	outcome  work.Outcome
	owner    ident.ProcessID
	followed bool // the outcome did not come from the call that placed the attempt
}

// runAttempts makes attempts until one ends with an outcome or an error that is not retryable. It makes another attempt
// only if the previous one certainly did not run, or if the work is repeatable and the previous one certainly is not
// running any more. No attempt is placed after placeCtx has ended; the outcome is awaited until ctx ends.
func (t *term) runAttempts(placeCtx, ctx context.Context, spec work.Spec) (attemptOutcome, error) {
	defer t.untrackTask(spec.ID, t.trackTask(spec.ID))
	refused := map[ident.ProcessID]bool{}
	mayHaveRun := false // an attempt may have run; then the error must not state that the work did not run
	for placed := false; ; {
		if _, err := t.homeEpoch(); err != nil {
			return attemptOutcome{}, interruptedIfBegan(mayHaveRun, err)
		}
		owner, err := t.service.chooseOwner(spec, refused)
		if err != nil && len(refused) == 0 {
			owner, err = t.awaitOwner(placeCtx, spec)
		}
		switch {
		case err != nil && len(refused) > 0 && pause.For(placeCtx, retryPause):
			clear(refused) // every owner refused; their queues may have changed since
			continue
		case err != nil:
			return attemptOutcome{}, interruptedIfBegan(mayHaveRun, err)
		}
		if placed && t.service.RetryLimiter.Wait(placeCtx) != nil {
			err := fault.New(fault.Overloaded, "retry budget exhausted until the deadline of task %s", spec.ID)
			return attemptOutcome{}, interruptedIfBegan(mayHaveRun, err)
		}
		placed = true
		spec.Attempt = ident.NextAttempt(time.Now(), spec.Attempt)
		end, err := t.placeAttempt(ctx, owner, spec)
		retry := end.outcome.Evicted() && spec.Repeatable
		mayHaveRun = mayHaveRun || end.followed || end.outcome.Evicted()
		switch response := fault.KindOf(err).Response(); {
		case err == nil && !retry:
			return end, nil
		case err != nil && (response.Execution != fault.NotExecuted || !response.Retryable) || placeCtx.Err() != nil:
			return attemptOutcome{}, interruptedIfBegan(mayHaveRun, err)
		}
		refused[owner] = true
	}
}

// awaitOwner waits until a process owns workers. It fails with NoCapacity after noOwnerWait, or after half of the time
// until the deadline if that is shorter, so that the caller gets the reason before the deadline.
func (t *term) awaitOwner(ctx context.Context, spec work.Spec) (ident.ProcessID, error) {
	ctx, cancel := context.WithTimeout(ctx, min(noOwnerWait, time.Until(spec.Deadline)/2))
	defer cancel()
	for {
		owner, err := t.service.chooseOwner(spec, nil)
		if err == nil || !pause.For(ctx, pause.Jitter(noOwnerRetry, spec.ID.String())) {
			return owner, err
		}
	}
}

// interruptedIfBegan returns err. If an attempt may have run, it returns Interrupted in place of an error that would
// state that the work did not run.
func interruptedIfBegan(mayHaveRun bool, err error) error {
	if mayHaveRun && (err == nil || fault.KindOf(err).Response().Execution == fault.NotExecuted) {
		return fault.New(fault.Interrupted, "an attempt was started and lost; retry with the same request id")
	}
	return err
}

// placeAttempt places one attempt and follows it until it has ended or certainly is not running.
func (t *term) placeAttempt(ctx context.Context, owner ident.ProcessID, spec work.Spec) (attemptOutcome, error) {
	epoch, err := t.homeEpoch()
	if err != nil {
		return attemptOutcome{}, err
	}
	call := port.Place{Partition: t.id, Home: epoch, Spec: spec}
	if err := t.assignOwner(spec.ID, owner); err != nil {
		return attemptOutcome{}, err
	}
	outcome, err := t.service.Peers.Place(ctx, owner, call)
	switch {
	case fault.Is(err, fault.Interrupted):
		t.advanceEpoch(ident.HomeEpoch{}) // fences the interrupted call in case it arrives later
		end, err := t.followAttempt(ctx, call, owner)
		end.followed = true
		return end, err
	case fault.Is(err, fault.StaleEpoch):
		// The stale epoch is either that of the owner at its worker or that of this home at the owner. Ask the owner.
		if _, refusal := t.takeHomeAt(ctx, owner); fault.Is(refusal, fault.StaleEpoch) {
			t.stepDown()
		}
	}
	return attemptOutcome{outcome: outcome, owner: owner}, err
}

// followAttempt waits for the outcome of an attempt whose call was interrupted: first at the given owner, which retains
// the outcome for some time, then at the owner that a survey finds. Without an outcome it fails with NoCapacity if the
// attempt is repeatable and certainly not running, and with UnknownOutcome if work that is not repeatable may have run.
func (t *term) followAttempt(ctx context.Context, call port.Place, owner ident.ProcessID) (attemptOutcome, error) {
	task := call.Spec.ID
	startTime := time.Now()
	for ctx.Err() == nil {
		changed := t.changed.Changed()
		if r, ok := t.takeReported(task, call.Spec.Attempt); ok {
			return attemptOutcome{r.outcome, r.owner, true}, nil
		}
		if owner != "" {
			outcome, err := t.attachTo(ctx, owner, call)
			if !notReported(err) {
				return attemptOutcome{outcome, owner, true}, err
			}
		}
		if _, err := t.homeEpoch(); err != nil {
			return attemptOutcome{}, fault.New(fault.Interrupted,
				"home of task %s changed; retry with the same request id", task)
		}
		found, ok := t.awaitSurvey(ctx)
		if !ok {
			break
		}
		h, held := found.holders[task]
		switch {
		case found.fenced:
			t.stepDown()
		case held && h.process != owner:
			owner = h.process
			continue
		case !held && (found.complete || time.Since(startTime) > t.service.TaskLeaseBound):
			return attemptOutcome{}, lostAttemptError(call.Spec)
		}
		waitForChange(ctx, changed, surveyRetry)
	}
	if errors.Is(ctx.Err(), context.Canceled) { // the process is stopping or the term ended: a retry may find the outcome
		return attemptOutcome{}, fault.New(fault.Interrupted,
			"task %s was started; retry with the same request id for its outcome", task)
	}
	return attemptOutcome{}, fault.New(fault.UnknownOutcome, "task %s was started; its outcome is unknown", task)
}

// lostAttemptError returns the error for an attempt that no owner holds. It may have run on a worker that failed.
func lostAttemptError(spec work.Spec) error {
	if spec.Repeatable {
		return fault.New(fault.NoCapacity, "attempt of task %s was lost with its owner or worker", spec.ID)
	}
	return fault.New(fault.UnknownOutcome, "task %s may have run; no process or worker holds its outcome", spec.ID)
}

// waitForChange waits until changed is closed, d has passed or the context ends.
func waitForChange(ctx context.Context, changed <-chan struct{}, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// ackOutcome tells the owner and the worker to discard the outcome of the task. If the call fails, the owner reports
// the outcome again to the next home.
func (t *term) ackOutcome(owner ident.ProcessID, task ident.TaskID) {
	if owner == "" {
		return
	}
	ctx, cancel := context.WithTimeout(t.processCtx, ackTimeout)
	defer cancel()
	if err := t.service.Peers.AckOutcomes(ctx, owner, []ident.TaskID{task}); err != nil {
		t.service.Log.Info("could not acknowledge outcome at owner", "task", task.String(), "owner", owner, "error", err)
	}
}
