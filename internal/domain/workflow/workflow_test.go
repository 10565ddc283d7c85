package workflow_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"skylarkstall/internal/domain/workflow"
)

var now = time.Unix(1_700_000_000, 0)

func job(steps ...workflow.Step) *workflow.Workflow {
	return workflow.New(workflow.Spec{ID: "a", Steps: steps})
}

func run(step, index int, number workflow.RunNumber) workflow.RunRef {
	return workflow.RunRef{Task: workflow.TaskRef{StepRef: workflow.StepRef{Job: "a", Step: step}, Index: index}, Run: number}
}

func start(w *workflow.Workflow, refs ...workflow.RunRef) {
	for _, ref := range refs {
		w.Start(workflow.Placement{RunRef: ref, Worker: "w"})
	}
}

func end(w *workflow.Workflow, ref workflow.RunRef, outcome workflow.Outcome) workflow.EndEffect {
	return w.ApplyEnd(workflow.End{Run: ref, Outcome: outcome}, "w", 3)
}

// TestOrder guards against a step that starts before all tasks of the steps that it depends on are done.
func TestOrder(t *testing.T) {
	w := job(workflow.Step{Count: 2}, workflow.Step{Count: 1, DependsOn: []int{0}})
	start(w, run(0, 0, 1), run(0, 1, 1))
	end(w, run(0, 0, 1), workflow.Done)
	if ready := w.Ready(now); len(ready) != 0 {
		t.Fatalf("steps ready after one of two tasks: %v", ready)
	}
	end(w, run(0, 1, 1), workflow.Done)
	if ready := w.Ready(now); len(ready) != 1 || ready[0].Step != 1 {
		t.Fatalf("steps ready after both tasks: %v", ready)
	}
	start(w, run(1, 0, 1))
	end(w, run(1, 0, 1), workflow.Done)
	if w.State() != workflow.Completed {
		t.Fatalf("state %v", w.State())
	}
}

// TestFailuresInAnyOrder guards against a leader that receives the failures of runs out of order, counts too few of
// them and starts the task more often than the limit allows. Ends that are reported again do not count twice.
func TestFailuresInAnyOrder(t *testing.T) {
	w := job(workflow.Step{Count: 1})
	for _, number := range []workflow.RunNumber{3, 1, 3, 1} {
		end(w, run(0, 0, number), workflow.Failed)
	}
	if w.State() == workflow.FailedState || !w.HasAttemptsLeft(run(0, 0, 0).Task, 3) {
		t.Fatal("the job has failed after two failed runs; the limit is three")
	}
	effect := end(w, run(0, 0, 2), workflow.Failed)
	if w.State() != workflow.FailedState || !effect.MustRecord {
		t.Fatalf("state %v after three failed runs, or the progress need not be recorded", w.State())
	}
}

// TestRestore guards against progress that is lost or counted twice when another leader takes over.
func TestRestore(t *testing.T) {
	steps := []workflow.Step{{Count: 3}, {Count: 2, Gang: true, DependsOn: []int{0}}}
	w := job(steps...)
	start(w, run(0, 0, 1), run(0, 1, 1), run(0, 2, 1))
	end(w, run(0, 0, 1), workflow.Done)
	end(w, run(0, 1, 1), workflow.Failed)
	w.ApplyEnd(workflow.End{Run: run(0, 2, 1), Outcome: workflow.Stopped, Checkpoint: "c"}, "w", 3)
	end(w, run(1, 0, 1), workflow.Failed)
	end(w, run(1, 1, 1), workflow.Failed)

	restored := job(steps...)
	restored.Restore(w.Progress())
	end(restored, run(0, 1, 1), workflow.Failed)
	if diff := cmp.Diff(w.Progress(), restored.Progress()); diff != "" {
		t.Fatal(diff)
	}
	if got := restored.Waiting(workflow.StepRef{Job: "a"}); !cmp.Equal(got, []int{1, 2}) {
		t.Errorf("waiting tasks %v, want 1 and 2", got)
	}
	if got := restored.Checkpoint(run(0, 2, 0).Task); got != "c" {
		t.Errorf("checkpoint %q, want c", got)
	}
	if got := restored.NextRun(run(0, 1, 0).Task, 0); got != 2 {
		t.Errorf("next run %d", got)
	}
}

// TestGangEndsTogether guards against members of a gang that are started again after one of them has completed.
func TestGangEndsTogether(t *testing.T) {
	w := job(workflow.Step{Count: 3, Gang: true})
	start(w, run(0, 0, 1), run(0, 1, 1), run(0, 2, 1))
	end(w, run(0, 1, 1), workflow.Done)
	if w.State() != workflow.Completed || len(w.Ready(now)) != 0 {
		t.Fatalf("state %v, ready %v", w.State(), w.Ready(now))
	}
}

// TestGangFailsOnce guards against one failed run of a gang counting as one failure for each member.
func TestGangFailsOnce(t *testing.T) {
	w := job(workflow.Step{Count: 4, Gang: true})
	start(w, run(0, 0, 1), run(0, 1, 1), run(0, 2, 1), run(0, 3, 1))
	for i := range 4 {
		end(w, run(0, i, 1), workflow.Failed)
	}
	if w.State() == workflow.FailedState {
		t.Fatal("the job has failed after one failed run of the gang")
	}
	if got := w.NextRun(run(0, 0, 0).Task, 0); got != 2 {
		t.Errorf("next run %d", got)
	}
}

// TestLongRunning guards against long-running tasks that are not started again after a failure.
func TestLongRunning(t *testing.T) {
	w := job(workflow.Step{Count: 1, LongRunning: true})
	for number := workflow.RunNumber(1); number < 9; number++ {
		start(w, run(0, 0, number))
		end(w, run(0, 0, number), workflow.Failed)
		if len(w.Ready(now)) != 1 || !w.HasAttemptsLeft(run(0, 0, 0).Task, 3) {
			t.Fatalf("not ready after run %d", number)
		}
	}
}

// TestOccurrences guards against an occurrence that starts before it is due.
func TestOccurrences(t *testing.T) {
	w := workflow.New(workflow.Spec{
		ID: "a", Steps: []workflow.Step{{Count: 1}}, Occurrences: 3, FirstAt: now, Period: time.Second,
	})
	for after, want := range map[time.Duration]int{-time.Millisecond: 0, 0: 1, 999 * time.Millisecond: 1, 2 * time.Second: 3} {
		if got := len(w.Ready(now.Add(after))); got != want {
			t.Errorf("%v after the first occurrence is due: %d steps ready, want %d", after, got, want)
		}
	}
}

// TestAdopt guards against keeping a second run of a task, or a run of a job that has ended.
func TestAdopt(t *testing.T) {
	w := job(workflow.Step{Count: 1})
	first := workflow.Placement{RunRef: run(0, 0, 1), Worker: "w"}
	second := workflow.Placement{RunRef: run(0, 0, 2), Worker: "v"}
	for range 2 {
		if !w.Adopt(first) {
			t.Fatal("the only run of the task is not kept")
		}
	}
	if w.Adopt(second) {
		t.Fatal("a second run of the task is kept")
	}
	w.Cancel()
	if w.Adopt(first) || len(w.Ready(now)) != 0 {
		t.Fatal("a run of a cancelled job is kept")
	}
}
