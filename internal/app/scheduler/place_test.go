package scheduler

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"skylarkstall/internal/domain/ident"
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

// TestNewLongRunningStepKeepsItsPlace guards against a burst of long-running jobs that delays all jobs of higher priorities.
func TestNewLongRunningStepKeepsItsPlace(t *testing.T) {
	s, now := newLeaderFor(t), time.Now()
	acceptNamed(s, "lasting", workflow.Step{Count: 1, LongRunning: true, Size: resource.Vector{MilliCores: 3000}})
	s.jobs["lasting"].queue.Priority = 2
	acceptNamed(s, "urgent", workflow.Step{Count: 1, Size: resource.Vector{MilliCores: 3000}})
	placeAt(s, now)
	later := now.Add(2 * overdueAfter)
	addTestWorker(s, "w1", 4000, later)
	launches := placeAt(s, later)
	if len(launches) != 1 || launches[0].request.Task.Job != "urgent" {
		t.Errorf("%d starts, want one of the urgent job on the only worker", len(launches))
	}
}

// TestNoPlaceableStepIsLeftOut guards against a step that is not started although a worker could take it, because another step with
// the same needs found none in the same pass.
func TestNoPlaceableStepIsLeftOut(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s, now := newLeaderFor(t), time.Now()
		for i := range rapid.IntRange(1, 3).Draw(rt, "workers") {
			addTestWorker(s, ident.WorkerID(rune('a'+i)), 1000*rapid.Int64Range(0, 16).Draw(rt, "cores"), now)
		}
		for i := range rapid.IntRange(1, 8).Draw(rt, "jobs") {
			step := workflow.Step{
				Count: rapid.IntRange(1, 3).Draw(rt, "tasks"), LongRunning: rapid.Bool().Draw(rt, "long-running"),
				BestEffort: rapid.Bool().Draw(rt, "best effort"), MaxPerWorker: rapid.IntRange(0, 1).Draw(rt, "max per worker"),
				Size: resource.Vector{MilliCores: 1000 * rapid.Int64Range(1, 3).Draw(rt, "size"), MemoryBytes: 1 << 30},
			}
			id := workflow.ID(fmt.Sprintf("j%02d", i))
			acceptNamed(s, id, step)
			s.jobs[id].queue.Priority = rapid.IntRange(0, 1).Draw(rt, "priority")
			if rapid.Bool().Draw(rt, "failed") {
				ref := workflow.TaskRef{StepRef: workflow.StepRef{Job: id}}
				s.jobs[id].avoidWorker(ref, ident.WorkerID(rune('a'+rapid.IntRange(0, 2).Draw(rt, "failed on"))))
			}
		}
		for waited := time.Duration(0); waited < 3*time.Second; waited += placeInterval {
			placeAt(s, now.Add(waited))
		}
		now = now.Add(3 * time.Second)
		placeAt(s, now)
		for _, c := range s.candidates(now) {
			c.pass, c.waited = testPass(s, now), c.entry.step(c.ref).waiting.For(now)
			c.workers = s.allowedWorkers(*c)
			index := c.entry.workflow.Waiting(c.ref)[0]
			if best := c.chooseWorker(workflow.TaskRef{StepRef: c.ref, Index: index}, "", now); best.monitor != nil {
				rt.Fatalf("step %s waits although worker %s could take its task %d", c.ref, best.monitor.worker.Info().ID, index)
			}
		}
	})
}

// TestStepWithHeldCapacityIsTried guards against a step that is not started on the capacity that is kept free for it, because
// another step with the same needs found no worker in the same pass.
func TestStepWithHeldCapacityIsTried(t *testing.T) {
	s, now := newLeaderFor(t), time.Now()
	addTestWorker(s, "w1", 4000, now)
	step := workflow.Step{Count: 1, Size: resource.Vector{MilliCores: 3000}}
	acceptNamed(s, "a", step)
	acceptNamed(s, "b", step)
	c := s.newCandidate(s.jobs["b"], workflow.StepRef{Job: "b"}, s.jobs["b"].queue, now)
	c.pass = testPass(s, now)
	c.workers, c.waited = s.allowedWorkers(*c), time.Second
	s.mu.Lock()
	s.preempt(*c, 1, now) // keeps the free capacity for the step
	s.mu.Unlock()
	launches := placeAt(s, now)
	if len(launches) != 1 || launches[0].request.Task.Job != "b" {
		t.Errorf("%d starts, want one of the step for which capacity is kept free", len(launches))
	}
}

// TestStepsTakeTurns guards against a step of a low priority that is never tried, because steps of a higher one, each with other
// requirements, take up every pass while capacity is released all the time.
func TestStepsTakeTurns(t *testing.T) {
	s, now := newPermitLeader(t, 1100), time.Now()
	const urgentSteps = 400
	for i := range urgentSteps {
		step := workflow.Step{Count: 1, Size: resource.Vector{MilliCores: 5000 + int64(i)}} // larger than any worker
		acceptNamed(s, workflow.ID(fmt.Sprintf("urgent%03d", i)), step)
	}
	acceptNamed(s, "small", workflow.Step{Count: 1, Size: resource.Vector{MilliCores: 1000}})
	s.jobs["small"].queue.Priority = 2
	const passes = urgentSteps + 2 // at least one step takes its turn in each
	for pass := range passes {
		s.monitors["w1"].worker.Release(releasedRun(s, pass))
		if launches := placeAt(s, now.Add(time.Duration(pass)*placeInterval)); len(launches) > 0 {
			return
		}
	}
	t.Errorf("the step of a lower priority is not started within %d passes", passes)
}

func testPass(s *Scheduler, now time.Time) *placementPass {
	return s.newPass(now)
}
