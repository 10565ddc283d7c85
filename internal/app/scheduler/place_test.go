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
