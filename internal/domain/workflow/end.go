package workflow

import (
	"slices"

	"skylarkstall/internal/domain/ident"
)

// EndEffect tells what follows from an end.
type EndEffect struct {
	MustRecord bool        // the progress has to be recorded before the end is acknowledged
	Stop       []Placement // runs that are not needed any more
}

// ApplyEnd applies the end of a run. maxAttempts bounds the failed runs of a task that does not run for long. An end that
// is applied again changes nothing.
func (w *Workflow) ApplyEnd(end End, worker ident.WorkerID, maxAttempts int) EndEffect {
	t := w.task(end.Run.Task)
	if t == nil || t.done {
		return EndEffect{}
	}
	known := w.deactivate(end.Run, worker)
	t.last = max(t.last, end.Run.Run)
	step := w.Step(end.Run.Task.StepRef)
	if end.Checkpoint != "" && end.Outcome != Done && end.Run.Run == t.last {
		w.save(end.Run.Task, end.Checkpoint)
	}
	switch {
	case step.LongRunning:
		return EndEffect{MustRecord: known && end.Checkpoint != ""}
	case end.Outcome == Done:
		w.started = true
		return w.done(end.Run, step)
	case end.Outcome == Failed:
		w.started = true
		return w.failed(end.Run, maxAttempts)
	default:
		return EndEffect{MustRecord: known && end.Checkpoint != ""}
	}
}

// deactivate reports whether the run was active.
func (w *Workflow) deactivate(run RunRef, worker ident.WorkerID) bool {
	t := w.task(run.Task)
	for i, a := range t.active {
		if a.run == run.Run && a.worker == worker {
			t.active = append(t.active[:i], t.active[i+1:]...)
			if len(t.active) == 0 {
				w.step(run.Task.StepRef).waiting++
			}
			return true
		}
	}
	return false
}

func (w *Workflow) done(run RunRef, step *Step) EndEffect {
	ref := run.Task.StepRef
	verdict := EndEffect{MustRecord: true}
	if step.Gang {
		for i := range w.step(ref).tasks {
			w.markDone(TaskRef{ref, i})
		}
	} else {
		verdict.Stop = w.copies(run.Task)
		w.markDone(run.Task)
	}
	w.complete()
	return verdict
}

// copies returns the active runs of one task.
func (w *Workflow) copies(ref TaskRef) []Placement {
	var runs []Placement
	for _, a := range w.task(ref).active {
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
	step.left--
	w.rounds[ref.Occurrence].left--
}

func (w *Workflow) complete() {
	for k := range w.rounds {
		if w.rounds[k].left > 0 {
			return
		}
	}
	if !w.state.Final() {
		w.state = Completed
	}
}

// failures are the runs that count as failed. An end that an earlier leader recorded but did not acknowledge is listed
// again, and the ends of several runs are listed in any order by their workers.
type failures []RunNumber

// add reports whether the run did not count yet.
func (f *failures) add(run RunNumber) bool {
	if slices.Contains(*f, run) {
		return false
	}
	*f = append(*f, run)
	return true
}

// failuresOf returns the failures that count for a task: its own, or those of its gang.
func (w *Workflow) failuresOf(ref TaskRef) *failures {
	if w.Step(ref.StepRef).Gang {
		return &w.step(ref.StepRef).failed
	}
	return &w.task(ref).failed
}

func (w *Workflow) failed(run RunRef, maxAttempts int) EndEffect {
	counted := w.failuresOf(run.Task)
	if !counted.add(run.Run) {
		return EndEffect{}
	}
	verdict := EndEffect{MustRecord: true}
	if len(*counted) >= maxAttempts && !w.state.Final() {
		w.state = FailedState
		verdict.Stop = w.Active()
	}
	return verdict
}

// HasAttemptsLeft reports whether another run of the task is within the bound of failed runs.
func (w *Workflow) HasAttemptsLeft(ref TaskRef, maxAttempts int) bool {
	return w.Step(ref.StepRef).LongRunning || len(*w.failuresOf(ref)) < maxAttempts
}

// DropRun drops a run without counting it against the task: one that certainly neither runs nor will run, or one of a
// speculative step. It reports whether the run was active.
func (w *Workflow) DropRun(run RunRef, worker ident.WorkerID) bool {
	t := w.task(run.Task)
	return t != nil && !t.done && w.deactivate(run, worker)
}

// IsDone reports whether a task needs no further run.
func (w *Workflow) IsDone(ref TaskRef) bool {
	t := w.task(ref)
	return t != nil && t.done
}
