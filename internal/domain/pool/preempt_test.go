package pool_test

import (
	"testing"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/pool"
	"skylarkstall/internal/domain/resource"
	"skylarkstall/internal/domain/workflow"
)

// gpuWorkers returns workers with 8 accelerators each.
func gpuWorkers(count int) []*pool.Worker {
	var workers []*pool.Worker
	for i := range count {
		w := pool.NewWorker(pool.WorkerInfo{
			ID: ident.WorkerID(rune('a' + i)), Service: "desk",
			Capacity: resource.Vector{MilliCores: 128_000, MemoryBytes: 256 << 30, Accelerators: 8},
		})
		w.ObserveClock(time.Minute, now, now)
		w.MarkSynced()
		workers = append(workers, w)
	}
	return workers
}

func gpuStep(accelerators int64) workflow.Step {
	return workflow.Step{
		Count: 1, Checkpointing: true, Size: resource.Vector{MilliCores: 11_000, MemoryBytes: 16 << 30, Accelerators: accelerators},
	}
}

func request(job workflow.ID, priority int, step *workflow.Step) pool.Request {
	return pool.Request{Ref: workflow.StepRef{Job: job}, Step: step, Service: "desk", Priority: priority, Now: now}
}

// start places a task on the eligible worker that choose prefers, and returns the worker, or nil if none is eligible.
func start(workers []*pool.Worker, r *pool.Request, index int, choose func(a, b float64) bool) *pool.Worker {
	var best *pool.Worker
	for _, w := range workers {
		if w.Eligible(r) && (best == nil || choose(w.Score(r), best.Score(r))) {
			best = w
		}
	}
	if best == nil {
		return nil
	}
	ref := workflow.RunRef{Task: workflow.TaskRef{StepRef: r.Ref, Index: index}, Run: 1}
	if best.Reserve(ref, r.Step) != nil {
		return nil
	}
	best.Run(ref).Priority = r.Priority
	best.UpdateRun(ref, 1, 0, now)
	return best
}

// TestSmallTasksLeaveWholeWorkers replays a stream of tasks with one accelerator before tasks that need a whole worker. When
// the small tasks were spread evenly, no worker was left for the large ones.
func TestSmallTasksLeaveWholeWorkers(t *testing.T) {
	started := map[string]int{}
	for name, choose := range map[string]func(a, b float64) bool{
		"by score": func(a, b float64) bool { return a < b },
		"spread":   func(a, b float64) bool { return a > b },
	} {
		workers, small, large := gpuWorkers(12), gpuStep(1), gpuStep(8)
		smallRequest, largeRequest := request("small", 2, &small), request("large", 1, &large)
		for i := range 24 {
			start(workers, &smallRequest, i, choose)
		}
		for i := range 9 {
			if start(workers, &largeRequest, i, choose) != nil {
				started[name]++
			}
		}
	}
	if started["by score"] != 9 || started["spread"] != 0 {
		t.Errorf("large tasks started: %v; want all 9 by score and none when spread", started)
	}
}

// TestPreemption guards against urgent work that waits for long tasks of a lower priority, although these resume from a
// checkpoint; and against preempting anything else.
func TestPreemption(t *testing.T) {
	large := gpuStep(8)
	long, gang := gpuStep(8), gpuStep(8)
	long.LongRunning, gang.Gang = true, true
	lost := gpuStep(8)
	lost.Checkpointing = false
	for name, c := range map[string]struct {
		running  workflow.Step
		priority int
		want     bool
	}{
		"lower priority":  {gpuStep(8), 2, true},
		"same priority":   {gpuStep(8), 1, false},
		"higher priority": {gpuStep(8), 0, false},
		"long-running":    {long, 2, false},
		"gang":            {gang, 2, false},
		"no checkpoint":   {lost, 2, false},
	} {
		w := gpuWorkers(1)
		running, waiting := request("running", c.priority, &c.running), request("waiting", 1, &large)
		start(w, &running, 0, func(a, b float64) bool { return a < b })
		plan, ok := w[0].PlanPreemption(&waiting)
		if ok != c.want || ok && len(plan.Runs) != 1 {
			t.Errorf("%s: preemptible %v, runs %v; want %v", name, ok, plan.Runs, c.want)
		}
	}
}

// TestPreemptedCapacityIsKept guards against capacity that is freed for a waiting task and taken by another one of its
// own or a lower priority, and against capacity that is kept for good.
func TestPreemptedCapacityIsKept(t *testing.T) {
	workers, small, large := gpuWorkers(1), gpuStep(1), gpuStep(8)
	w, later := workers[0], request("later", 2, &small)
	first := func(a, b float64) bool { return a < b }
	for i := range 8 {
		start(workers, &later, i, first)
	}
	waiting := request("waiting", 1, &large)
	plan, ok := w.PlanPreemption(&waiting)
	if !ok || len(plan.Runs) != 8 {
		t.Fatalf("plan %v, %v; want all 8 runs", plan, ok)
	}
	w.Preempt(&waiting, plan, now.Add(time.Second))
	if again, ok := w.PlanPreemption(&waiting); ok {
		t.Errorf("a second task would preempt %v on a worker that is freed for one", again.Runs)
	}
	for _, ref := range plan.Runs {
		w.Release(ref)
	}
	other, urgent := request("other", 2, &small), request("urgent", 0, &small)
	if w.Eligible(&other) || !w.Eligible(&urgent) || !w.Eligible(&waiting) {
		t.Error("the freed capacity must be kept from lower priorities, and only from these")
	}
	other.Now = now.Add(time.Second)
	if !w.Eligible(&other) {
		t.Error("the freed capacity is kept for longer than asked")
	}
}

// TestLateJobsArePreemptedFirst guards against a burst of urgent tasks that stops work of jobs which could be in time, beside work of jobs
// that are late already: on full workers, every other run is of a late job, and is the smaller one.
func TestLateJobsArePreemptedFirst(t *testing.T) {
	workers := gpuWorkers(4)
	late, inTime := gpuStep(2), gpuStep(6)
	for i, w := range workers {
		for job, step := range map[workflow.ID]*workflow.Step{"late": &late, "in-time": &inTime} {
			ref := workflow.RunRef{Task: workflow.TaskRef{StepRef: workflow.StepRef{Job: job}, Index: i}, Run: 1}
			if err := w.Reserve(ref, step); err != nil {
				t.Fatal(err)
			}
			w.Run(ref).Priority, w.Run(ref).Behind = 2, job == "late"
			w.UpdateRun(ref, 1, 0, now)
		}
	}
	urgent := gpuStep(2)
	r := request("urgent", 0, &urgent)
	for _, w := range workers {
		plan, ok := w.PlanPreemption(&r)
		if !ok || len(plan.Runs) != 1 || plan.Runs[0].Task.Job != "late" {
			t.Errorf("stops %v on worker %s, want the run of the late job", plan.Runs, w.ID())
		}
	}
}

// TestLateRunsCostLess guards against a choice of workers that does not look at whose work is stopped there.
func TestLateRunsCostLess(t *testing.T) {
	workers := gpuWorkers(2)
	step, urgent := gpuStep(8), gpuStep(1)
	var costs [2]float64
	for i, w := range workers {
		ref := workflow.RunRef{Task: workflow.TaskRef{StepRef: workflow.StepRef{Job: "wide"}, Index: i}, Run: 1}
		if err := w.Reserve(ref, &step); err != nil {
			t.Fatal(err)
		}
		w.Run(ref).Priority, w.Run(ref).Behind = 2, i == 1
		w.UpdateRun(ref, 1, 0, now)
		r := request("urgent", 0, &urgent)
		costs[i], _ = w.PreemptionCost(&r)
	}
	if costs[1] >= costs[0] {
		t.Errorf("stopping a run of a late job costs %.2f, of another %.2f", costs[1], costs[0])
	}
}
