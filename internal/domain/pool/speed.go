package pool

import (
	"slices"
	"strings"
	"time"
)

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
		w.speed = w.Speed() + speedGain*(rate-w.Speed())
		w.speedShown = true
		if w.kind != nil {
			w.kind.observe(rate)
		}
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

// Speed returns the speed of the worker relative to others; 1 is ordinary. Before a run on it shows its own speed, it is that of its kind.
func (w *Worker) Speed() float64 {
	if !w.speedShown && w.kind != nil {
		return w.kind.speed()
	}
	return w.speed
}

// slowBelow is the speed below which a worker is slow: tasks take a quarter longer on it than on others, which is beyond what tasks of one
// step differ by.
const slowBelow = 0.8

// IsSlow reports whether tasks take clearly longer on the worker than on others.
func (w *Worker) IsSlow() bool { return w.Speed() < slowBelow }

// KindSpeed learns how fast the workers of one kind are. The zero value has seen none.
type KindSpeed struct {
	mean float64 // of the rates of runs
	runs int
}

const (
	// minKindRuns is the number of runs from which on a kind's speed is known.
	minKindRuns = 10
	// maxKindRuns bounds the weight of earlier runs, so that the speed follows recent ones.
	maxKindRuns = 200
)

func (k *KindSpeed) observe(rate float64) {
	k.runs = min(k.runs+1, maxKindRuns)
	k.mean += (rate - k.mean) / float64(k.runs)
}

func (k *KindSpeed) speed() float64 {
	if k.runs < minKindRuns {
		return 1
	}
	return k.mean
}

// Kind returns the labels that the worker has in common with others of its kind: all but that of its rack.
func (info *WorkerInfo) Kind() string {
	var kind []string
	for _, label := range info.Labels {
		if label != info.Rack {
			kind = append(kind, label)
		}
	}
	slices.Sort(kind)
	return strings.Join(kind, " ")
}

// SetKind lets the worker share what is learned of the speed of its kind.
func (w *Worker) SetKind(kind *KindSpeed) { w.kind = kind }

// slowdown returns the fraction by which a task takes longer on the worker than on an ordinary one; it is negative for
// a fast worker.
func slowdown(w *Worker, _ *Request) float64 { return 1/max(w.Speed(), minRate) - 1 }
