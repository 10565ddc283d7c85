package pool

import "time"

// waitingRetry is how long a step that could not be placed is left alone while no capacity has been released on the workers
// that may run it. Trying it again is needed nevertheless, because workers also become eligible with time.
const waitingRetry = 250 * time.Millisecond

// Waiting tracks a step with tasks that could not be placed. At peak load hundreds of steps wait; trying all of them after
// every change would take more time than all other work of the leader. The zero value is a step that does not wait.
type Waiting struct {
	since    time.Time // zero if no task waits
	tried    time.Time // zero if the step should be tried at once
	released uint64    // releases on the allowed workers at the last try
}

// For returns for how long the step has had tasks that could not be placed.
func (w *Waiting) For(now time.Time) time.Duration {
	if w.since.IsZero() {
		return 0
	}
	return now.Sub(w.since)
}

// Due reports whether trying the step again may succeed. released is the number of releases so far on the workers that
// may run it.
func (w *Waiting) Due(now time.Time, released uint64) bool {
	return w.tried.IsZero() || released != w.released || now.Sub(w.tried) >= waitingRetry
}

// Tried records a try that left unplaced tasks, or none.
func (w *Waiting) Tried(now time.Time, released uint64, unplaced int) {
	switch {
	case unplaced == 0:
		*w = Waiting{}
		return
	case w.since.IsZero():
		w.since = now
	}
	w.tried, w.released = now, released
}

// Retry makes the step due, after a change other than a release: a task is to start again, or more workers are allowed.
func (w *Waiting) Retry() { w.tried = time.Time{} }
