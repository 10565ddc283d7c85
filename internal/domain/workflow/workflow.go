package workflow

import (
	"slices"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/resource"
)

// Workflow is the state of one job. It is not safe for concurrent use.
type Workflow struct {
	spec        Spec
	occurrences []occurrence
	started     bool
	state       State
	unknownRuns bool // unknown runs of an earlier leader may still be active
	onChange    func()
}

type occurrence struct {
	steps     []stepState
	remaining int // tasks that are not done
}

type stepState struct {
	tasks     []task
	remaining int      // tasks that are not done
	waiting   int      // tasks that are neither active nor done
	failed    failures // of a gang as a whole; of other steps each task has its own
}

type task struct {
	done       bool
	failed     failures
	crashed    failures  // runs under which a worker crashed
	inDoubt    failures  // runs that were given up before it was known whether the worker crashed under them
	lastRun    RunNumber // highest run number used
	checkpoint string
	active     []activeRun // more than one only for copies of a speculative step
}

type activeRun struct {
	run      RunNumber
	worker   ident.WorkerID
	stopping bool // BreakUp has returned it
}

// New returns the state of a job of which nothing has run.
func New(spec Spec) *Workflow {
	w := &Workflow{spec: spec, occurrences: make([]occurrence, spec.OccurrenceCount())}
	for k := range w.occurrences {
		o := &w.occurrences[k]
		o.steps = make([]stepState, len(spec.Steps))
		for i := range o.steps {
			count := spec.Steps[i].Count
			o.steps[i] = stepState{tasks: make([]task, count), remaining: count, waiting: count}
			o.remaining += count
		}
	}
	return w
}

// OnChange sets a function that is called after each change of what Ready returns, but for occurrences that become due.
func (w *Workflow) OnChange(f func()) { w.onChange = f }

func (w *Workflow) changed() {
	if w.onChange != nil {
		w.onChange()
	}
}

// setState sets a final state.
func (w *Workflow) setState(state State) {
	w.state = state
	w.changed()
}

// Spec returns what the caller submitted. It must not be changed.
func (w *Workflow) Spec() *Spec { return &w.spec }

// Step returns the specification of a step.
func (w *Workflow) Step(ref StepRef) *Step { return &w.spec.Steps[ref.Step] }

// State returns the current state of the job.
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

// MarkUnknownRuns marks the job as one of which an earlier leader may have started runs that are still unknown.
func (w *Workflow) MarkUnknownRuns() { w.unknownRuns = true }

// MayHaveUnknownRuns reports whether unknown runs of an earlier leader may still be active.
func (w *Workflow) MayHaveUnknownRuns() bool { return w.unknownRuns }

// Ready returns the steps that have tasks to start now.
func (w *Workflow) Ready(now time.Time) []StepRef {
	if w.state.Final() {
		return nil
	}
	var refs []StepRef
	for k := range w.occurrences {
		if w.occurrences[k].remaining == 0 || w.spec.Due(k).After(now) {
			continue
		}
		for i := range w.occurrences[k].steps {
			if w.occurrences[k].steps[i].waiting > 0 && w.dependenciesDone(k, i) {
				refs = append(refs, StepRef{w.spec.ID, k, i})
			}
		}
	}
	return refs
}

// NextDue returns when the next occurrence with tasks left becomes due, and false if there is none.
func (w *Workflow) NextDue(now time.Time) (time.Time, bool) {
	if w.state.Final() {
		return time.Time{}, false
	}
	for k := range w.occurrences {
		if due := w.spec.Due(k); due.After(now) && w.occurrences[k].remaining > 0 {
			return due, true
		}
	}
	return time.Time{}, false
}

func (w *Workflow) dependenciesDone(occurrence, step int) bool {
	for _, dependency := range w.spec.Steps[step].DependsOn {
		if w.occurrences[occurrence].steps[dependency].remaining > 0 {
			return false
		}
	}
	return true
}

// Waiting returns the indexes of the tasks of a step that are neither active nor done, in ascending order.
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

// WaitingCount returns the number of tasks of a step that are neither active nor done.
func (w *Workflow) WaitingCount(ref StepRef) int { return w.step(ref).waiting }

// dueSlack is how much earlier than by the clock of this process an occurrence may have started under another one.
const dueSlack = 5 * time.Second

// MostUnknown returns the most that runs of the job which are not known may take. A task without a known run has one of them at most, and a
// task of a gang or one that may have copies also beside a run that is known or has ended.
func (w *Workflow) MostUnknown(now time.Time) resource.Vector {
	var most resource.Vector
	for k := range w.occurrences {
		if w.spec.Due(k).After(now.Add(dueSlack)) {
			continue
		}
		for i := range w.spec.Steps {
			step, tasks := &w.spec.Steps[i], w.occurrences[k].steps[i].waiting
			if step.Gang || step.AllowsCopies() {
				tasks = step.Count
			}
			most = most.Add(step.Size.Scale(int64(tasks)))
		}
	}
	return most
}

// HasRun reports whether a run of any task of the step is known.
func (w *Workflow) HasRun(ref StepRef) bool {
	return slices.ContainsFunc(w.step(ref).tasks, func(t task) bool { return t.lastRun > 0 })
}

func (w *Workflow) step(ref StepRef) *stepState {
	return &w.occurrences[ref.Occurrence].steps[ref.Step]
}

// task returns the state of a task, or nil when the job has no such task.
func (w *Workflow) task(ref TaskRef) *task {
	if ref.Occurrence < 0 || ref.Occurrence >= len(w.occurrences) || ref.Step < 0 || ref.Step >= len(w.spec.Steps) ||
		ref.Index < 0 || ref.Index >= w.spec.Steps[ref.Step].Count {
		return nil
	}
	return &w.step(ref.StepRef).tasks[ref.Index]
}

// NextRun returns the number of the next run of a task, which is greater than floor. The members of a gang share one
// number.
func (w *Workflow) NextRun(ref TaskRef, floor RunNumber) RunNumber {
	highest := w.task(ref).lastRun
	if w.Step(ref.StepRef).Gang {
		for i := range w.step(ref.StepRef).tasks {
			highest = max(highest, w.step(ref.StepRef).tasks[i].lastRun)
		}
	}
	return max(highest, floor) + 1
}

// Checkpoint returns the checkpoint from which the next run of a task resumes, or an empty string to start from the
// beginning. The members of a gang share one checkpoint.
func (w *Workflow) Checkpoint(ref TaskRef) string {
	if w.Step(ref.StepRef).Gang {
		return w.step(ref.StepRef).tasks[0].checkpoint
	}
	return w.task(ref).checkpoint
}

// Start adds a run whose start is about to be requested. The task must be one of those that Waiting returns.
func (w *Workflow) Start(p Placement) { w.activate(p, w.task(p.Task)) }

// MarkStarted records that a run of the job has started on a worker. Starts that were withdrawn or refused leave the
// job pending.
func (w *Workflow) MarkStarted() { w.started = true }

// Adopt adds a run that an earlier leader started and that a worker reports. It returns false when the run must be
// stopped: its task is done or already active, or its job has ended.
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
	if len(t.active) > 0 && !w.Step(p.Task.StepRef).AllowsCopies() {
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
	t.active = append(t.active, activeRun{run: p.Run, worker: p.Worker})
	t.lastRun = max(t.lastRun, p.Run)
	w.changed()
}

// RecordCheckpoint stores a checkpoint that a run has reported, unless a later run has been started.
func (w *Workflow) RecordCheckpoint(run RunRef, checkpoint string) {
	t := w.task(run.Task)
	if t == nil || t.done || checkpoint == "" || run.Run < t.lastRun {
		return
	}
	w.setCheckpoint(run.Task, checkpoint)
}

func (w *Workflow) setCheckpoint(ref TaskRef, checkpoint string) {
	if !w.Step(ref.StepRef).Gang {
		w.task(ref).checkpoint = checkpoint
		return
	}
	tasks := w.step(ref.StepRef).tasks
	for i := range tasks {
		tasks[i].checkpoint = checkpoint
	}
}

// Active returns the runs that were added and have not ended.
func (w *Workflow) Active() []Placement {
	var runs []Placement
	for k := range w.occurrences {
		for i := range w.occurrences[k].steps {
			runs = append(runs, w.ActiveInStep(StepRef{w.spec.ID, k, i})...)
		}
	}
	return runs
}

// ActiveInStep returns the active runs of one step.
func (w *Workflow) ActiveInStep(ref StepRef) []Placement {
	var runs []Placement
	tasks := w.step(ref).tasks
	for i := range tasks {
		for _, a := range tasks[i].active {
			runs = append(runs, Placement{RunRef{TaskRef{ref, i}, a.run}, a.worker})
		}
	}
	return runs
}

// IsActive reports whether a run was added and has not ended.
func (w *Workflow) IsActive(p Placement) bool {
	t := w.task(p.Task)
	return t != nil && slices.ContainsFunc(t.active, func(a activeRun) bool { return a.run == p.Run && a.worker == p.Worker })
}

// Cancel sets the state to Cancelled and returns true, unless the state is already final. The caller stops the active
// runs.
func (w *Workflow) Cancel() bool {
	if w.state.Final() {
		return false
	}
	w.setState(Cancelled)
	return true
}
