package pool_test

import (
	"testing"
	"time"

	"skylarkstall/internal/domain/ident"
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

// TestReserve guards against reservations beyond the capacity of a worker.
func TestReserve(t *testing.T) {
	w, s := worker(), step(1500)
	for i := range 2 {
		if err := w.Reserve(ref(i), &s); err != nil {
			t.Fatal(err)
		}
	}
	if w.Reserve(ref(2), &s) == nil || w.FitCount(&s) != 0 {
		t.Fatal("a third task is accepted on a worker with capacity for two")
	}
	bestEffort := step(9000)
	bestEffort.BestEffort = true
	if err := w.Reserve(ref(3), &bestEffort); err != nil {
		t.Fatalf("a best-effort task needs free processors: %v", err)
	}
	w.Release(ref(0))
	w.Release(ref(0))
	if w.FitCount(&s) != 1 {
		t.Fatalf("capacity for %d tasks after one release, want 1", w.FitCount(&s))
	}
}

// TestHold guards against runs that count as ended while the lease may still be valid on the worker's clock, and
// against runs that never count as ended.
func TestHold(t *testing.T) {
	w := worker()
	expiry, ok := w.ExtendLease(4*time.Second, now)
	if !ok || expiry != time.Minute+4*time.Second {
		t.Fatalf("lease expiry %v, %v", expiry, ok)
	}
	for after, want := range map[time.Duration]bool{4 * time.Second: false, 4100 * time.Millisecond: false, 5 * time.Second: true} {
		if got := w.LeaseExpired(now.Add(after)); got != want {
			t.Errorf("lease expired after %v: %v", after, got)
		}
	}
	w.ObserveClock(time.Minute-time.Second, now.Add(time.Second), now.Add(time.Second))
	if !w.LeaseExpired(now.Add(5 * time.Second)) {
		t.Error("a response that arrived out of order changes the known clock reading")
	}
}

// TestEligible guards each filter against a start on a worker that must not get it.
func TestEligible(t *testing.T) {
	s := step(1000)
	for name, change := range map[string]func(*pool.Worker, *pool.Request){
		"another service": func(_ *pool.Worker, r *pool.Request) { r.Service = "other" },
		"silent":          func(_ *pool.Worker, r *pool.Request) { r.Now = now.Add(3 * time.Second) },
		"missing": func(w *pool.Worker, r *pool.Request) {
			w.MarkMissing(now.Add(-3 * time.Second))
		},
		"draining": func(w *pool.Worker, _ *pool.Request) {
			info := w.Info()
			info.Draining = true
			w.UpdateInfo(info)
		},
		"label":          func(_ *pool.Worker, r *pool.Request) { r.Step.RequiredLabel = "b" },
		"max per worker": func(w *pool.Worker, r *pool.Request) { r.Step.MaxPerWorker = 1; _ = w.Reserve(ref(0), r.Step) },
		"capacity":       func(_ *pool.Worker, r *pool.Request) { r.Step.Size.MilliCores = 5000 },
		"failing":        func(w *pool.Worker, _ *pool.Request) { w.RecordFailure("a", now); w.RecordFailure("b", now) },
	} {
		w, own := worker(), s
		request := pool.Request{Ref: ref(0).Task.StepRef, Step: &own, Service: "desk", Now: now}
		if !w.Eligible(&request) {
			t.Fatalf("%s: not eligible before the change", name)
		}
		change(w, &request)
		if w.Eligible(&request) {
			t.Errorf("%s: eligible", name)
		}
	}
}

// TestRejection guards against a reason that differs from what kept a task from a worker.
func TestRejection(t *testing.T) {
	info := func(change func(*pool.WorkerInfo)) func(*pool.Worker, *pool.Request) {
		return func(w *pool.Worker, _ *pool.Request) {
			changed := w.Info()
			change(&changed)
			w.UpdateInfo(changed)
		}
	}
	for want, change := range map[pool.Rejection]func(*pool.Worker, *pool.Request){
		pool.NotRejected:  func(*pool.Worker, *pool.Request) {},
		pool.OtherService: func(_ *pool.Worker, r *pool.Request) { r.Service = "other" },
		pool.Unresponsive: func(_ *pool.Worker, r *pool.Request) { r.Now = now.Add(3 * time.Second) },
		pool.Unsteady: func(w *pool.Worker, _ *pool.Request) {
			history := &pool.CrashHistory{}
			history.Record(now, nil)
			history.Record(now, nil)
			w.Return(now, history)
		},
		pool.Draining:    info(func(i *pool.WorkerInfo) { i.Draining = true }),
		pool.NoLabel:     func(_ *pool.Worker, r *pool.Request) { r.Step.RequiredLabel = "b" },
		pool.AtMaxOfStep: func(w *pool.Worker, r *pool.Request) { r.Step.MaxPerWorker = 1; _ = w.Reserve(ref(0), r.Step) },
		pool.NotPreferred: func(_ *pool.Worker, r *pool.Request) {
			r.Avoid = map[ident.WorkerID]bool{"w": true}
		},
		pool.TooSmall:   func(_ *pool.Worker, r *pool.Request) { r.Step.Size.MilliCores = 5000 },
		pool.NoCapacity: func(w *pool.Worker, r *pool.Request) { s := step(3500); _ = w.Reserve(ref(0), &s) },
		pool.HeldForOthers: func(w *pool.Worker, r *pool.Request) {
			s := step(3500)
			urgent := pool.Request{Ref: workflow.StepRef{Job: "urgent"}, Step: &s, Service: "desk", Now: now}
			plan, _ := w.PlanPreemption(&urgent)
			w.Preempt(&urgent, plan, now.Add(time.Second))
		},
	} {
		w, own := worker(), step(1000)
		request := pool.Request{Ref: ref(0).Task.StepRef, Step: &own, Service: "desk", Now: now}
		change(w, &request)
		if got := w.Rejection(&request); got != want {
			t.Errorf("rejected because of %q, want %q", got, want)
		}
		if w.Eligible(&request) != (want == pool.NotRejected) {
			t.Errorf("%q: eligible %v", want, w.Eligible(&request))
		}
	}
}

// TestFailuresOfOneJob guards against a backoff of a worker because of a job that fails on every worker.
func TestFailuresOfOneJob(t *testing.T) {
	w := worker()
	for range 5 {
		w.RecordFailure("a", now)
	}
	if w.InBackoff(now) {
		t.Error("backoff after failures of one job")
	}
}

// TestPaces guards against runs that stay over their latency target because of best-effort runs on the same worker, and
// against best-effort runs that stay throttled.
func TestPaces(t *testing.T) {
	w, bestEffort, service := worker(), step(0), step(1000)
	bestEffort.BestEffort, service.LongRunning, service.LatencyTarget = true, true, 50*time.Millisecond
	for i, s := range []*workflow.Step{&bestEffort, &service} {
		if err := w.Reserve(ref(i), s); err != nil {
			t.Fatal(err)
		}
		w.UpdateRun(ref(i), 0, 0, now)
	}
	w.UpdateRun(ref(1), 100, 80, now)
	if throttles := w.Throttles(now); len(throttles) != 0 {
		t.Fatalf("throttled at the first report over the target: %v", throttles)
	}
	later := now.Add(time.Second)
	throttles := w.Throttles(later)
	if len(throttles) != 1 || throttles[0].RunRef != ref(0) || throttles[0].Percent != 0 {
		t.Fatalf("throttles %v, want the best-effort run at 0 %%", throttles)
	}
	w.UpdateRun(ref(1), 100, 10, later)
	if throttles := w.Throttles(later); len(throttles) != 1 || throttles[0].Percent <= 0 {
		t.Fatalf("throttles %v after the latency fell, want one above 0 %%", throttles)
	}
}

// TestStalled guards against runs that stay stalled for good, and against long runs that count as stalled because the
// next percent takes long.
func TestStalled(t *testing.T) {
	bestEffort, long, service, gang := step(1000), step(1000), step(1000), step(1000)
	bestEffort.BestEffort, long.Estimate, service.LongRunning, gang.Gang = true, time.Hour, true, true
	for name, c := range map[string]struct {
		step     workflow.Step
		progress []int // half a second apart
		stalled  bool
	}{
		"steady progress":    {step(1000), []int{1, 2, 3, 4, 5, 6}, false},
		"no more progress":   {step(1000), []int{7, 14, 14, 14, 14, 14}, true},
		"short pause":        {step(1000), []int{7, 14, 14, 14, 21, 21}, false},
		"not begun":          {step(1000), []int{0, 0, 0, 0, 0, 0}, true},
		"best effort":        {bestEffort, []int{7, 7, 7, 7, 7, 7}, false},
		"long estimate":      {long, []int{0, 0, 0, 0, 0, 0}, false},
		"gang assembling":    {gang, []int{0, 0, 0, 0, 0, 0}, false},
		"gang never started": {gang, []int{0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0}, true},
		"long-running":       {service, []int{100, 100, 100, 100, 100, 100}, false},
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

// TestSilentWorkerIsNotStalled guards against runs that are stopped and started again elsewhere although their worker was
// only silent, or paused, for a time shorter than its lease: the first report after it shows the progress from before.
func TestSilentWorkerIsNotStalled(t *testing.T) {
	for name, c := range map[string]struct {
		silence time.Duration
		reports int // after the silence, half a second apart
		stalled bool
	}{
		"silent for 3 s":          {3 * time.Second, 1, false},
		"silent, then stalled":    {3 * time.Second, 4, true},
		"reports without silence": {500 * time.Millisecond, 4, true},
	} {
		w, s, at := worker(), step(1000), now
		if err := w.Reserve(ref(0), &s); err != nil {
			t.Fatal(err)
		}
		w.UpdateRun(ref(0), 40, 0, at)
		at = at.Add(c.silence)
		for range c.reports {
			w.UpdateRun(ref(0), 40, 0, at)
			at = at.Add(500 * time.Millisecond)
		}
		at = at.Add(-500 * time.Millisecond)
		if got := len(w.Stalled(at)) > 0; got != c.stalled {
			t.Errorf("%s: stalled %v, want %v", name, got, c.stalled)
		}
	}
}

// TestNoStartsOnUnreachedWorker guards against start after start on a worker that refuses connections: it responded a moment
// ago, and is the first choice because it is full.
func TestNoStartsOnUnreachedWorker(t *testing.T) {
	w, s := worker(), step(100)
	request := pool.Request{Ref: workflow.StepRef{Job: "j"}, Step: &s, Service: "desk", Now: now.Add(time.Second)}
	if !w.Eligible(&request) {
		t.Fatal("a worker that responded 1 s ago gets no starts")
	}
	w.MarkUnreached()
	if w.Eligible(&request) {
		t.Error("a worker gets starts although the last request did not reach it")
	}
	w.ObserveClock(time.Minute+time.Second, request.Now, request.Now)
	if !w.Eligible(&request) {
		t.Error("a worker that responds again gets no starts")
	}
}
