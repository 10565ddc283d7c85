package workflow

import (
	"time"

	"skylarkstall/internal/domain/ident"
)

// Workflow is the aggregate of one job. It is not safe for concurrent use.
type Workflow struct {
	spec     Spec
	rounds   []round
	started  bool
	state    State
	inherits bool // runs of an earlier leader may still be going on unseen
}

// round is one occurrence.
type round struct {
	steps []stepState
	left  int // tasks that are not done
}

type stepState struct {
	tasks   []task
	left    int      // tasks that are not done
	waiting int      // tasks that neither run nor are done
	failed  failures // of the gang as a whole
}

type task struct {
	done       bool
	failed     failures
	last       RunNumber // highest run used
	checkpoint string
	active     []active // one, or several copies
}

type active struct {
	run    RunNumber
	worker ident.WorkerID
}

// New returns the aggregate of a job of which nothing has run.
func New(spec Spec) *Workflow {
	w := &Workflow{spec: spec, rounds: make([]round, spec.OccurrenceCount())}
	for k := range w.rounds {
		r := &w.rounds[k]
		r.steps = make([]stepState, len(spec.Steps))
		for i := range r.steps {
			count := spec.Steps[i].Count
			r.steps[i] = stepState{tasks: make([]task, count), left: count, waiting: count}
			r.left += count
		}
	}
	return w
}

// Spec returns what the caller submitted. It must not be changed.
func (w *Workflow) Spec() *Spec { return &w.spec }

// Step returns what the caller submitted for a step.
func (w *Workflow) Step(ref StepRef) *Step { return &w.spec.Steps[ref.Step] }

// State returns the state that the events so far lead to.
func (w *Workflow) State() State {
	switch {
	case w.state.Final():
		return w.state
	case w.started:
		return Running
	default:
		return Pending
	}
}

// MarkUnknownRuns marks the job as one of which an earlier leader may have started runs that are not known.
func (w *Workflow) MarkUnknownRuns() { w.inherits = true }

// MayHaveUnknownRuns reports whether runs of an earlier leader may be going on unseen.
func (w *Workflow) MayHaveUnknownRuns() bool { return w.inherits }

// ClearUnknownRuns ends the doubt of Inherit: every run of earlier leaders is known or over.
func (w *Workflow) ClearUnknownRuns() { w.inherits = false }

// Ready returns the steps that have tasks to start now.
func (w *Workflow) Ready(now time.Time) []StepRef {
	if w.state.Final() {
		return nil
	}
	var refs []StepRef
	for k := range w.rounds {
		if w.rounds[k].left == 0 || w.spec.Due(k).After(now) {
			continue
		}
		for i := range w.rounds[k].steps {
			if w.rounds[k].steps[i].waiting > 0 && w.unblocked(k, i) {
				refs = append(refs, StepRef{w.spec.ID, k, i})
			}
		}
	}
	return refs
}

func (w *Workflow) unblocked(occurrence, step int) bool {
	for _, earlier := range w.spec.Steps[step].DependsOn {
		if w.rounds[occurrence].steps[earlier].left > 0 {
			return false
		}
	}
	return true
}

// Waiting returns the indexes of the tasks of a step that neither run nor are done, in order.
func (w *Workflow) Waiting(ref StepRef) []int {
	step := w.step(ref)
	indexes := make([]int, 0, step.waiting)
	for i := range step.tasks {
		if t := &step.tasks[i]; !t.done && len(t.active) == 0 {
			indexes = append(indexes, i)
		}
	}
	return indexes
}

func (w *Workflow) step(ref StepRef) *stepState { return &w.rounds[ref.Occurrence].steps[ref.Step] }

// task returns nil for a task that the job does not have.
func (w *Workflow) task(ref TaskRef) *task {
	if ref.Occurrence >= len(w.rounds) || ref.Step >= len(w.spec.Steps) || ref.Index >= w.spec.Steps[ref.Step].Count {
		return nil
	}
	return &w.step(ref.StepRef).tasks[ref.Index]
}

// NextRun returns the number of the next run of a task, above least. The members of a gang share one number.
func (w *Workflow) NextRun(ref TaskRef, least RunNumber) RunNumber {
	highest := w.task(ref).last
	if w.Step(ref.StepRef).Gang {
		for i := range w.step(ref.StepRef).tasks {
			highest = max(highest, w.step(ref.StepRef).tasks[i].last)
		}
	}
	return max(highest, least) + 1
}

// Checkpoint returns where the next run of a task resumes; empty for the beginning. The members of a gang share it.
func (w *Workflow) Checkpoint(ref TaskRef) string {
	if w.Step(ref.StepRef).Gang {
		return w.step(ref.StepRef).tasks[0].checkpoint
	}
	return w.task(ref).checkpoint
}

// Start notes that a run was ordered. The caller has taken the task from Waiting.
func (w *Workflow) Start(p Placement) { w.activate(p, w.task(p.Task)) }

// MarkStarted notes that a run has begun. Orders that were taken back or refused leave the job pending.
func (w *Workflow) MarkStarted() { w.started = true }

// Adopt notes a run that an earlier leader ordered and that a worker lists. It reports whether the run counts: one of
// a task that is done, or of a job that is over, has to be stopped.
func (w *Workflow) Adopt(p Placement) bool {
	t := w.task(p.Task)
	if t == nil || t.done || w.state.Final() {
		return false
	}
	for i := range t.active {
		if t.active[i].run == p.Run && t.active[i].worker == p.Worker {
			return true
		}
	}
	if len(t.active) > 0 && !w.Step(p.Task.StepRef).Speculative {
		return false
	}
	w.activate(p, t)
	w.started = true
	return true
}

func (w *Workflow) activate(p Placement, t *task) {
	if len(t.active) == 0 {
		w.step(p.Task.StepRef).waiting--
	}
	t.active = append(t.active, active{p.Run, p.Worker})
	t.last = max(t.last, p.Run)
}

// RecordCheckpoint notes a checkpoint that a run has reported.
func (w *Workflow) RecordCheckpoint(run RunRef, checkpoint string) {
	t := w.task(run.Task)
	if t == nil || t.done || checkpoint == "" || run.Run < t.last {
		return
	}
	w.save(run.Task, checkpoint)
}

func (w *Workflow) save(ref TaskRef, checkpoint string) {
	if !w.Step(ref.StepRef).Gang {
		w.task(ref).checkpoint = checkpoint
		return
	}
	tasks := w.step(ref.StepRef).tasks
	for i := range tasks {
		tasks[i].checkpoint = checkpoint
	}
}

// Active returns the runs that are ordered and have not ended.
func (w *Workflow) Active() []Placement {
	var runs []Placement
	for k := range w.rounds {
		for i := range w.rounds[k].steps {
			runs = append(runs, w.ActiveOf(StepRef{w.spec.ID, k, i})...)
		}
	}
	return runs
}

// ActiveOf returns the runs of one step that are ordered and have not ended.
func (w *Workflow) ActiveOf(ref StepRef) []Placement {
	var runs []Placement
	tasks := w.step(ref).tasks
	for i := range tasks {
		for _, a := range tasks[i].active {
			runs = append(runs, Placement{RunRef{TaskRef{ref, i}, a.run}, a.worker})
		}
	}
	return runs
}

// Cancel ends the job unless it is over. The caller stops the active runs.
func (w *Workflow) Cancel() bool {
	if w.state.Final() {
		return false
	}
	w.state = Cancelled
	return true
}
