package pool

import "time"

// waitingRetry is how long a step that could not be placed is left alone, but for workers on which capacity has been released. Trying
// it again is needed nevertheless, because workers also become eligible with time.
const waitingRetry = 250 * time.Millisecond

// urgentRetry is the same for the highest priority.
const urgentRetry = 100 * time.Millisecond

// Waiting tracks a step with tasks that could not be placed. At peak load hundreds of steps wait; comparing all of them with all
// workers after every change would take more time than all other work of the leader. The zero value is a step that does not wait.
type Waiting struct {
	since time.Time // zero if no task waits
	tried time.Time // on all workers; zero if the step should be tried at once
}

// For returns for how long the step has had tasks that could not be placed.
func (w *Waiting) For(now time.Time) time.Duration {
	if w.since.IsZero() {
		return 0
	}
	return now.Sub(w.since)
}

// Changed reports whether the step has to be tried on all workers at once: it is new, or Retry was called.
func (w *Waiting) Changed() bool { return w.tried.IsZero() }

// Due reports whether to try the step on all workers that may run it: at once if it has changed, after waitingRetry or urgentRetry, and
// as soon as it may preempt runs.
func (w *Waiting) Due(now time.Time, priority int) bool {
	return w.Changed() || !now.Before(w.NextTry(priority))
}

// NextTry returns when a step that has not changed is due.
func (w *Waiting) NextTry(priority int) time.Time {
	next := w.tried.Add(waitingRetry)
	if priority == 0 {
		next = w.tried.Add(urgentRetry)
	}
	if mayPreempt := w.since.Add(PreemptDelay(priority)); w.tried.Before(mayPreempt) && mayPreempt.Before(next) {
		return mayPreempt
	}
	return next
}

// Overdue reports whether the step has been left out for longer than a retry should take.
func (w *Waiting) Overdue(now time.Time) bool {
	return !w.Changed() && now.Sub(w.tried) >= 2*waitingRetry
}

// TriedBefore reports whether the last try on all workers was earlier than that of the other step.
func (w *Waiting) TriedBefore(other *Waiting) bool { return w.tried.Before(other.tried) }

// Tried records a try on all workers that left unplaced tasks, or none.
func (w *Waiting) Tried(now time.Time, unplaced int) {
	if unplaced == 0 {
		*w = Waiting{}
		return
	}
	if w.since.IsZero() {
		w.since = now
	}
	w.tried = now
}

// Placed records that all waiting tasks were placed on workers on which capacity had been released.
func (w *Waiting) Placed() { *w = Waiting{} }

// Retry makes the step due, after a change other than a release: a task is to start again, or more workers are allowed.
func (w *Waiting) Retry() { w.tried = time.Time{} }
