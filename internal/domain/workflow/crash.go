package workflow

import "slices"

// MaxCrashes is the number of workers that may crash under a task before its job is given up.
const MaxCrashes = 3

// RecordCrash records that a worker crashed under a run, and that the run may be the cause. Recording the same run again
// changes nothing.
func (w *Workflow) RecordCrash(run RunRef) EndEffect {
	w.ResolveDoubt(run)
	t := w.task(run.Task)
	if t == nil || t.done || !t.crashed.add(run.Run) {
		return EndEffect{}
	}
	w.started = true
	t.lastRun = max(t.lastRun, run.Run)
	effect := EndEffect{MustRecord: true}
	if len(t.crashed) >= MaxCrashes && !w.state.Final() {
		w.setState(FailedState)
		effect.Stop = w.Active()
	}
	return effect
}

// Crashes returns the number of workers that crashed under a task since it last ran without harm.
func (w *Workflow) Crashes(ref TaskRef) int {
	t := w.task(ref)
	if t == nil {
		return 0
	}
	return len(t.crashed)
}

// ClearCrashes records that a run of the task did not harm its worker, and reports whether that changes anything.
func (w *Workflow) ClearCrashes(ref TaskRef) bool {
	t := w.task(ref)
	if t == nil || len(t.crashed) == 0 {
		return false
	}
	t.crashed = nil
	return true
}

// Doubt records that a run was given up on a silent worker, which may have crashed under it. It counts towards MaxCrashes
// until ResolveDoubt or RecordCrash.
func (w *Workflow) Doubt(run RunRef) {
	if t := w.task(run.Task); t != nil {
		t.inDoubt.add(run.Run)
	}
}

// ResolveDoubt records that the worker did not crash under a run, or is gone for good, and reports whether the run was in
// doubt.
func (w *Workflow) ResolveDoubt(run RunRef) bool {
	t := w.task(run.Task)
	if t == nil || !slices.Contains(t.inDoubt, run.Run) {
		return false
	}
	t.inDoubt = slices.DeleteFunc(t.inDoubt, func(n RunNumber) bool { return n == run.Run })
	return true
}

// MayHarmWorker reports whether so many workers have crashed, or may have crashed, under the task that it must not start
// on another one now.
func (w *Workflow) MayHarmWorker(ref TaskRef) bool {
	t := w.task(ref)
	return t != nil && len(t.crashed)+len(t.inDoubt) >= MaxCrashes
}

// ClearUnknownRuns records that every run of earlier leaders is known or has ended. A run in doubt that was not found has
// vanished with its worker, and counts as a crash.
func (w *Workflow) ClearUnknownRuns() EndEffect {
	w.unknownRuns = false
	var effect EndEffect
	for k := range w.occurrences {
		for i := range w.occurrences[k].steps {
			for index := range w.occurrences[k].steps[i].tasks {
				t := &w.occurrences[k].steps[i].tasks[index]
				for _, number := range slices.Clone(t.inDoubt) {
					recorded := w.RecordCrash(RunRef{TaskRef{StepRef{w.spec.ID, k, i}, index}, number})
					effect.MustRecord = effect.MustRecord || recorded.MustRecord
					effect.Stop = append(effect.Stop, recorded.Stop...)
				}
			}
		}
	}
	return effect
}

// IsSuspected reports whether a worker has crashed under the task, or may have.
func (w *Workflow) IsSuspected(ref TaskRef) bool {
	t := w.task(ref)
	return t != nil && len(t.crashed)+len(t.inDoubt) > 0
}
