package workflow_test

import (
	"testing"

	"skylarkstall/internal/domain/workflow"
)

// TestCrashesEndJob guards against a task that crashes worker after worker, against counting a crash twice, and against a
// count that begins again at a change of the leader.
func TestCrashesEndJob(t *testing.T) {
	w := job(workflow.Step{Count: 2, LongRunning: true})
	task := run(0, 0, 0).Task
	for _, number := range []workflow.RunNumber{1, 2, 2} {
		start(w, run(0, 0, number))
		end(w, run(0, 0, number), workflow.Lost)
		w.RecordCrash(run(0, 0, number))
	}
	restored := job(workflow.Step{Count: 2, LongRunning: true})
	restored.Restore(w.Progress())
	if n := restored.Crashes(task); n != 2 || restored.State() != workflow.Running {
		t.Fatalf("%d crashes and state %v after the change of the leader, want 2 and running", n, restored.State())
	}
	if next := restored.NextRun(task, 0); next != 3 {
		t.Errorf("the next run is %d, want 3", next)
	}
	start(restored, run(0, 1, 1))
	effect := restored.RecordCrash(run(0, 0, 1001))
	if restored.State() != workflow.FailedState || !effect.MustRecord || len(effect.Stop) != 1 {
		t.Errorf("state %v after three crashes, effect %+v; want failed, and the other task stopped", restored.State(), effect)
	}
}

// TestHarmlessRunClears guards against a task that is given up because of crashes that have nothing to do with it, far apart.
func TestHarmlessRunClears(t *testing.T) {
	w := job(workflow.Step{Count: 1})
	task := run(0, 0, 0).Task
	for number := workflow.RunNumber(1); number < 9; number += 2 {
		w.RecordCrash(run(0, 0, number))
		w.RecordCrash(run(0, 0, number+1))
		if !w.ClearCrashes(task) || w.ClearCrashes(task) {
			t.Fatal("the crashes are not cleared once")
		}
	}
	if w.State() == workflow.FailedState {
		t.Error("the job has failed although a run of its task was harmless after every second crash")
	}
}

// TestDoubtCounts guards against further starts of a task while it is not known yet whether its earlier runs crashed their
// workers, and against a task that never starts again although they did not.
func TestDoubtCounts(t *testing.T) {
	w := job(workflow.Step{Count: 1})
	task := run(0, 0, 0).Task
	w.RecordCrash(run(0, 0, 1))
	w.Doubt(run(0, 0, 2))
	if w.MayHarmWorker(task) {
		t.Error("one crash and one run in doubt keep the task from starting")
	}
	w.Doubt(run(0, 0, 3))
	if !w.MayHarmWorker(task) {
		t.Error("the task may start after one crash and two runs in doubt")
	}
	end(w, run(0, 0, 2), workflow.Stopped)
	w.ResolveDoubt(run(0, 0, 3))
	if w.MayHarmWorker(task) {
		t.Error("the doubt remains although both runs turned out to be harmless")
	}
}

// TestDoubtSurvivesLeader guards against a new leader that starts a task as often again, because its predecessor had given up
// the runs before it was known whether their workers crashed.
func TestDoubtSurvivesLeader(t *testing.T) {
	w := job(workflow.Step{Count: 2})
	vanished, running := run(0, 0, 0).Task, run(0, 1, 0).Task
	for number := workflow.RunNumber(1); number <= workflow.MaxCrashes; number++ {
		w.Doubt(run(0, 0, number))
	}
	w.Doubt(run(0, 1, 1))
	restored := job(workflow.Step{Count: 2})
	restored.Restore(w.Progress())
	restored.MarkUnknownRuns()
	if !restored.MayHarmWorker(vanished) {
		t.Error("a task with three runs in doubt may start under the new leader")
	}
	restored.Adopt(workflow.Placement{RunRef: run(0, 1, 1), Worker: "w"})
	restored.ResolveDoubt(run(0, 1, 1))
	effect := restored.ClearUnknownRuns()
	if restored.State() != workflow.FailedState || !effect.MustRecord || len(effect.Stop) != 1 {
		t.Errorf("state %v, effect %+v after three runs have vanished; want failed, and the other run stopped", restored.State(), effect)
	}
	if n := restored.Crashes(running); n != 0 {
		t.Errorf("%d crashes under the task that runs, want 0", n)
	}
}
