package pool_test

import (
	"slices"
	"testing"
	"time"

	"skylarkstall/internal/domain/pool"
	"skylarkstall/internal/domain/workflow"
)

// reserve adds a run that was started at the given time and reported now.
func reserve(t *testing.T, w *pool.Worker, index int, started time.Time, crashes int) *pool.Run {
	t.Helper()
	s := step(100)
	if err := w.Reserve(ref(index), &s); err != nil {
		t.Fatal(err)
	}
	w.Run(ref(index)).Started = started
	w.UpdateRun(ref(index), 1, 0, now)
	w.Suspect(ref(index), crashes)
	return w.Run(ref(index))
}

// TestCrashSuspects guards against blaming every run on a crashed worker, which gives up sound work beside the task that
// crashes it, and against a task that is never blamed because another one beside it is suspected.
func TestCrashSuspects(t *testing.T) {
	type run struct {
		age     time.Duration // time from the start to the last report
		crashes int
	}
	for _, c := range []struct {
		name string
		runs []run
		want []int
	}{
		{"long since started", []run{{5 * time.Second, 0}}, nil},
		{"nobody suspected", []run{{500 * time.Millisecond, 0}, {2 * time.Second, 0}, {0, 0}}, []int{0, 2}},
		{"one suspected", []run{{400 * time.Millisecond, 0}, {300 * time.Millisecond, 1}}, []int{1}},
		{"the suspected one is outlived", []run{{400 * time.Millisecond, 0}, {2 * time.Second, 2}}, []int{0}},
		{"most crashes", []run{{300 * time.Millisecond, 1}, {300 * time.Millisecond, 2}}, []int{0, 1}},
		{"another started last", []run{{300 * time.Millisecond, 1}, {200 * time.Millisecond, 0}, {10 * time.Millisecond, 0}}, []int{0, 2}},
	} {
		w := worker()
		var runs []*pool.Run
		for i, r := range c.runs {
			runs = append(runs, reserve(t, w, i, now.Add(-r.age), r.crashes))
		}
		var got []int
		for _, suspect := range pool.CrashSuspects(runs) {
			got = append(got, suspect.Task.Index)
		}
		if !slices.Equal(got, c.want) {
			t.Errorf("%s: runs %v are suspected, want %v", c.name, got, c.want)
		}
	}
}

// TestSuspectsRunApart guards against a suspected task that runs beside others that have just started: the next crash would
// not show its cause.
func TestSuspectsRunApart(t *testing.T) {
	idle, busy, watched := worker(), worker(), worker()
	reserve(t, busy, 0, now, 0)
	reserve(t, watched, 0, now, 1)
	s := step(100)
	score := func(w *pool.Worker, crashes int) float64 {
		return w.Score(&pool.Request{Ref: workflow.StepRef{Job: "k"}, Step: &s, Service: "desk", Crashes: crashes, Now: now})
	}
	if score(idle, 1) >= score(busy, 1) {
		t.Error("a suspected task prefers a worker on which another task has just started")
	}
	if score(busy, 0) >= score(watched, 0) || score(idle, 0) >= score(watched, 0) {
		t.Error("a task prefers a worker on which a suspected task has just started")
	}
	watched.Run(ref(0)).Started = now.Add(-2 * time.Second)
	if acquitted := watched.Acquit(); len(acquitted) != 1 || len(watched.Acquit()) != 0 {
		t.Errorf("%d runs are acquitted after their probation, want 1, once", len(acquitted))
	}
	if score(watched, 0) >= score(idle, 0) {
		t.Error("a task avoids a worker whose run is no longer suspected")
	}
}
