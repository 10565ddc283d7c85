package home

import (
	"context"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/work"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/port"
)

// surveyRun is a survey that any number of goroutines wait for.
type surveyRun struct {
	done  chan struct{}
	found survey
}

// surveyed returns a survey that began after the call. Callers share it: when an owner of a thousand tasks dies, the other
// owners are asked a few times and not a thousand times. It returns false when the context ends.
func (p *partition) surveyed(ctx context.Context) (survey, bool) {
	p.mu.Lock()
	run := p.nextSurvey
	if run == nil {
		run = &surveyRun{done: make(chan struct{})}
		p.nextSurvey = run
		go p.runSurvey(ctx, run)
	}
	p.mu.Unlock()
	select {
	case <-run.done:
		return run.found, ctx.Err() == nil
	case <-ctx.Done():
		return survey{}, false
	}
}

// runSurvey waits for the survey under way, if any, and then runs the next one.
func (p *partition) runSurvey(ctx context.Context, run *surveyRun) {
	p.surveying <- struct{}{}
	defer func() { <-p.surveying }()
	p.mu.Lock()
	p.nextSurvey = nil
	p.mu.Unlock()
	run.found = p.survey(ctx)
	close(run.done)
}

// attach waits at the owner for an attempt that it holds. It fails with NotFound or Interrupted when the owner does not
// hold it any more.
func (p *partition) attach(ctx context.Context, owner ident.ProcessID, call port.Place) (work.Outcome, error) {
	call.Attach = true
	p.redirect(call.Spec.ID, owner)
	return p.service.Peers.Place(ctx, owner, call)
}

// gone reports whether the owner that was asked does not speak for the attempt any more.
func gone(err error) bool {
	return fault.Is(err, fault.Interrupted) || fault.Is(err, fault.NotFound) || fault.Is(err, fault.Unavailable)
}
