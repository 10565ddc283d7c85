package pool

import (
	"iter"
	"time"
)

// Times after which a task may start on a worker on which runs have failed. Such a worker is the last choice: a task
// that starts there too early uses up its attempts, and one that never starts there may have no other worker.
const (
	lastChoiceDelay = 1500 * time.Millisecond
	// maxAvoidTime bounds how long a task waits for a busy worker because of its own failures on idle ones. The backoff
	// of a worker ends within the same time.
	maxAvoidTime = maxBackoff
)

// hasFailures reports whether runs of the task, or of several jobs in a row, have failed on the worker.
func (w *Worker) hasFailures(r *Request) bool { return w.InBackoff(r.Now) || r.Avoid[w.info.ID] }

func failures(w *Worker, r *Request) float64 {
	if w.hasFailures(r) {
		return 1
	}
	return 0
}

func preferred(w *Worker, r *Request) bool {
	if r.LastChoice {
		return true
	}
	return !w.InBackoff(r.Now) && (!r.Avoid[w.info.ID] || r.Waited >= maxAvoidTime)
}

// couldRun reports whether the worker without its present runs could take the task, and has no failures.
func (w *Worker) couldRun(r *Request) bool {
	return sameService(w, r) && responsive(w, r) && notDraining(w, r) && hasRequiredLabel(w, r) && !w.hasFailures(r) &&
		ReservedSize(r.Step).Fits(w.info.Capacity)
}

// NeedsLastChoice reports whether a task that no worker can take should use workers on which runs have failed: after
// lastChoiceDelay, unless it waits for one of the given workers that could take it once it has less to do. A pool with
// idle capacity is not worth waiting for. A long-running task does not wait at all, as its attempts are not bounded.
func (r *Request) NeedsLastChoice(workers iter.Seq[*Worker], idle func() bool) bool {
	if !r.WaitedLong() || r.Step.LongRunning {
		return r.WaitedLong()
	}
	for w := range workers {
		if w.couldRun(r) {
			return idle()
		}
	}
	return true
}

// WaitedLong reports whether the step has had tasks that no worker could take for lastChoiceDelay.
func (r *Request) WaitedLong() bool { return r.Waited >= lastChoiceDelay }

// idleShare is the share of a service's processors in use below which the service counts as idle.
const idleShare = 0.5

// Idle reports whether the responsive workers of the service have at least half of their processors unused.
func Idle(service string, workers iter.Seq[*Worker], now time.Time) bool {
	r := Request{Service: service, Now: now}
	var used, capacity int64
	for w := range workers {
		if sameService(w, &r) && responsive(w, &r) && notDraining(w, &r) {
			used, capacity = used+w.used.MilliCores, capacity+w.info.Capacity.MilliCores
		}
	}
	return float64(used) < idleShare*float64(capacity)
}
