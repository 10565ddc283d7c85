package pool

import "time"

// A run stands still when its progress has not changed for the longest of these: progress is told in whole percents, so a
// long run takes its time for one.
const (
	stallAfter    = 1500 * time.Millisecond
	stallEstimate = 10 // part of the estimate
	stallPercents = 4  // percents at the speed so far
	// stallGang is for members of a gang, which wait up to three seconds for one another before they begin.
	stallGang = 5 * time.Second
)

// Stalled returns the runs that stand still. Runs that last or fill may have to.
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
	patience := max(stallAfter, r.Step.Estimate/stallEstimate)
	if r.Step.Gang {
		patience = max(patience, stallGang)
	}
	if r.progress > 0 {
		patience = max(patience, stallPercents*r.advanced.Sub(r.first)/time.Duration(r.progress))
	}
	return now.Sub(r.advanced) >= patience
}
