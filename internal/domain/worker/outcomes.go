package worker

import (
	"time"

	"skylarkstall/internal/domain/work"
)

// keepUnsettled is how long an outcome stays unacknowledged when its home does not say that it has it. If the owner dies
// in that time, the next owner finds the outcome in the inventory. The home notices the death within 3 s; the rest is
// room for its retries.
const keepUnsettled = 10 * time.Second

// unsettled is an outcome that the owner has and the worker must still keep.
type unsettled struct {
	id      work.AttemptID
	taken   time.Time
	settled bool // the home has it
}

// Took notes an outcome that the owner received.
func (w *Worker) Took(now time.Time, id work.AttemptID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.unsettled = append(w.unsettled, unsettled{id: id, taken: now})
}

// Settled notes that the home has the outcome. It returns false if the outcome is not waited for here.
func (w *Worker) Settled(id work.AttemptID) bool {
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

// Acknowledge returns the outcomes that the worker may forget.
func (w *Worker) Acknowledge(now time.Time) []work.AttemptID {
	w.mu.Lock()
	defer w.mu.Unlock()
	var due []work.AttemptID
	for _, u := range w.unsettled {
		if u.settled || now.Sub(u.taken) > keepUnsettled {
			due = append(due, u.id)
		}
	}
	return due
}

// Acknowledged notes that the worker has forgotten the outcomes.
func (w *Worker) Acknowledged(ids []work.AttemptID) {
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
