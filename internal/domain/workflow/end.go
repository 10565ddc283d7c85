package workflow

import (
	"slices"

	"skylarkstall/internal/domain/ident"
)

// EndEffect is what the caller has to do after the end of a run.
type EndEffect struct {
	MustRecord bool        // the progress must be recorded before the end is acknowledged
	Stop       []Placement // runs that are no longer needed
}

// ApplyEnd applies the end of a run. maxAttempts bounds the failed runs of a task, except in long-running steps.
// Applying the same end again changes nothing.
func (w *Workflow) ApplyEnd(end End, worker ident.WorkerID, maxAttempts int) EndEffect {
	t := w.task(end.Run.Task)
	if t == nil || t.done {
		return EndEffect{}
	}
	w.ResolveDoubt(end.Run)
	wasActive := w.deactivate(end.Run, worker)
	t.lastRun = max(t.lastRun, end.Run.Run)
	step := w.Step(end.Run.Task.StepRef)
	if end.Checkpoint != "" && end.Outcome != Done && end.Run.Run == t.lastRun {
		w.setCheckpoint(end.Run.Task, end.Checkpoint)
	}
	switch {
	case step.LongRunning:
		return EndEffect{MustRecord: wasActive && end.Checkpoint != ""}
	case end.Outcome == Done:
		w.started = true
		return w.taskDone(end.Run, step)
	case end.Outcome == Failed:
		w.started = true
		return w.runFailed(end.Run, maxAttempts)
	default:
		return EndEffect{MustRecord: wasActive && end.Checkpoint != ""}
	}
}

// deactivate removes a run from the active ones and reports whether it was one of them.
func (w *Workflow) deactivate(run RunRef, worker ident.WorkerID) bool {
	t := w.task(run.Task)
	for i, a := range t.active {
		if a.run == run.Run && a.worker == worker {
			t.active = append(t.active[:i], t.active[i+1:]...)
			if len(t.active) == 0 {
				w.step(run.Task.StepRef).waiting++
			}
			w.changed()
			return true
		}
	}
	return false
}

func (w *Workflow) taskDone(run RunRef, step *Step) EndEffect {
	ref := run.Task.StepRef
	effect := EndEffect{MustRecord: true}
	if step.Gang {
		for i := range w.step(ref).tasks {
			w.markDone(TaskRef{ref, i})
		}
	} else {
		effect.Stop = w.ActiveRuns(run.Task)
		w.markDone(run.Task)
	}
	w.completeIfDone()
	return effect
}

// ActiveRuns returns the active runs of one task.
func (w *Workflow) ActiveRuns(ref TaskRef) []Placement {
	t := w.task(ref)
	if t == nil {
		return nil
	}
	var runs []Placement
	for _, a := range t.active {
		runs = append(runs, Placement{RunRef{ref, a.run}, a.worker})
	}
	return runs
}

func (w *Workflow) markDone(ref TaskRef) {
	t, step := w.task(ref), w.step(ref.StepRef)
	if t.done {
		return
	}
	if len(t.active) == 0 {
		step.waiting--
	}
	t.done, t.active, t.checkpoint = true, nil, ""
	step.remaining--
	w.occurrences[ref.Occurrence].remaining--
	w.changed()
}

func (w *Workflow) completeIfDone() {
	for k := range w.occurrences {
		if w.occurrences[k].remaining > 0 {
			return
		}
	}
	if !w.state.Final() {
		w.setState(Completed)
	}
}

// failures is a set of failed runs. Run numbers are kept rather than a count because a worker reports an end again that
// an earlier leader recorded but did not acknowledge, and because workers report the ends of several runs in any order.
type failures []RunNumber

// add adds a run and reports whether it was not in the set.
func (f *failures) add(run RunNumber) bool {
	if slices.Contains(*f, run) {
		return false
	}
	*f = append(*f, run)
	return true
}

// failuresOf returns the failures that count towards the limit of a task: its own, or those of its gang.
func (w *Workflow) failuresOf(ref TaskRef) *failures {
	if w.Step(ref.StepRef).Gang {
		return &w.step(ref.StepRef).failed
	}
	return &w.task(ref).failed
}

func (w *Workflow) runFailed(run RunRef, maxAttempts int) EndEffect {
	counted := w.failuresOf(run.Task)
	if !counted.add(run.Run) {
		return EndEffect{}
	}
	effect := EndEffect{MustRecord: true}
	if len(*counted) >= maxAttempts && !w.state.Final() {
		w.setState(FailedState)
		effect.Stop = w.Active()
	}
	return effect
}

// HasAttemptsLeft reports whether the task has fewer failed runs than maxAttempts. Tasks of long-running steps have no
// limit.
func (w *Workflow) HasAttemptsLeft(ref TaskRef, maxAttempts int) bool {
	return w.Step(ref.StepRef).LongRunning || len(*w.failuresOf(ref)) < maxAttempts
}

// DropRun removes an active run without counting a failure: one that certainly neither runs nor will run, or one of a
// speculative step, of which a copy may then start. It reports whether the run was active.
func (w *Workflow) DropRun(run RunRef, worker ident.WorkerID) bool {
	t := w.task(run.Task)
	return t != nil && !t.done && w.deactivate(run, worker)
}

// IsDone reports whether a task needs no further run.
func (w *Workflow) IsDone(ref TaskRef) bool {
	t := w.task(ref)
	return t != nil && t.done
}
