package objective

import "time"

// historySize bounds the weight of earlier tasks in the typical duration, so that it follows what a queue runs now.
const historySize = 200

// History learns how long the tasks of a queue take. The zero value has seen none.
type History struct {
	mean  float64 // seconds
	tasks int
}

// Observe adds a task that is done.
func (h *History) Observe(duration time.Duration) {
	h.tasks = min(h.tasks+1, historySize)
	h.mean += (duration.Seconds() - h.mean) / float64(h.tasks)
}

// minHistory is the number of tasks from which on their durations say more than what callers state.
const minHistory = 20

// Typical returns the mean duration of the tasks, and 0 as long as too few were seen.
func (h *History) Typical() time.Duration {
	if h.tasks < minHistory {
		return 0
	}
	return time.Duration(h.mean * float64(time.Second))
}
