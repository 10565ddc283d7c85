package scheduler

import (
	"fmt"
	"testing"
	"time"

	"skylarkstall/internal/domain/resource"
	"skylarkstall/internal/domain/workflow"
)

// TestLongQueueIsTried guards against a leader that places nothing although its workers are idle: the queue was so long that
// collecting its steps took all the time of a pass of placement.
func TestLongQueueIsTried(t *testing.T) {
	s := newLeader(t)
	for i := range 20_000 {
		step := workflow.Step{Count: 1, Size: resource.Vector{MilliCores: 3000, MemoryBytes: 1 << 30}}
		acceptNamed(s, workflow.ID(fmt.Sprintf("j%05d", i)), step)
	}
	starts := 0
	for range 5 {
		starts += len(placeAt(s, time.Now()))
	}
	if starts != len(s.monitors) {
		t.Errorf("%d starts within 5 passes on %d idle workers with room for one task each", starts, len(s.monitors))
	}
}

// TestLongRunningTaskIsTried guards against a long-running task that stays away after its run has failed, although it fits: steps
// of higher priorities, each with other requirements, take up every pass while capacity is released all the time.
func TestLongRunningTaskIsTried(t *testing.T) {
	s, now := newPermitLeader(t, 1100), time.Now()
	acceptTestJob(s, workflow.Step{Count: 1, LongRunning: true}).queue.Priority = 2
	launches := placeAt(s, now)
	if len(launches) != 1 {
		t.Fatalf("%d starts, want 1", len(launches))
	}
	for i := range 2000 {
		step := workflow.Step{Count: 1, Size: resource.Vector{MilliCores: 5000 + int64(i)}} // larger than any worker
		acceptNamed(s, workflow.ID(fmt.Sprintf("urgent%04d", i)), step)
	}
	fail(s, launches[0])
	for waited := time.Duration(0); waited < 6*time.Second; waited += placeInterval {
		s.monitors["w1"].worker.Release(releasedRun(s, int(waited/placeInterval)))
		if len(placeAt(s, now.Add(waited))) > 0 {
			return
		}
	}
	t.Error("the task is not started within 6 s")
}
