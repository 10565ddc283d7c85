package pool_test

import (
	"testing"
	"time"

	"skylarkstall/internal/domain/pool"
)

// TestWaitingSteps guards against a leader that spends its time on comparing hundreds of waiting steps with all workers after every
// change, and against a waiting step that is not tried although something changed for it.
func TestWaitingSteps(t *testing.T) {
	const urgent, ordinary = 0, 1
	var w pool.Waiting
	if !w.Due(now, ordinary) || w.For(now) != 0 {
		t.Fatal("a new step is not tried at once")
	}
	w.Tried(now, 2)
	later := now.Add(100 * time.Millisecond)
	if w.Due(later, ordinary) || w.Due(later.Add(-time.Millisecond), urgent) {
		t.Error("tried again on all workers although nothing changed")
	}
	if !w.Due(now.Add(250*time.Millisecond), ordinary) || !w.Due(later, urgent) {
		t.Error("not tried after 250 ms, or not after 100 ms with the highest priority")
	}
	w.Tried(later, 1)
	if got := w.For(later); got != 100*time.Millisecond {
		t.Errorf("waits for %v, want 100ms since the first try", got)
	}
	if w.Retry(); !w.Due(later, ordinary) {
		t.Error("not tried after Retry")
	}
	if w.Tried(later, 0); w.For(later) != 0 {
		t.Error("waits although all tasks are placed")
	}
	w.Tried(later, 1)
	w.Tried(later.Add(90*time.Millisecond), 1)
	if w.Due(later.Add(99*time.Millisecond), urgent) || !w.Due(later.Add(100*time.Millisecond), urgent) {
		t.Error("an urgent step is not tried once it may preempt runs, or is tried before")
	}
	if w.Placed(); w.For(later) != 0 || !w.Due(later, ordinary) {
		t.Error("waits although all tasks are placed on released capacity")
	}
}
