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

func end(w *workflow.Workflow, ref workflow.RunRef, how workflow.Outcome) workflow.EndEffect {
	return w.ApplyEnd(workflow.End{Run: ref, Outcome: how}, "w", 3)
}

// TestOrder guards against a step that starts before all tasks of the steps before it are done.
func TestOrder(t *testing.T) {
	w := job(workflow.Step{Count: 2}, workflow.Step{Count: 1, DependsOn: []int{0}})
	start(w, run(0, 0, 1), run(0, 1, 1))
	end(w, run(0, 0, 1), workflow.Done)
	if ready := w.Ready(now); len(ready) != 0 {
		t.Fatalf("ready after one of two tasks: %v", ready)
	}
	end(w, run(0, 1, 1), workflow.Done)
	if ready := w.Ready(now); len(ready) != 1 || ready[0].Step != 1 {
		t.Fatalf("ready after both tasks: %v", ready)
	}
	start(w, run(1, 0, 1))
	end(w, run(1, 0, 1), workflow.Done)
	if w.State() != workflow.Completed {
		t.Fatalf("state %v", w.State())
	}
}

// TestFailuresInAnyOrder guards against a leader that comes to know of failed runs out of order and counts too few of
// them: it starts the task beyond the bound. Ends that are listed again do not count twice.
func TestFailuresInAnyOrder(t *testing.T) {
	w := job(workflow.Step{Count: 1})
	for _, number := range []workflow.RunNumber{3, 1, 3, 1} {
		end(w, run(0, 0, number), workflow.Failed)
	}
	if w.State() == workflow.FailedState || !w.HasAttemptsLeft(run(0, 0, 0).Task, 3) {
		t.Fatal("failed after two runs of three")
	}
	verdict := end(w, run(0, 0, 2), workflow.Failed)
	if w.State() != workflow.FailedState || !verdict.MustRecord {
		t.Fatalf("state %v after three failed runs", w.State())
	}
}

// TestRestore guards against progress that is lost, or counted again, when a leader takes over.
func TestRestore(t *testing.T) {
	steps := []workflow.Step{{Count: 3}, {Count: 2, Gang: true, DependsOn: []int{0}}}
	w := job(steps...)
	start(w, run(0, 0, 1), run(0, 1, 1), run(0, 2, 1))
	end(w, run(0, 0, 1), workflow.Done)
	end(w, run(0, 1, 1), workflow.Failed)
	w.ApplyEnd(workflow.End{Run: run(0, 2, 1), Outcome: workflow.Stopped, Checkpoint: "c"}, "w", 3)
	end(w, run(1, 0, 1), workflow.Failed)
	end(w, run(1, 1, 1), workflow.Failed)

	next := job(steps...)
	next.Restore(w.Progress())
	end(next, run(0, 1, 1), workflow.Failed)
	if diff := cmp.Diff(w.Progress(), next.Progress()); diff != "" {
		t.Fatal(diff)
	}
	if got := next.Waiting(workflow.StepRef{Job: "a"}); !cmp.Equal(got, []int{1, 2}) {
		t.Errorf("waiting %v", got)
	}
	if got := next.Checkpoint(run(0, 2, 0).Task); got != "c" {
		t.Errorf("checkpoint %q", got)
	}
	if got := next.NextRun(run(0, 1, 0).Task, 0); got != 2 {
		t.Errorf("next run %d", got)
	}
}

// TestGangEndsTogether guards against members of a gang that run again after one of them was done.
func TestGangEndsTogether(t *testing.T) {
	w := job(workflow.Step{Count: 3, Gang: true})
	start(w, run(0, 0, 1), run(0, 1, 1), run(0, 2, 1))
	end(w, run(0, 1, 1), workflow.Done)
	if w.State() != workflow.Completed || len(w.Ready(now)) != 0 {
		t.Fatalf("state %v, ready %v", w.State(), w.Ready(now))
	}
}

// TestGangFailsOnce guards against a gang whose members' ends count as one failure each.
func TestGangFailsOnce(t *testing.T) {
	w := job(workflow.Step{Count: 4, Gang: true})
	start(w, run(0, 0, 1), run(0, 1, 1), run(0, 2, 1), run(0, 3, 1))
	for i := range 4 {
		end(w, run(0, i, 1), workflow.Failed)
	}
	if w.State() == workflow.FailedState {
		t.Fatal("failed after one run of the gang")
	}
	if got := w.NextRun(run(0, 0, 0).Task, 0); got != 2 {
		t.Errorf("next run %d", got)
	}
}

// TestLongRunning guards against tasks that run until cancelled and are not started again.
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

// TestOccurrences guards against an occurrence that starts before its time.
func TestOccurrences(t *testing.T) {
	w := workflow.New(workflow.Spec{
		ID: "a", Steps: []workflow.Step{{Count: 1}}, Occurrences: 3, FirstAt: now, Period: time.Second,
	})
	for after, want := range map[time.Duration]int{-time.Millisecond: 0, 0: 1, 999 * time.Millisecond: 1, 2 * time.Second: 3} {
		if got := len(w.Ready(now.Add(after))); got != want {
			t.Errorf("%v after the first is due: %d ready, want %d", after, got, want)
		}
	}
}

// TestAdopt guards against a second run of a task that is kept, and against runs of jobs that are over.
func TestAdopt(t *testing.T) {
	w := job(workflow.Step{Count: 1})
	first := workflow.Placement{RunRef: run(0, 0, 1), Worker: "w"}
	second := workflow.Placement{RunRef: run(0, 0, 2), Worker: "v"}
	for range 2 {
		if !w.Adopt(first) {
			t.Fatal("the only run is not kept")
		}
	}
	if w.Adopt(second) {
		t.Fatal("a second run is kept")
	}
	w.Cancel()
	if w.Adopt(first) || len(w.Ready(now)) != 0 {
		t.Fatal("a run of a cancelled job is kept")
	}
}
