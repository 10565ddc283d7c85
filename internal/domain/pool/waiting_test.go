package pool_test

import (
	"testing"
	"time"

	"skylarkstall/internal/domain/pool"
)

// TestWaitingSteps guards against a leader that spends its time on trying hundreds of waiting steps after every change, and
// against a waiting step that is not tried although something changed for it.
func TestWaitingSteps(t *testing.T) {
	var w pool.Waiting
	if !w.Due(now, 3) || w.For(now) != 0 {
		t.Fatal("a new step is not tried at once")
	}
	w.Tried(now, 3, 2)
	later := now.Add(100 * time.Millisecond)
	if w.Due(later, 3) {
		t.Error("tried again although nothing was released")
	}
	if !w.Due(later, 4) || !w.Due(now.Add(250*time.Millisecond), 3) {
		t.Error("not tried after a release, or not after 250 ms")
	}
	w.Tried(later, 4, 1)
	if got := w.For(later); got != 100*time.Millisecond {
		t.Errorf("waits for %v, want 100ms since the first try", got)
	}
	if w.Retry(); !w.Due(later, 4) {
		t.Error("not tried after Retry")
	}
	if w.Tried(later, 4, 0); w.For(later) != 0 {
		t.Error("waits although all tasks are placed")
	}
}
