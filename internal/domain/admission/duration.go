package admission

import "time"

// Parameters of learned durations.
const (
	durationGain    = 0.05 // weight of the newest task
	minCorrection   = 0.1  // bounds of one task: a few take many times as long as the others
	maxCorrection   = 10
	unknownDuration = time.Second // of tasks without an estimate, before one has been done
)

// QueueDuration is how long tasks of a queue take, and how that compares with the callers' estimates. The zero value and nil have seen no
// task.
type QueueDuration struct {
	correction float64 // mean of duration / estimate; 0 if not known
	mean       time.Duration
}

// Observe takes in a task that was done.
func (d *QueueDuration) Observe(estimate, took time.Duration) {
	if took <= 0 {
		return
	}
	if d.mean == 0 {
		d.mean = took
	}
	d.mean += time.Duration(durationGain * float64(took-d.mean))
	if estimate <= 0 {
		return
	}
	correction := min(max(float64(took)/float64(estimate), minCorrection), maxCorrection)
	if d.correction == 0 {
		d.correction = correction
	}
	d.correction += durationGain * (correction - d.correction)
}

// Mean returns how long tasks take, or 0 if none was done.
func (d *QueueDuration) Mean() time.Duration {
	if d == nil {
		return 0
	}
	return d.mean
}

// Expect returns how long a task with an estimate takes; 0 states no estimate.
func (d *QueueDuration) Expect(estimate time.Duration) time.Duration {
	switch {
	case estimate > 0 && d != nil && d.correction > 0:
		return time.Duration(d.correction * float64(estimate))
	case estimate > 0:
		return estimate
	case d != nil && d.mean > 0:
		return d.mean
	default:
		return unknownDuration
	}
}
