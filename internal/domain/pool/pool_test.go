package pool_test

import (
	"testing"
	"time"

	"skylarkstall/internal/domain/pool"
	"skylarkstall/internal/domain/resource"
	"skylarkstall/internal/domain/workflow"
)

var now = time.Unix(1_700_000_000, 0)

func worker() *pool.Worker {
	w := pool.NewWorker(pool.WorkerInfo{
		ID: "w", Service: "desk", Labels: []string{"a", "r1-2"}, Rack: "r1-2",
		Capacity: resource.Vector{MilliCores: 4000, MemoryBytes: 8 << 30},
	})
	w.ObserveClock(time.Minute, now, now)
	w.MarkSynced()
	return w
}

func ref(index int) workflow.RunRef {
	return workflow.RunRef{Task: workflow.TaskRef{StepRef: workflow.StepRef{Job: "j"}, Index: index}, Run: 1}
}

func step(milli int64) workflow.Step {
	return workflow.Step{Count: 9, Size: resource.Vector{MilliCores: milli, MemoryBytes: 1 << 30}}
}

// TestReserve guards against a worker that is given more than it has.
func TestReserve(t *testing.T) {
	w, s := worker(), step(1500)
	for i := range 2 {
		if err := w.Reserve(ref(i), &s); err != nil {
			t.Fatal(err)
		}
	}
	if w.Reserve(ref(2), &s) == nil || w.FitCount(&s) != 0 {
		t.Fatal("a third task is taken")
	}
	filler := step(9000)
	filler.BestEffort = true
	if err := w.Reserve(ref(3), &filler); err != nil {
		t.Fatalf("a task that fills takes processors: %v", err)
	}
	w.Release(ref(0))
	w.Release(ref(0))
	if w.FitCount(&s) != 1 {
		t.Fatalf("room for %d after one release", w.FitCount(&s))
	}
}

// TestHold guards against runs that are given up while the worker's clock may still let them go on, and against runs
// that never are.
func TestHold(t *testing.T) {
	w := worker()
	until, ok := w.ExtendLease(4*time.Second, now)
	if !ok || until != time.Minute+4*time.Second {
		t.Fatalf("hold until %v, %v", until, ok)
	}
	for after, want := range map[time.Duration]bool{4 * time.Second: false, 4100 * time.Millisecond: false, 5 * time.Second: true} {
		if got := w.LeaseExpired(now.Add(after)); got != want {
			t.Errorf("lapsed after %v: %v", after, got)
		}
	}
	w.ObserveClock(time.Minute-time.Second, now.Add(time.Second), now.Add(time.Second))
	if !w.LeaseExpired(now.Add(5 * time.Second)) {
		t.Error("an answer that was overtaken changes what is known of the clock")
	}
}

// TestEligible guards each filter: a start on a worker that must not have it.
func TestEligible(t *testing.T) {
	s := step(1000)
	for name, change := range map[string]func(*pool.Worker, *pool.Request){
		"another service": func(_ *pool.Worker, r *pool.Request) { r.Service = "other" },
		"silent":          func(_ *pool.Worker, r *pool.Request) { r.Now = now.Add(3 * time.Second) },
		"missing": func(w *pool.Worker, r *pool.Request) {
			w.MarkMissing(now.Add(-3 * time.Second))
		},
		"draining": func(w *pool.Worker, _ *pool.Request) {
			e := w.Info()
			e.Draining = true
			w.UpdateInfo(e)
		},
		"label":  func(_ *pool.Worker, r *pool.Request) { r.Step.RequiredLabel = "b" },
		"spread": func(w *pool.Worker, r *pool.Request) { r.Step.MaxPerWorker = 1; _ = w.Reserve(ref(0), r.Step) },
		"room":   func(_ *pool.Worker, r *pool.Request) { r.Step.Size.MilliCores = 5000 },
		"faulty": func(w *pool.Worker, _ *pool.Request) { w.RecordFailure("a", now); w.RecordFailure("b", now) },
	} {
		w, own := worker(), s
		request := pool.Request{Ref: ref(0).Task.StepRef, Step: &own, Service: "desk", Now: now}
		if !w.Eligible(&request) {
			t.Fatalf("%s: not eligible before", name)
		}
		change(w, &request)
		if w.Eligible(&request) {
			t.Errorf("%s: eligible", name)
		}
	}
}

// TestFailuresOfOneJob guards against a worker that is avoided because one job fails everywhere.
func TestFailuresOfOneJob(t *testing.T) {
	w := worker()
	for range 5 {
		w.RecordFailure("a", now)
	}
	if w.InBackoff(now) {
		t.Error("suspect after failures of one job")
	}
}

// TestPaces guards against serving tasks that stay over their target, and against filling tasks that stay paced down.
func TestPaces(t *testing.T) {
	w, filler, serving := worker(), step(0), step(1000)
	filler.BestEffort, serving.LongRunning, serving.LatencyTarget = true, true, 50*time.Millisecond
	for i, s := range []*workflow.Step{&filler, &serving} {
		if err := w.Reserve(ref(i), s); err != nil {
			t.Fatal(err)
		}
		w.UpdateRun(ref(i), 0, 0, now)
	}
	w.UpdateRun(ref(1), 100, 80, now)
	if paces := w.Throttles(now); len(paces) != 0 {
		t.Fatalf("paced at the first reading: %v", paces)
	}
	later := now.Add(time.Second)
	paces := w.Throttles(later)
	if len(paces) != 1 || paces[0].RunRef != ref(0) || paces[0].Percent != 0 {
		t.Fatalf("paces %v", paces)
	}
	w.UpdateRun(ref(1), 100, 10, later)
	if paces := w.Throttles(later); len(paces) != 1 || paces[0].Percent <= 0 {
		t.Fatalf("paces %v after the response times fell", paces)
	}
}

// TestStalled guards against runs that stand still for good, and against long runs that are stopped between two percents.
func TestStalled(t *testing.T) {
	filler, long, lasting, gang := step(1000), step(1000), step(1000), step(1000)
	filler.BestEffort, long.Estimate, lasting.LongRunning, gang.Gang = true, time.Hour, true, true
	for name, c := range map[string]struct {
		step     workflow.Step
		progress []int // half a second apart
		stalled  bool
	}{
		"works":     {step(1000), []int{1, 2, 3, 4, 5, 6}, false},
		"stands":    {step(1000), []int{7, 14, 14, 14, 14, 14}, true},
		"a moment":  {step(1000), []int{7, 14, 14, 14, 21, 21}, false},
		"not begun": {step(1000), []int{0, 0, 0, 0, 0, 0}, true},
		"fills":     {filler, []int{7, 7, 7, 7, 7, 7}, false},
		"long":      {long, []int{0, 0, 0, 0, 0, 0}, false},
		"gathers":   {gang, []int{0, 0, 0, 0, 0, 0}, false},
		"gang":      {gang, []int{0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0}, true},
		"lasts":     {lasting, []int{100, 100, 100, 100, 100, 100}, false},
	} {
		w := worker()
		if err := w.Reserve(ref(0), &c.step); err != nil {
			t.Fatal(err)
		}
		at := now
		for _, progress := range c.progress {
			at = at.Add(500 * time.Millisecond)
			w.UpdateRun(ref(0), progress, 0, at)
		}
		if got := len(w.Stalled(at)) > 0; got != c.stalled {
			t.Errorf("%s: stalled %v", name, got)
		}
	}
}
