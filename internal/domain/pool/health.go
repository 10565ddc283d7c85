package pool

import (
	"time"

	"skylarkstall/internal/domain/workflow"
)

// A worker on which this many jobs have failed in a row gets no start for a while, which doubles with each further one.
const (
	failuresInRow = 2
	firstPause    = 500 * time.Millisecond
	longestPause  = 8 * time.Second
)

// RecordSuccess notes a run that ended done.
func (w *Worker) RecordSuccess() { w.failures, w.lastFail, w.nextTry = 0, "", time.Time{} }

// RecordFailure notes a run that ended failed. Failures of one job count once: they may be the job's own fault.
func (w *Worker) RecordFailure(job workflow.ID, now time.Time) {
	if job == w.lastFail {
		return
	}
	w.lastFail = job
	w.failures++
	if beyond := w.failures - failuresInRow; beyond >= 0 {
		w.nextTry = now.Add(min(firstPause<<min(beyond, 8), longestPause))
	}
}

// InBackoff reports whether starts on the worker pause because runs fail on it.
func (w *Worker) InBackoff(now time.Time) bool { return now.Before(w.nextTry) }
