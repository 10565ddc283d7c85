package scheduler

import (
	"fmt"
	"testing"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/resource"
	"skylarkstall/internal/domain/route"
	"skylarkstall/internal/domain/workflow"
	"skylarkstall/internal/port"
)

// TestEachPassStartsTasks guards against a leader that stops placing work once its queue is long. Each of 3,000 open jobs has so many
// ready steps that collecting them takes longer than a pass may last, as it does with fewer steps on a leader with little processor
// time.
func TestEachPassStartsTasks(t *testing.T) {
	s, now := newLeaderFor(t), time.Now()
	steps := make([]workflow.Step, 8)
	for i := range steps {
		steps[i] = workflow.Step{Count: 1, Size: resource.Vector{MilliCores: 3000, MemoryBytes: 1 << 30}}
	}
	s.mu.Lock()
	for i := range 3000 {
		s.acceptJob(port.AcceptedJob{
			Spec: workflow.Spec{ID: workflow.ID(fmt.Sprintf("j%04d", i)), Steps: steps}, AcceptedAt: now,
			Queue: route.Queue{Name: "q", Service: "desk", MaxAttempts: 3, Priority: i % 3},
		}, 0)
	}
	s.mu.Unlock()
	for pass := range 10 {
		addTestWorker(s, ident.WorkerID(fmt.Sprintf("x%d", pass)), 4000, now)
		if starts := len(placeAt(s, now)); starts != 1 {
			t.Errorf("pass %d: %d starts on an idle worker with room for one task", pass, starts)
		}
		now = now.Add(placeInterval)
	}
}
