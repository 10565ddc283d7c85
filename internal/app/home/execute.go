package home

import (
	"context"
	"errors"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/ledger"
	"skylarkstall/internal/domain/timeline"
	"skylarkstall/internal/domain/work"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/pause"
	"skylarkstall/internal/port"
)

// keepResult is how long after its deadline the result of a request is kept for a caller that asks again.
const keepResult = 15 * time.Minute

// retryPause is the mean pause before a refused attempt goes to another owner.
const retryPause = 20 * time.Millisecond

// execute runs the request or joins it.
func (p *partition) execute(ctx context.Context, call port.Execute) (work.Outcome, error) {
	id := call.Spec.ID.Work
	book := p.book()
	decision, done, err := book.Admit(time.Now(), id, call.Digest)
	if err != nil {
		return work.Outcome{}, err
	}
	if decision == ledger.Run {
		outcome, err := p.run(ctx, call.Spec)
		book.End(id, ledger.Result{Outcome: outcome, Err: err}, call.Spec.Deadline.Add(keepResult))
		return outcome, err
	}
	select {
	case <-done:
	case <-ctx.Done():
		return work.Outcome{}, fault.New(fault.Interrupted, "%s runs; ask again with the same request id", id)
	}
	result, ok := book.Result(id)
	if !ok {
		return work.Outcome{}, fault.New(fault.Interrupted, "%s ended; ask again with the same request id", id)
	}
	return result.Outcome, result.Err
}

func (p *partition) book() *ledger.Ledger {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ledger
}

// run starts attempts until one ends. An attempt follows another only when that one certainly does not run.
func (p *partition) run(ctx context.Context, spec work.Spec) (work.Outcome, error) {
	if !spec.Repeatable {
		return work.Outcome{}, fault.New(fault.StoreUnavailable, "no journal: work that is not repeatable is refused")
	}
	defer p.land(spec.ID, p.launch(spec.ID))
	refused := map[ident.ProcessID]bool{}
	epoch, _ := p.tenure()
	began := false // an attempt may have begun to run; no refusal may then say that the work did not
	for tried := false; ; {
		if p.moved(epoch) {
			return work.Outcome{}, refusal(began, fault.New(fault.StaleEpoch, "partition %d has another home", p.id))
		}
		owner, err := p.service.choose(spec, refused)
		if err != nil {
			if len(refused) == 0 {
				return work.Outcome{}, refusal(began, err)
			}
			clear(refused) // every owner refused; their queues may have moved since
			pause.For(ctx, retryPause)
			if ctx.Err() != nil {
				return work.Outcome{}, refusal(began, err)
			}
			continue
		}
		if tried && p.service.Retries.Wait(ctx) != nil {
			err := fault.New(fault.Overloaded, "the retry budget is used up until the deadline of %s", spec.ID)
			return work.Outcome{}, refusal(began, err)
		}
		tried = true
		spec.Attempt = ident.NextAttempt(time.Now(), spec.Attempt)
		outcome, followed, err := p.attempt(ctx, owner, spec)
		began = began || followed || outcome.Evicted()
		switch answer := fault.KindOf(err).Answer(); {
		case err == nil && !outcome.Evicted():
			return outcome, nil
		case err != nil && (answer.Ran != fault.RanNo || !answer.Retryable) || ctx.Err() != nil:
			return work.Outcome{}, refusal(began, err)
		}
		refused[owner] = true
	}
}

// refusal returns err, or Interrupted in place of an error that would say that the work did not run.
func refusal(began bool, err error) error {
	if began && (err == nil || fault.KindOf(err).Answer().Ran == fault.RanNo) {
		return fault.New(fault.Interrupted, "an attempt began and was lost; ask again with the same request id")
	}
	return err
}

// attempt places one attempt and follows it until it has ended or certainly does not run. It returns true if it had to be
// followed: it may then have run although it has no outcome.
func (p *partition) attempt(ctx context.Context, owner ident.ProcessID, spec work.Spec) (work.Outcome, bool, error) {
	epoch, _ := p.tenure()
	call := port.Place{Partition: p.id, Home: epoch, Spec: spec}
	if err := p.direct(spec.ID, owner); err != nil {
		return work.Outcome{}, false, err
	}
	outcome, err := p.service.Peers.Place(ctx, owner, call)
	if fault.Is(err, fault.Interrupted) {
		outcome, err = p.follow(ctx, call)
		return outcome, true, err
	}
	return outcome, false, err
}

// follow finds an attempt whose owner was lost, and waits for its outcome. It returns NoCapacity when the attempt
// certainly does not run and has no outcome.
func (p *partition) follow(ctx context.Context, call port.Place) (work.Outcome, error) {
	began := time.Now()
	for ctx.Err() == nil {
		if p.moved(call.Home) {
			return work.Outcome{}, fault.New(fault.Interrupted, "partition %d has another home", p.id)
		}
		changed := p.changed.Changed()
		if outcome, ok := p.takeReported(call.Spec.ID, call.Spec.Attempt); ok {
			return outcome, nil
		}
		found, ok := p.surveyed(ctx)
		if !ok {
			break
		}
		if owner, ok := found.owners[call.Spec.ID]; ok {
			if outcome, err := p.attach(ctx, owner, call); !gone(err) {
				return outcome, err
			}
		} else if found.complete || time.Since(began) > p.service.LostAfter {
			return work.Outcome{}, fault.New(fault.NoCapacity, "the owner of %s failed before it ran", call.Spec.ID)
		}
		timer := time.NewTimer(surveyRetry)
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
	if errors.Is(ctx.Err(), context.Canceled) { // the process stops, or the caller went away: another call may find it
		return work.Outcome{}, fault.New(fault.Interrupted, "%s was started; ask again for its outcome", call.Spec.ID)
	}
	return work.Outcome{}, fault.New(fault.UnknownOutcome, "%s was started; its outcome is not known", call.Spec.ID)
}

// followAdopted waits for the outcome of an attempt that a former home placed.
func (p *partition) followAdopted(ctx context.Context, held port.HeldTask) {
	epoch, _ := p.tenure()
	book := p.book()
	call := port.Place{Partition: p.id, Home: epoch, Spec: work.Spec{ID: held.Task, Attempt: held.Attempt}}
	call.Spec.Size.Slots = 1 // the least that a frame may carry; an attach does not use it
	p.service.record(timeline.TakenOver, held.Task, "")
	outcome, err := p.follow(ctx, call)
	book.End(held.Task.Work, ledger.Result{Outcome: outcome, Err: err}, time.Now().Add(keepResult))
}
