package pool_test

import (
	"testing"
	"time"

	"skylarkstall/internal/domain/pool"
	"skylarkstall/internal/domain/workflow"
)

// TestCrashHistory guards against a worker that counts as unsound because of a task that crashes its workers, and against one
// that counts as sound although it crashes whatever runs on it.
func TestCrashHistory(t *testing.T) {
	h := &pool.CrashHistory{}
	h.Record(now, []workflow.TaskRef{ref(0).Task, ref(1).Task})
	h.Record(now.Add(time.Second), nil)
	if n := h.Unexplained(now.Add(time.Second)); n != 1 {
		t.Errorf("%d crashes without a cause, want 1", n)
	}
	h.Acquit(ref(0).Task)
	if n := h.Unexplained(now.Add(time.Second)); n != 1 {
		t.Errorf("%d crashes without a cause while one task is suspected, want 1", n)
	}
	h.Acquit(ref(1).Task)
	if n := h.Unexplained(now.Add(time.Second)); n != 2 {
		t.Errorf("%d crashes without a cause after both tasks were acquitted, want 2", n)
	}
	if n := h.Unexplained(now.Add(time.Minute)); n != 0 {
		t.Errorf("%d crashes count a minute later, want none", n)
	}
}

// TestFlappingWorkerRests guards against a worker that gets starts each time it is back, only to crash again, and against one
// that gets none for long after a single crash.
func TestFlappingWorkerRests(t *testing.T) {
	s := step(100)
	for crashes, want := range []time.Duration{0, 0, 1500 * time.Millisecond, 3 * time.Second, 4 * time.Second, 4 * time.Second} {
		h, w := &pool.CrashHistory{}, worker()
		for i := range crashes {
			h.Record(now.Add(-time.Duration(crashes-i)*time.Second), nil)
		}
		eligible := func(after time.Duration) bool {
			w.Return(now.Add(-after), h)
			return w.Eligible(&pool.Request{Ref: workflow.StepRef{Job: "k"}, Step: &s, Service: "desk", Now: now})
		}
		if !eligible(want) || want > 0 && eligible(want-time.Millisecond) {
			t.Errorf("after %d crashes the worker does not get starts from %v on", crashes, want)
		}
	}
}
