package pool

import "time"

// Learning how fast workers are. Estimates that come with a job are rough, so the tasks of one step are compared with each
// other.
const (
	speedGain = 0.3 // weight of the newest run
	leastRate = 0.2 // bounds of what one run tells: a few tasks take many times as long as the others of their step
	mostRate  = 3.0
	// fullSample is how many runs count for the work of a step; later ones replace earlier ones.
	fullSample = 16
)

// DurationEstimate is how long the tasks of a step take, as learned from its runs.
type DurationEstimate struct {
	mean float64 // seconds
	runs int
}

// Observe notes a run that did all of its work on the worker, and what that tells of the worker's speed.
func (s *DurationEstimate) Observe(w *Worker, took time.Duration) {
	if took <= 0 {
		return
	}
	if s.runs > 0 {
		rate := min(max(s.mean/took.Seconds(), leastRate), mostRate)
		w.speed += speedGain * (rate - w.speed)
	}
	s.runs = min(s.runs+1, fullSample)
	seconds := took.Seconds()
	if s.runs > 1 {
		seconds = min(seconds, s.mean/leastRate)
	}
	s.mean += (seconds - s.mean) / float64(s.runs)
}

// Speed returns how fast the worker is against others; 1 is ordinary.
func (w *Worker) Speed() float64 { return w.speed }

// slowness is the share by which a task takes longer on the worker than on an ordinary one; negative on a fast one.
func slowness(w *Worker, _ *Request) float64 { return 1/max(w.speed, leastRate) - 1 }
