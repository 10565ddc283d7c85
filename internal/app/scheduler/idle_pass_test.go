package scheduler

import (
	"fmt"
	"testing"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/workflow"
	"skylarkstall/internal/port"
)

// newFullLeader returns a leader whose workers are full, and with steps of which all tasks wait for capacity.
func newFullLeader(t testing.TB, workers, steps int) (*Scheduler, time.Time) {
	t.Helper()
	s, now := newLeaderFor(t), time.Now()
	full := workflow.Step{Count: 1}
	full.Size.MilliCores = 4000
	for i := range workers {
		id := ident.WorkerID(fmt.Sprintf("x%d", i))
		addTestWorker(s, id, 4000, now)
		ref := workflow.RunRef{Task: workflow.TaskRef{StepRef: workflow.StepRef{Job: "full"}, Index: i}, Run: 1}
		if err := s.monitors[id].worker.Reserve(ref, &full); err != nil {
			t.Fatal(err)
		}
	}
	for i := range steps {
		job := port.AcceptedJob{Spec: workflow.Spec{ID: workflow.ID(fmt.Sprintf("j%d", i)), Steps: []workflow.Step{full}}, AcceptedAt: now}
		job.Queue.Name, job.Queue.Service, job.Queue.MaxAttempts = "q", "desk", 3
		s.mu.Lock()
		s.acceptJob(job, 0)
		s.mu.Unlock()
	}
	for range 200 { // a pass does not try all steps
		s.place(now)
	}
	return s, now
}

// TestIdlePassIgnoresQueue guards against a leader whose passes cost what waits rather than what has changed, so that a long queue
// takes the processor time that starts need.
func TestIdlePassIgnoresQueue(t *testing.T) {
	allocations := func(steps int) float64 {
		s, now := newFullLeader(t, 1100, steps)
		return testing.AllocsPerRun(20, func() { s.place(now) })
	}
	if short, long := allocations(10), allocations(1000); long > 2*short {
		t.Errorf("a pass with nothing to do allocates %.0f times with 10 waiting steps and %.0f times with 1,000; want at most twice as often",
			short, long)
	}
}
