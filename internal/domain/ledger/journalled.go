package ledger

import (
	"time"

	"skylarkstall/internal/domain/ident"
)

// RestoreIntent notes a request whose intent the journal holds without an outcome. It returns true if nobody follows the
// request yet, so that its attempt must be searched for. A request that was adopted and ended without the journal
// counts as running again, until its outcome is journalled.
func (l *DedupTable) RestoreIntent(id ident.WorkID, digest uint64, forget time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, adopted := l.entries[id]
	if !adopted || e.ended {
		e = &entry{done: make(chan struct{})}
		l.entries[id] = e
	}
	e.digest, e.known, e.forget, e.resume = digest, true, forget, true
	return !adopted
}

// RestoreResult notes the end of a request that the journal holds.
func (l *DedupTable) RestoreResult(id ident.WorkID, digest uint64, result Result, forget time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, ok := l.entries[id]
	if !ok {
		e = &entry{done: make(chan struct{})}
		l.entries[id] = e
	}
	e.digest, e.known = digest, true
	if e.ended {
		return
	}
	e.ended, e.result, e.forget = true, result, forget
	close(e.done)
}

// PendingIntent reports whether the outcome of the request must be journalled before it ends, and until when it is kept.
func (l *DedupTable) PendingIntent(id ident.WorkID) (time.Time, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, ok := l.entries[id]
	if !ok || !e.resume || e.ended {
		return time.Time{}, false
	}
	return e.forget, true
}

// CompleteAdopted ends an adopted request as End does, unless the journal holds an intent for it; it returns false then.
func (l *DedupTable) CompleteAdopted(id ident.WorkID, result Result, forget time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e, ok := l.entries[id]; ok && e.resume && !e.ended {
		return false
	}
	l.end(id, result, forget)
	return true
}

// FailPending ends every running request with the error: another process is the home from now on.
func (l *DedupTable) FailPending(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, e := range l.entries {
		if !e.ended {
			l.end(id, Result{Err: err}, time.Time{})
		}
	}
}

// InProgress reports whether the request is known and has not ended.
func (l *DedupTable) InProgress(id ident.WorkID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, ok := l.entries[id]
	return ok && !e.ended
}
