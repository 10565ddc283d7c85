package pool

import (
	"slices"
	"time"

	"skylarkstall/internal/domain/workflow"
)

// probationPeriod is how long a worker must have run a task before the task counts as harmless to it. A task that crashes
// the worker does so at its start.
const probationPeriod = time.Second

// OnProbation reports whether the run could be the cause if its worker has just crashed.
func (r *Run) OnProbation() bool {
	return r.Started.IsZero() || r.lastReport.Sub(r.Started) < probationPeriod
}

// lastStartWindow is how close together the last starts on a crashed worker are for each to count as the last one.
const lastStartWindow = 50 * time.Millisecond

// CrashSuspects returns those of the runs of a crashed worker that may have caused the crash. Only runs on probation count.
// If workers have crashed under the tasks of some of them before, these are the ones with the most crashes, and those that
// were started last; otherwise all.
func CrashSuspects(runs []*Run) []*Run {
	var suspects []*Run
	most, last := 0, time.Time{}
	for _, run := range runs {
		if !run.OnProbation() {
			continue
		}
		suspects, most = append(suspects, run), max(most, run.crashes)
		if run.Started.After(last) {
			last = run.Started
		}
	}
	return slices.DeleteFunc(suspects, func(run *Run) bool {
		return run.crashes < most && !run.Started.IsZero() && last.Sub(run.Started) > lastStartWindow
	})
}

// Suspect marks a run as one of a task under which workers have crashed.
func (w *Worker) Suspect(ref workflow.RunRef, crashes int) {
	run := w.runs.find(ref)
	if run == nil || crashes == 0 {
		return
	}
	if run.crashes == 0 {
		w.suspects++
	}
	run.crashes = crashes
}

// Acquit returns the runs of suspected tasks that have outlived their probation. They are no longer suspected.
func (w *Worker) Acquit() []workflow.RunRef {
	if w.suspects == 0 {
		return nil
	}
	var acquitted []workflow.RunRef
	for _, run := range w.runs {
		if run.crashes > 0 && !run.OnProbation() {
			acquitted = append(acquitted, run.RunRef)
			run.crashes = 0
			w.suspects--
		}
	}
	return acquitted
}

// blursSuspicion is 1 if, after a start of the task on the worker, a crash could not be put down to one task: one of the
// tasks that are on probation is suspected, and there is another.
func blursSuspicion(w *Worker, r *Request) float64 {
	if r.Crashes == 0 && w.suspects == 0 {
		return 0
	}
	for _, run := range w.runs {
		if run.OnProbation() && (r.Crashes > 0 || run.crashes > 0) {
			return 1
		}
	}
	return 0
}
