package gateway

import (
	"context"
	"time"

	"skylarkstall/internal/domain/account"
	"skylarkstall/internal/domain/admission"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/port"
)

const (
	// admitTimeout is how long the leader may take to decide on a job. A job on which it does not decide is stored.
	admitTimeout = 300 * time.Millisecond
	// staleAfter is the age of a request from which on a refusal that the store holds may be younger than the request: its caller may
	// have submitted the job again meanwhile.
	staleAfter = 500 * time.Millisecond
)

// refusals holds what a process needs to refuse jobs for want of room.
type refusals struct {
	gate    *admission.Gate // nil: nothing is refused
	observe func(account.ID, admission.Reason)
	records *port.RefusalRecorder
}

// RefuseBy makes the gateway refuse jobs as the leader decides, and ask it as the gate says. It must be called before the first request.
// Observe is called for each refused job unless it is nil.
func (g *Gateway) RefuseBy(gate *admission.Gate, observe func(account.ID, admission.Reason)) {
	g.refusals.gate, g.refusals.observe = gate, observe
}

// admit decides whether to store a job, and completes it with what is known of its admission. It fails with QuotaExceeded or Overloaded if
// the job is refused: it is not stored then, and no earlier submission of it takes effect any more.
func (g *Gateway) admit(ctx context.Context, job *port.AcceptedJob) error {
	gate := g.refusals.gate
	if gate == nil || !job.MayBeRefused() {
		return nil
	}
	if gate.MayHaveRefused(job.Account, time.Now()) {
		g.readRefusal(ctx, job)
	}
	chain := admission.LongestChain(&job.Spec)
	request := admission.Request{
		Job: job.Spec.ID, Account: job.Account, Queue: job.Queue.Name,
		Level: admission.Level{Service: job.Queue.Service, Priority: job.Queue.Priority},
		Chain: chain, LatestStart: chain.LatestStart(job.Queue.Objective, 0),
	}
	if first := &job.Spec.Steps[0]; !first.BestEffort {
		request.Size, request.Count = first.Size, first.Count
	}
	verdict, ok := g.decide(ctx, request)
	if !ok {
		return nil
	}
	job.Excess = verdict.Excess
	if !verdict.Refused() || !g.recordRefusal(ctx, request) {
		return nil
	}
	return g.refuse(job, verdict)
}

// decide decides on a job by what the leader has stated, or asks it. It returns false if nobody decides.
func (g *Gateway) decide(ctx context.Context, request admission.Request) (admission.Verdict, bool) {
	now := time.Now()
	if verdict := g.refusals.gate.Shed(request, now); verdict.Refused() {
		return verdict, true
	}
	if !g.refusals.gate.MustAsk(request, now) {
		return admission.Verdict{}, false
	}
	verdict, err := g.askLeader(ctx, request)
	if err != nil {
		g.log.Info("leader did not decide on a job; it is stored", "job", request.Job, "error", err)
	}
	return verdict, err == nil
}

func (g *Gateway) askLeader(ctx context.Context, request admission.Request) (admission.Verdict, error) {
	ctx, cancel := context.WithTimeout(ctx, admitTimeout)
	defer cancel()
	return g.leader.Admit(ctx, request)
}

// readRefusal reads whether the id was refused before, so that a caller that returns after a refusal is served. One whose job was refused while
// an earlier request for it was in progress must not be: for a stale request the refusal counts as one that nobody knew of, and only a job
// that is stored already is accepted.
func (g *Gateway) readRefusal(ctx context.Context, job *port.AcceptedJob) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	revision, err := port.KnownRefusal(ctx, g.store, job.Spec.ID)
	if err != nil {
		g.log.Info("refusals of a job not read; it is stored if there is none", "job", job.Spec.ID, "error", err)
		return
	}
	if time.Since(arrivalOf(ctx, job.AcceptedAt)) <= staleAfter {
		job.KnownRefusal = revision
	}
}

// recordRefusal records a refusal, directly or through the leader. It returns false if the refusal may not be true, so that the job has to
// be stored: it is stored already, or the store does not tell.
func (g *Gateway) recordRefusal(ctx context.Context, request admission.Request) bool {
	storeCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	recorded, err := g.refusals.records.Record(storeCtx, request.Job, time.Now())
	cancel()
	if err == nil {
		return recorded
	}
	request.Record = true
	verdict, err := g.askLeader(ctx, request)
	if err != nil {
		g.log.Info("refusal not recorded; the job is stored", "job", request.Job, "error", err)
	}
	return err == nil && verdict.Refused()
}

// refuse reports a recorded refusal and returns the error for the caller.
func (g *Gateway) refuse(job *port.AcceptedJob, v admission.Verdict) error {
	now := time.Now()
	g.refusals.gate.NoteRefusal(job.Account, now)
	if g.refusals.observe != nil {
		g.refusals.observe(job.Account, v.Reason)
	}
	g.log.Info("job refused", "job", job.Spec.ID, "queue", job.Queue.Name, "account", job.Account, "kind", string(v.Reason),
		"rate", v.Rate, "share", v.Share, "wait_ms", v.Wait.Milliseconds(), "retry_after_ms", v.RetryAfter.Milliseconds(),
		"stated_ms", g.refusals.gate.Age(now).Milliseconds())
	return fault.WithRetryAfter(refusalError(v), v.RetryAfter)
}

// noteRefusal takes note of a refusal that this process had not heard of: its record kept the job from being stored.
func (g *Gateway) noteRefusal(job port.AcceptedJob, err error) {
	if g.refusals.gate != nil && fault.Is(err, fault.QuotaExceeded) {
		g.refusals.gate.NoteRefusal(job.Account, time.Now())
	}
}

func refusalError(v admission.Verdict) error {
	switch v.Reason {
	case admission.BeyondShare:
		return fault.New(fault.QuotaExceeded, "no room beyond the share: the account submits %.1f jobs per second and is entitled to %.1f",
			v.Rate, v.Share)
	case admission.LeaderBehind:
		return fault.New(fault.Overloaded, "more jobs are submitted than can be started in time: new ones would wait %v", v.Wait)
	default:
		return fault.New(fault.Overloaded, "the job cannot be completed in time: new ones wait %v for room", v.Wait)
	}
}
