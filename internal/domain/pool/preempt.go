package pool

import (
	"cmp"
	"slices"
	"time"

	"skylarkstall/internal/domain/resource"
	"skylarkstall/internal/domain/workflow"
)

// Cost of preempting a run, in addition to its share of the worker: its task is delayed, and the work since its last
// checkpoint may be lost.
const runCost = 0.1

var none resource.Vector

// Preemption is the set of runs to stop on a worker so that a task of a higher priority fits. It is empty if the task
// already fits.
type Preemption struct {
	Runs []workflow.RunRef
	Cost float64 // the lowest is the best
}

// PlanPreemption returns the runs to stop so that one more task of the step fits, besides those for which the worker
// already keeps capacity free. It returns false if the worker cannot take the task even without its preemptible runs.
func (w *Worker) PlanPreemption(r *Request) (Preemption, bool) {
	atLimit := r.Step.MaxPerWorker > 0 && w.CountRuns(r.Ref)+w.HoldCount(r) >= r.Step.MaxPerWorker
	if atLimit || !w.passesExceptFits(r) {
		return Preemption{}, false
	}
	missing := reservedSize(r.Step).Sub(w.plannedFree(r))
	var p Preemption
	for _, run := range w.preemptible(r) {
		if missing.Fits(none) {
			break
		}
		size := reservedSize(&run.Step)
		if missing.Sub(size).Max(none) == missing.Max(none) {
			continue // it occupies nothing that the task lacks
		}
		missing = missing.Sub(size)
		p.Runs = append(p.Runs, run.RunRef)
		p.Cost += runCost + size.DominantShare(w.info.Capacity)
	}
	return p, missing.Fits(none)
}

// plannedFree returns the capacity that the task could use once all preempted runs have ended.
func (w *Worker) plannedFree(r *Request) resource.Vector {
	free := w.Free().Sub(w.heldFromOthers(r)).Sub(w.heldFor(r))
	for _, run := range w.runs {
		if run.preempted {
			free = free.Add(reservedSize(&run.Step))
		}
	}
	return free
}

// Preempt marks the runs as being stopped and keeps capacity free for a task of the step.
func (w *Worker) Preempt(r *Request, p Preemption, until time.Time) {
	for _, ref := range p.Runs {
		w.runs[ref].preempted = true
	}
	w.hold(r, until)
}

// CancelPreemption undoes Preempt, before any of the runs has been stopped.
func (w *Worker) CancelPreemption(r *Request, p Preemption) {
	for _, ref := range p.Runs {
		w.runs[ref].preempted = false
	}
	w.useHold(r.Ref)
}

// preemptible returns the runs that may be stopped for the task: those of a lower priority that resume from a
// checkpoint. The lowest priority comes first, then the largest run.
func (w *Worker) preemptible(r *Request) []*Run {
	var runs []*Run
	for _, run := range w.runs {
		step := &run.Step
		resumes := step.Checkpointing && !step.Gang && !step.LongRunning && !step.BestEffort
		if resumes && run.Priority > r.Priority && run.Reported && !run.preempted && run.StopAcked.IsZero() {
			runs = append(runs, run)
		}
	}
	slices.SortFunc(runs, func(a, b *Run) int {
		return cmp.Or(
			cmp.Compare(b.Priority, a.Priority), cmp.Compare(b.Step.Size.MilliCores, a.Step.Size.MilliCores),
			cmp.Compare(a.Task.Job, b.Task.Job), cmp.Compare(a.Task.Index, b.Task.Index))
	})
	return runs
}
