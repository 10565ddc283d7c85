package workflow_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/workflow"
)

func placement(index int, number workflow.RunNumber, worker ident.WorkerID) workflow.Placement {
	return workflow.Placement{RunRef: run(0, index, number), Worker: worker}
}

// TestIncompleteGangIsStopped guards against a gang that hangs: a member is gone, the others wait for it, and it is not started
// again while they are active.
func TestIncompleteGangIsStopped(t *testing.T) {
	first, second, third := placement(0, 1, "u"), placement(1, 1, "v"), placement(2, 1, "w")
	tests := map[string]struct {
		lose func(w *workflow.Workflow)
		want []workflow.Placement
	}{
		"whole": {func(*workflow.Workflow) {}, nil},
		"member lost": {func(w *workflow.Workflow) {
			w.ApplyEnd(workflow.End{Run: second.RunRef, Outcome: workflow.Lost}, "v", 3)
		}, []workflow.Placement{first, third}},
		"member failed": {func(w *workflow.Workflow) {
			w.ApplyEnd(workflow.End{Run: first.RunRef, Outcome: workflow.Failed}, "u", 3)
		}, []workflow.Placement{second, third}},
		"member not started": {func(w *workflow.Workflow) { w.DropRun(third.RunRef, "w") }, []workflow.Placement{first, second}},
		"all members lost": {func(w *workflow.Workflow) {
			for _, p := range w.Active() {
				w.ApplyEnd(workflow.End{Run: p.RunRef, Outcome: workflow.Lost}, p.Worker, 3)
			}
		}, nil},
		"one end as done stands for all": {func(w *workflow.Workflow) {
			w.ApplyEnd(workflow.End{Run: second.RunRef, Outcome: workflow.Lost}, "v", 3)
			w.ApplyEnd(workflow.End{Run: third.RunRef, Outcome: workflow.Done}, "w", 3)
		}, nil},
		"job cancelled": {func(w *workflow.Workflow) {
			w.ApplyEnd(workflow.End{Run: second.RunRef, Outcome: workflow.Lost}, "v", 3)
			w.Cancel()
		}, nil},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			w := job(workflow.Step{Count: 3, Gang: true})
			for _, p := range []workflow.Placement{first, second, third} {
				w.Start(p)
			}
			test.lose(w)
			if diff := cmp.Diff(test.want, w.BreakUp()); diff != "" {
				t.Errorf("runs to stop (-want +got):\n%s", diff)
			}
			if again := w.BreakUp(); len(again) != 0 {
				t.Errorf("runs %v are to be stopped twice", again)
			}
		})
	}
}

// TestMembersOfDifferentRuns guards against a gang that hangs because a late start put a member of an earlier run beside those of
// the last one: every member is active, and they never work together.
func TestMembersOfDifferentRuns(t *testing.T) {
	w := job(workflow.Step{Count: 2, Gang: true})
	old, last := placement(0, 1, "u"), placement(1, 1001, "v")
	if !w.Adopt(old) || !w.Adopt(last) {
		t.Fatal("a member is not kept, so that its task may start while it still runs")
	}
	if diff := cmp.Diff([]workflow.Placement{old, last}, w.BreakUp()); diff != "" {
		t.Errorf("runs to stop (-want +got):\n%s", diff)
	}
}

// TestOtherStepsAreNotBrokenUp guards against stopping tasks that work without the others of their step.
func TestOtherStepsAreNotBrokenUp(t *testing.T) {
	w := job(workflow.Step{Count: 2}, workflow.Step{Count: 2, LongRunning: true})
	start(w, run(0, 0, 1), run(1, 1, 1))
	if runs := w.BreakUp(); len(runs) != 0 {
		t.Errorf("runs %v of steps that are no gangs are to be stopped", runs)
	}
}
