package worker

import (
	"time"

	"skylarkstall/internal/domain/work"
)

const (
	// keepRepeatable is how long the outcome of repeatable work stays unacknowledged when its home does not say that
	// it has it. If the owner dies in that time, the next owner finds the outcome in the inventory. The home notices
	// the death within 3 s; the rest is room for its retries.
	keepRepeatable = 10 * time.Second
	// keepOnce is the same for work that is not repeatable, whose outcome could not be had again. It is longer than a
	// home keeps a request: at most 10 min of deadline and 15 min after it.
	keepOnce = 30 * time.Minute
)

// unsettled is an outcome that the owner has and the worker must still keep.
type unsettled struct {
	id      work.AttemptID
	due     time.Time // when the worker may forget it at the latest
	settled bool      // the home has it
}

// OutcomeReceived notes an outcome that the owner received.
func (w *Worker) OutcomeReceived(now time.Time, id work.AttemptID, repeatable bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	keep := keepOnce
	if repeatable {
		keep = keepRepeatable
	}
	w.unsettled = append(w.unsettled, unsettled{id: id, due: now.Add(keep)})
}

// OutcomeSettled notes that the home has the outcome. It returns false if the outcome is not waited for here.
func (w *Worker) OutcomeSettled(id work.AttemptID) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range w.unsettled {
		if w.unsettled[i].id == id {
			w.unsettled[i].settled = true
			return true
		}
	}
	return false
}

// Acknowledgeable returns the outcomes that the worker may forget.
func (w *Worker) Acknowledgeable(now time.Time) []work.AttemptID {
	w.mu.Lock()
	defer w.mu.Unlock()
	var due []work.AttemptID
	for _, u := range w.unsettled {
		if u.settled || now.After(u.due) {
			due = append(due, u.id)
		}
	}
	return due
}

// OutcomesAcknowledged notes that the worker has forgotten the outcomes.
func (w *Worker) OutcomesAcknowledged(ids []work.AttemptID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	done := make(map[work.AttemptID]bool, len(ids))
	for _, id := range ids {
		done[id] = true
	}
	kept := w.unsettled[:0]
	for _, u := range w.unsettled {
		if !done[u.id] {
			kept = append(kept, u)
		}
	}
	w.unsettled = kept
}
