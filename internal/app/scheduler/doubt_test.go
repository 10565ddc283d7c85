package scheduler

import (
	"context"
	"testing"
	"time"

	"skylarkstall/internal/domain/workflow"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/port"
)

// silentRunner is a client of workers that refuse each start after they were silent for so long that a copy of it may start.
type silentRunner struct {
	port.RunClient
	scheduler *Scheduler
	requests  int
}

func (r *silentRunner) Start(_ context.Context, to port.Target, _ port.StartRequest) (time.Duration, error) {
	r.requests++
	r.scheduler.mu.Lock()
	defer r.scheduler.mu.Unlock()
	r.scheduler.speculate(r.scheduler.monitors[to.Worker])
	return 0, fault.New(fault.DeadlineExceeded, "worker rejected the request: late")
}

// TestRefusedStartLeavesNoDoubt guards against a task that never starts again although all workers are back: while its worker was silent, the
// run was given up so that a copy could start, and its start, which was refused afterwards, counted as a possible crash for good.
func TestRefusedStartLeavesNoDoubt(t *testing.T) {
	for name, givenUpFirst := range map[string]bool{"given up before the request": true, "given up during the request": false} {
		s := newLeader(t)
		runner := &silentRunner{scheduler: s}
		s.ports.RunClient = runner
		e := acceptTestJob(s, workflow.Step{Count: 1, Speculative: true})
		for range workflow.MaxCrashes {
			now := time.Now()
			respond(s, now)
			s.mu.Lock()
			e.storedVersion = e.version // every change is recorded
			s.retryStep(e, firstRun(0).Task.StepRef)
			s.mu.Unlock()
			launches := placeAt(s, now)
			if len(launches) != 1 {
				t.Fatalf("%s: %d starts while the workers answer, want 1", name, len(launches))
			}
			if givenUpFirst {
				s.mu.Lock()
				s.speculate(launches[0].monitor)
				s.mu.Unlock()
				if e.workflow.IsSuspected(firstRun(0).Task) { // the next leader would count it as a crash
					t.Errorf("%s: the run is in doubt before its start is requested", name)
				}
			}
			s.startRun(s.ctx, launches[0])
		}
		if e.workflow.IsSuspected(firstRun(0).Task) {
			t.Errorf("%s: a task of which no run has started counts as one that may crash workers", name)
		}
		if givenUpFirst && runner.requests > 0 {
			t.Errorf("%s: %d starts are requested for runs that were given up", name, runner.requests)
		}
	}
}
