package pool

import (
	"time"

	"skylarkstall/internal/domain/workflow"
)

const (
	fullSpeed    = 100 // percent of a run that is not paced
	unknownSpeed = -1  // after an order without an answer, and of runs that an earlier leader ordered
)

// Bounds of pacing.
const (
	paceAfter   = 400 * time.Millisecond // how long response times are over a target before runs that fill are paced
	paceStep    = 25                     // percent by which runs that fill are sped up again
	recoverPart = 0.7                    // share of the target below which they are
)

// UpdateRun notes what the worker says of a run: how far it is in percent, and, of one that serves, the tail of its response
// times in milliseconds.
func (w *Worker) UpdateRun(ref workflow.RunRef, progress int, reading int64, now time.Time) {
	run := w.runs[ref]
	if run == nil {
		return
	}
	if !run.Reported {
		run.Reported, run.first, run.advanced = true, now, now
	}
	if run.Started.IsZero() {
		run.Started = now // the answer to its start was lost, or an earlier leader ordered it
	}
	if progress != run.progress {
		run.progress, run.advanced = progress, now
	}
	if !serves(&run.Step) {
		return
	}
	tail := time.Duration(reading) * time.Millisecond
	run.reading = tail
	if tail <= run.Step.LatencyTarget {
		run.over = time.Time{}
	} else if run.over.IsZero() {
		run.over = now
	}
}

// Throttle is an order to let a run work at a share of its speed.
type Throttle struct {
	workflow.RunRef
	Percent int
}

// Throttles returns the orders that keep the runs that fill from disturbing those that serve. They count as sent.
func (w *Worker) Throttles(now time.Time) []Throttle {
	if w.fillers == 0 {
		return nil
	}
	over, near := false, false
	for _, run := range w.runs {
		if !serves(&run.Step) {
			continue
		}
		over = over || !run.over.IsZero() && now.Sub(run.over) >= paceAfter
		near = near || float64(run.reading) > recoverPart*float64(run.Step.LatencyTarget)
	}
	var paces []Throttle
	for _, run := range w.runs {
		if !run.Step.BestEffort || !run.Reported {
			continue
		}
		percent := run.SpeedPercent
		switch {
		case over:
			percent = 0
		case !near && run.SpeedPercent == unknownSpeed:
			percent = fullSpeed
		case !near && run.SpeedPercent < fullSpeed:
			percent = min(run.SpeedPercent+paceStep, fullSpeed)
		}
		if percent != run.SpeedPercent {
			run.SpeedPercent = percent
			paces = append(paces, Throttle{run.RunRef, percent})
		}
	}
	return paces
}

// ResetThrottle takes back an order that may not have been carried out, so that another one follows.
func (w *Worker) ResetThrottle(ref workflow.RunRef) {
	if run := w.runs[ref]; run != nil {
		run.SpeedPercent = unknownSpeed
	}
}
