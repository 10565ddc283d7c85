package pool

import "time"

// Parameters of the speed estimate. The estimates that callers submit are rough, so a run is compared with other runs
// of the same step.
const (
	speedGain = 0.3 // weight of the newest run
	minRate   = 0.2 // bounds of the rate of one run: a few tasks take many times as long as the others of their step
	maxRate   = 3.0
	// maxSamples bounds the weight of earlier runs in the mean duration of a step, so that it follows recent runs.
	maxSamples = 16
)

// DurationEstimate is the mean duration of the tasks of a step, learned from completed runs.
type DurationEstimate struct {
	mean float64 // seconds
	runs int
}

// Observe updates the mean duration, and the speed of the worker, with a run that did all of its work on the worker.
func (e *DurationEstimate) Observe(w *Worker, duration time.Duration) {
	if duration <= 0 {
		return
	}
	if e.runs > 0 {
		rate := min(max(e.mean/duration.Seconds(), minRate), maxRate)
		w.speed += speedGain * (rate - w.speed)
	}
	e.runs = min(e.runs+1, maxSamples)
	seconds := duration.Seconds()
	if e.runs > 1 {
		seconds = min(seconds, e.mean/minRate)
	}
	e.mean += (seconds - e.mean) / float64(e.runs)
}

// Mean returns the mean duration of the tasks, and 0 if none was completed yet.
func (e *DurationEstimate) Mean() time.Duration { return time.Duration(e.mean * float64(time.Second)) }

// Speed returns the speed of the worker relative to others; 1 is ordinary.
func (w *Worker) Speed() float64 { return w.speed }

// slowdown returns the fraction by which a task takes longer on the worker than on an ordinary one; it is negative for
// a fast worker.
func slowdown(w *Worker, _ *Request) float64 { return 1/max(w.speed, minRate) - 1 }
