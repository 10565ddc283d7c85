package pool

import (
	"cmp"
	"slices"
	"time"

	"skylarkstall/internal/domain/resource"
	"skylarkstall/internal/domain/workflow"
)

const (
	// runCost is the cost of preempting a run, in addition to its share of the worker: its task is delayed, and the work since its last
	// checkpoint may be lost.
	runCost = 0.1
	// behindFactor lowers the cost for a run of a job that was behind others when the run started: it is late already, or its account has no
	// share left, so that the delay takes less from its caller.
	behindFactor = 0.5
)

const (
	// urgentPreemptDelay is how long a task of the highest priority waits for a run to end by itself before it preempts one.
	urgentPreemptDelay = 100 * time.Millisecond
	// preemptDelay is the same for other tasks. They have more time, and every preemption delays another task.
	preemptDelay = 500 * time.Millisecond
)

// PreemptDelay returns how long tasks of a priority wait before they preempt runs.
func PreemptDelay(priority int) time.Duration {
	if priority == 0 {
		return urgentPreemptDelay
	}
	return preemptDelay
}

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
	var buffer [usualRunCount]*Run
	runs, cost, ok := w.chooseForPreemption(r, buffer[:0])
	p := Preemption{Cost: cost}
	for _, run := range runs {
		p.Runs = append(p.Runs, run.RunRef)
	}
	return p, ok
}

// PreemptionCost returns the cost that PlanPreemption states, without the runs.
func (w *Worker) PreemptionCost(r *Request) (float64, bool) {
	var buffer [usualRunCount]*Run
	_, cost, ok := w.chooseForPreemption(r, buffer[:0])
	return cost, ok
}

// usualRunCount is the number of runs up to which choosing some for preemption needs no further memory.
const usualRunCount = 16

// chooseForPreemption returns the runs to stop, as PlanPreemption states, and the cost of stopping them. It overwrites the buffer.
func (w *Worker) chooseForPreemption(r *Request, buffer []*Run) ([]*Run, float64, bool) {
	missing := ReservedSize(r.Step).Sub(w.plannedFree(r))
	if !missing.Fits(w.preemptibleSize(r)) {
		return nil, 0, false
	}
	atLimit := r.Step.MaxPerWorker > 0 && w.CountRuns(r.Ref)+w.HoldCount(r) >= r.Step.MaxPerWorker
	if atLimit || !w.passesExceptFits(r) {
		return nil, 0, false
	}
	chosen, cost := 0, 0.0
	runs := w.preemptible(r, buffer)
	for _, run := range runs {
		if missing.Fits(none) {
			break
		}
		size := ReservedSize(&run.Step)
		if missing.Sub(size).Max(none) == missing.Max(none) {
			continue // it occupies nothing that the task lacks
		}
		missing = missing.Sub(size)
		runs[chosen] = run
		chosen++
		cost += w.preemptionCost(run, size)
	}
	return runs[:chosen], cost, missing.Fits(none)
}

// preemptionCost returns the cost of preempting a run of the given size.
func (w *Worker) preemptionCost(run *Run, size resource.Vector) float64 {
	cost := runCost + size.DominantShare(w.info.Capacity)
	if run.Behind {
		cost *= behindFactor
	}
	return cost
}

// compareBehind orders runs of jobs that are behind others before the rest.
func compareBehind(a, b *Run) int {
	switch {
	case a.Behind == b.Behind:
		return 0
	case a.Behind:
		return -1
	default:
		return 1
	}
}

// plannedFree returns the capacity that the task could use once all preempted runs have ended.
func (w *Worker) plannedFree(r *Request) resource.Vector {
	free := w.Free().Sub(w.heldFromOthers(r)).Sub(w.heldFor(r))
	for _, run := range w.runs {
		if run.preempted {
			free = free.Add(ReservedSize(&run.Step))
		}
	}
	return free
}

// Preempt marks the runs as being stopped and keeps capacity free for a task of the step.
func (w *Worker) Preempt(r *Request, p Preemption, until time.Time) {
	for _, ref := range p.Runs {
		w.runs.find(ref).preempted = true
	}
	w.hold(r, until)
}

// CancelPreemption undoes Preempt, before any of the runs has been stopped.
func (w *Worker) CancelPreemption(r *Request, p Preemption) {
	for _, ref := range p.Runs {
		w.runs.find(ref).preempted = false
	}
	w.useHold(r.Ref)
}

// isPreemptible reports whether the run may be stopped for the task: its priority is lower, and it resumes from a checkpoint.
func (run *Run) isPreemptible(r *Request) bool {
	if run.Priority <= r.Priority || !run.Reported || run.preempted || !run.StopAcked.IsZero() {
		return false
	}
	step := &run.Step
	return step.Checkpointing && !step.Gang && !step.LongRunning && !step.BestEffort
}

// preemptibleSize returns the capacity that all preemptible runs occupy.
func (w *Worker) preemptibleSize(r *Request) resource.Vector {
	var size resource.Vector
	for _, run := range w.runs {
		if run.isPreemptible(r) {
			size = size.Add(ReservedSize(&run.Step))
		}
	}
	return size
}

// preemptible appends the runs that may be stopped for the task. The lowest priority comes first, then jobs that are behind others,
// then the largest run.
func (w *Worker) preemptible(r *Request, runs []*Run) []*Run {
	for _, run := range w.runs {
		if run.isPreemptible(r) {
			runs = append(runs, run)
		}
	}
	slices.SortFunc(runs, func(a, b *Run) int {
		return cmp.Or(
			cmp.Compare(b.Priority, a.Priority), compareBehind(a, b), cmp.Compare(b.Step.Size.MilliCores, a.Step.Size.MilliCores),
			cmp.Compare(a.Task.Job, b.Task.Job), cmp.Compare(a.Task.Index, b.Task.Index))
	})
	return runs
}
