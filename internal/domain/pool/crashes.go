package pool

import (
	"slices"
	"time"

	"skylarkstall/internal/domain/workflow"
)

// Parameters of workers that crash again and again.
const (
	// crashMemory is how long a crash counts for what is thought of the workers at its address.
	crashMemory = 20 * time.Second
	// Bounds of the time that a worker must have been up before it gets starts. It doubles with each further crash.
	minSteadyTime = 1500 * time.Millisecond
	maxSteadyTime = 4 * time.Second
)

// CrashHistory holds the latest crashes of the workers at one address: a worker may come back under another id. It tells
// a worker that crashes whatever it runs from one that crashes because of a task. It is not safe for concurrent use.
type CrashHistory struct {
	crashes []crash // the oldest first
}

// crash is a crash and the tasks that may have caused it.
type crash struct {
	at       time.Time
	suspects []workflow.TaskRef
}

// Record adds a crash. Crashes that are too old are forgotten.
func (h *CrashHistory) Record(at time.Time, suspects []workflow.TaskRef) {
	h.crashes = slices.DeleteFunc(h.crashes, func(c crash) bool { return at.Sub(c.at) > crashMemory })
	h.crashes = append(h.crashes, crash{at, suspects})
}

// Acquit records that a task does not crash its workers.
func (h *CrashHistory) Acquit(task workflow.TaskRef) {
	for i := range h.crashes {
		c := &h.crashes[i]
		c.suspects = slices.DeleteFunc(c.suspects, func(t workflow.TaskRef) bool { return t == task })
	}
}

// Unexplained returns the number of crashes that no task has caused.
func (h *CrashHistory) Unexplained(now time.Time) int {
	n := 0
	for _, c := range h.crashes {
		if len(c.suspects) == 0 && now.Sub(c.at) <= crashMemory {
			n++
		}
	}
	return n
}

// steadyTime is how long a worker must have been up before it gets starts. The first crash that no task has caused delays
// nothing, since most workers crash once.
func (h *CrashHistory) steadyTime(now time.Time) time.Duration {
	n := h.Unexplained(now)
	if n < 2 {
		return 0
	}
	return min(minSteadyTime<<(n-2), maxSteadyTime)
}

// Return records that the worker is up since the given time, at an address with this history.
func (w *Worker) Return(at time.Time, history *CrashHistory) { w.upSince, w.crashHistory = at, history }

// steady reports whether the worker has been up for long enough to get starts.
func steady(w *Worker, r *Request) bool {
	return w.crashHistory == nil || r.Now.Sub(w.upSince) >= w.crashHistory.steadyTime(r.Now)
}
