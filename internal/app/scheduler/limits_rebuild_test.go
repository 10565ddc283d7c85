package scheduler

import (
	"testing"

	"skylarkstall/internal/domain/account"
	"skylarkstall/internal/domain/resource"
	"skylarkstall/internal/domain/workflow"
)

// TestEndAfterRebuild guards against steps that are queued twice: a job is cancelled in the moment in which a new configuration queues all
// steps again, and the end of its last run then releases steps as they were set aside before.
func TestEndAfterRebuild(t *testing.T) {
	limits := map[account.ID]int64{"a": 3000}
	s, now := newLimitedLeader(t, 1, limits)
	large := acceptFor(s, "a1", "a", workflow.Step{Count: 2, Size: resource.Vector{MilliCores: 2000}})
	running := placeTwice(s, now)
	acceptFor(s, "a2", "a", workflow.Step{Count: 1})
	acceptFor(s, "others", "", workflow.Step{Count: 14})
	running = append(running, placeTwice(s, now)...)
	behind := acceptFor(s, "a3", "a", workflow.Step{Count: 4})
	now = now.Add(yieldAfter)
	end(s, running[1])
	if placeTwice(s, now); len(running) < 2 || len(behind.workflow.Active()) > 0 {
		t.Fatal("a step takes the room under the limit from one before it that has waited for long")
	}
	s.mu.Lock()
	large.workflow.Cancel()
	s.markDirty(large)
	s.mu.Unlock()
	setLimits(t, s, limits)
	placeTwice(s, now)
	end(s, running[0])
	for range 3 {
		placeTwice(s, now)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.queue.steps.Steps()) != 1 {
		t.Fatalf("%d steps are queued, want 1, which waits for a worker", len(s.queue.steps.Steps()))
	}
	if c := s.queue.steps.Steps()[0]; c.step.queued != c {
		t.Errorf("step %s is queued by the former version of the configuration", c.ref)
	}
}
