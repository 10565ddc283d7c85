package pool

import (
	"time"

	"skylarkstall/internal/domain/workflow"
)

// Backoff of starts on a worker on which runs fail. The backoff doubles with each further failure.
const (
	backoffThreshold = 2 // consecutive failures, of distinct jobs
	minBackoff       = 500 * time.Millisecond
	maxBackoff       = 8 * time.Second
)

// RecordSuccess records a run that completed its task.
func (w *Worker) RecordSuccess() {
	w.consecutiveFailures, w.lastFailedJob, w.backoffUntil = 0, "", time.Time{}
}

// RecordFailure records a failed or stalled run. Consecutive failures of the same job count once, because the job
// itself may be the cause.
func (w *Worker) RecordFailure(job workflow.ID, now time.Time) {
	if job == w.lastFailedJob {
		return
	}
	w.lastFailedJob = job
	w.consecutiveFailures++
	if excess := w.consecutiveFailures - backoffThreshold; excess >= 0 {
		w.backoffUntil = now.Add(min(minBackoff<<min(excess, 8), maxBackoff))
	}
}

// InBackoff reports whether the worker gets no starts at present because runs have failed on it.
func (w *Worker) InBackoff(now time.Time) bool { return now.Before(w.backoffUntil) }
