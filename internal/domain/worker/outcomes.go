package worker

import (
	"time"

	"skylarkstall/internal/domain/work"
)

const (
	// repeatableRetention is how long the outcome of a repeatable task stays unacknowledged while its home has not
	// confirmed it. If the owner fails in that time, the next owner finds the outcome in the inventory. The home
	// detects the failure within 3 s; the rest is for its retries.
	repeatableRetention = 10 * time.Second
	// nonRepeatableRetention is the same for tasks that are not repeatable, whose outcome cannot be reproduced. It
	// exceeds the time for which a home keeps a request: at most 10 min of deadline and 15 min after it.
	nonRepeatableRetention = 30 * time.Minute
)

// retainedOutcome is an outcome that the owner has received and the worker must still keep.
type retainedOutcome struct {
	id          work.AttemptID
	retainUntil time.Time // then the worker may drop it even if it was not delivered
	delivered   bool      // the home has received it
}

// OutcomeReceived records an outcome that the owner received.
func (w *Worker) OutcomeReceived(now time.Time, id work.AttemptID, repeatable bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	retention := nonRepeatableRetention
	if repeatable {
		retention = repeatableRetention
	}
	w.retained = append(w.retained, retainedOutcome{id: id, retainUntil: now.Add(retention)})
}

// OutcomeDelivered records that the home has received the outcome. It returns false if the outcome is not retained here.
func (w *Worker) OutcomeDelivered(id work.AttemptID) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range w.retained {
		if w.retained[i].id == id {
			w.retained[i].delivered = true
			return true
		}
	}
	return false
}

// Acknowledgeable returns the outcomes that the worker may drop.
func (w *Worker) Acknowledgeable(now time.Time) []work.AttemptID {
	w.mu.Lock()
	defer w.mu.Unlock()
	var due []work.AttemptID
	for _, u := range w.retained {
		if u.delivered || now.After(u.retainUntil) {
			due = append(due, u.id)
		}
	}
	return due
}

// OutcomesAcknowledged records that the worker has dropped the outcomes.
func (w *Worker) OutcomesAcknowledged(ids []work.AttemptID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	done := make(map[work.AttemptID]bool, len(ids))
	for _, id := range ids {
		done[id] = true
	}
	kept := w.retained[:0]
	for _, u := range w.retained {
		if !done[u.id] {
			kept = append(kept, u)
		}
	}
	w.retained = kept
}
