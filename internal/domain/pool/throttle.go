package pool

import (
	"time"

	"skylarkstall/internal/domain/workflow"
)

const (
	fullSpeed    = 100 // percent; of a run that is not throttled
	unknownSpeed = -1  // after a failed throttle request, and of runs that this term did not start
)

// Parameters of throttling.
const (
	throttleAfter = 400 * time.Millisecond // time over a latency target after which best-effort runs are paused
	speedStep     = 25                     // percentage points by which a throttled run is sped up again at each step
	recoveryRatio = 0.7                    // share of the latency target up to which throttled runs are sped up again
)

// UpdateRun applies the worker's report of a run: its progress in percent and, for a run with a latency target, the
// tail latency in milliseconds. For other runs tailMillis is a different measurement and is ignored.
func (w *Worker) UpdateRun(ref workflow.RunRef, progress int, tailMillis int64, now time.Time) {
	run := w.runs.find(ref)
	if run == nil {
		return
	}
	if !run.Reported {
		run.Reported, run.firstReported, run.lastProgress = true, now, now
	}
	if silence := now.Sub(run.lastReport); !run.lastReport.IsZero() && silence > maxReportInterval {
		run.lastProgress = run.lastProgress.Add(silence)
	}
	run.lastReport, run.Doubtful = now, false
	if run.Started.IsZero() {
		run.Started = now // the response to its start was lost, or an earlier leader started it
	}
	if progress != run.progress {
		run.progress, run.lastProgress = progress, now
	}
	if !hasLatencyTarget(&run.Step) {
		return
	}
	latency := time.Duration(tailMillis) * time.Millisecond
	run.tailLatency = latency
	if latency <= run.Step.LatencyTarget {
		run.overTargetSince = time.Time{}
	} else if run.overTargetSince.IsZero() {
		run.overTargetSince = now
	}
}

// Throttle limits a run to a percentage of its full speed.
type Throttle struct {
	workflow.RunRef
	Percent int
}

// Throttles returns the changes of speed that protect runs with a latency target from best-effort runs on the same
// worker. The worker counts the changes as applied.
func (w *Worker) Throttles(now time.Time) []Throttle {
	if w.bestEffortRuns == 0 {
		return nil
	}
	overTarget, nearTarget := false, false
	for _, run := range w.runs {
		if !hasLatencyTarget(&run.Step) {
			continue
		}
		overTarget = overTarget || !run.overTargetSince.IsZero() && now.Sub(run.overTargetSince) >= throttleAfter
		nearTarget = nearTarget || float64(run.tailLatency) > recoveryRatio*float64(run.Step.LatencyTarget)
	}
	var throttles []Throttle
	for _, run := range w.runs {
		if !run.Step.BestEffort || !run.Reported {
			continue
		}
		percent := run.SpeedPercent
		switch {
		case overTarget:
			percent = 0
		case !nearTarget && run.SpeedPercent == unknownSpeed:
			percent = fullSpeed
		case !nearTarget && run.SpeedPercent < fullSpeed:
			percent = min(run.SpeedPercent+speedStep, fullSpeed)
		}
		if percent != run.SpeedPercent {
			run.SpeedPercent = percent
			throttles = append(throttles, Throttle{run.RunRef, percent})
		}
	}
	return throttles
}

// ResetThrottle marks the speed of a run as unknown after a throttle request that may not have taken effect, so that
// another request follows.
func (w *Worker) ResetThrottle(ref workflow.RunRef) {
	if run := w.runs.find(ref); run != nil {
		run.SpeedPercent = unknownSpeed
	}
}
