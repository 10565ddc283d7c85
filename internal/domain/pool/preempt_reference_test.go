package pool

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"skylarkstall/internal/domain/resource"
	"skylarkstall/internal/domain/workflow"
)

// referencePlan is PlanPreemption without the early end and the buffer.
func referencePlan(w *Worker, r *Request) (Preemption, bool) {
	atLimit := r.Step.MaxPerWorker > 0 && w.CountRuns(r.Ref)+w.HoldCount(r) >= r.Step.MaxPerWorker
	if atLimit || !w.passesExceptFits(r) {
		return Preemption{}, false
	}
	missing := ReservedSize(r.Step).Sub(w.plannedFree(r))
	var p Preemption
	for _, run := range w.preemptible(r, nil) {
		if missing.Fits(none) {
			break
		}
		size := ReservedSize(&run.Step)
		if missing.Sub(size).Max(none) == missing.Max(none) {
			continue
		}
		missing = missing.Sub(size)
		p.Runs = append(p.Runs, run.RunRef)
		p.Cost += runCost + size.DominantShare(w.info.Capacity)
	}
	return p, missing.Fits(none)
}

// TestPreemptionCost guards against a cost that is not that of the runs that are stopped, and against runs that need not be stopped.
func TestPreemptionCost(t *testing.T) {
	now := time.Now()
	chosen := 0
	rapid.Check(t, func(rt *rapid.T) {
		size := func(name string) resource.Vector {
			return resource.Vector{MilliCores: 500 * rapid.Int64Range(0, 8).Draw(rt, name), MemoryBytes: rapid.Int64Range(0, 8).Draw(rt, name), Accelerators: rapid.Int64Range(0, 2).Draw(rt, name)}
		}
		w := NewWorker(WorkerInfo{ID: "w", Service: "d", Capacity: resource.Vector{MilliCores: 8000, MemoryBytes: 16, Accelerators: 3}})
		w.ObserveClock(time.Second, now, now)
		w.MarkSynced()
		for i := range rapid.IntRange(0, 20).Draw(rt, "runs") {
			step := workflow.Step{Count: 1, Checkpointing: rapid.IntRange(0, 4).Draw(rt, "c") > 0, BestEffort: rapid.IntRange(0, 6).Draw(rt, "b") == 0, Size: size("run")}
			ref := workflow.RunRef{Task: workflow.TaskRef{StepRef: workflow.StepRef{Job: workflow.ID(fmt.Sprint(i % 5))}, Index: i}, Run: 1}
			if rapid.IntRange(0, 9).Draw(rt, "adopt") == 0 {
				w.Adopt(ref, &step)
			} else if w.Reserve(ref, &step) != nil {
				continue
			}
			run := w.Run(ref)
			run.Priority, run.Reported = rapid.IntRange(0, 3).Draw(rt, "p"), rapid.IntRange(0, 5).Draw(rt, "r") > 0
		}
		step := workflow.Step{Count: 3, MaxPerWorker: rapid.IntRange(0, 2).Draw(rt, "max"), Size: size("step")}
		r := Request{Ref: workflow.StepRef{Job: "x"}, Step: &step, Service: "d", Now: now, Priority: rapid.IntRange(0, 2).Draw(rt, "prio")}
		for range 3 {
			want, wantOK := referencePlan(w, &r)
			got, ok := w.PlanPreemption(&r)
			cost, costOK := w.PreemptionCost(&r)
			if ok != wantOK || costOK != ok || ok && (cost != want.Cost || got.Cost != want.Cost || !slices.Equal(got.Runs, want.Runs)) {
				rt.Fatalf("%v %v %v, want %v %v", got, ok, cost, want, wantOK)
			}
			if !ok {
				break
			}
			chosen += len(got.Runs)
			w.Preempt(&r, got, now.Add(time.Second))
		}
	})
	if chosen == 0 {
		t.Error("no run was ever chosen")
	}
	t.Logf("%d runs chosen", chosen)
}
