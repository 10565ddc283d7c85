package pool

import "time"

// A run is stalled when its progress has not changed for the longest of these timeouts. Progress is reported in whole
// percent, so one percent of a long run may take long.
const (
	stallTimeout         = 1500 * time.Millisecond
	stallEstimateDivisor = 10 // the timeout is the estimated duration of the run divided by this
	stallPercents        = 4  // the timeout is the mean time for this many percent so far
	// gangStallTimeout applies to the members of a gang, which wait up to three seconds for one another before they
	// begin.
	gangStallTimeout = 5 * time.Second
	// maxReportInterval is the longest time between two reports of a worker that responds. A longer silence says nothing
	// about the progress of its runs and does not count.
	maxReportInterval = 1200 * time.Millisecond
)

// Stalled returns the stalled runs. Long-running and best-effort runs are never stalled: they may legitimately make no
// progress.
func (w *Worker) Stalled(now time.Time) []*Run {
	var stalled []*Run
	for _, run := range w.runs {
		if run.isStalled(now) {
			stalled = append(stalled, run)
		}
	}
	return stalled
}

func (r *Run) isStalled(now time.Time) bool {
	if !r.Reported || r.Step.LongRunning || r.Step.BestEffort || r.SpeedPercent == 0 {
		return false
	}
	timeout := max(stallTimeout, r.Step.Estimate/stallEstimateDivisor)
	if r.Step.Gang {
		timeout = max(timeout, gangStallTimeout)
	}
	if r.progress > 0 {
		timeout = max(timeout, stallPercents*r.lastProgress.Sub(r.firstReported)/time.Duration(r.progress))
	}
	return now.Sub(r.lastProgress) >= timeout
}
