package ledger

import (
	"time"

	"skylarkstall/internal/domain/ident"
)

// RestoreIntent records a request whose journal has an intent but no outcome. It returns true if the request was not
// adopted before, so that the caller must search the owners for its attempt. A request that was adopted and completed
// before the journal was read becomes pending again until its outcome is journaled.
func (l *DedupTable) RestoreIntent(id ident.WorkID, digest uint64, expires time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, adopted := l.entries[id]
	if !adopted || e.completed {
		e = &entry{done: make(chan struct{})}
		l.entries[id] = e
	}
	e.digest, e.hasDigest, e.expires, e.hasIntent = digest, true, expires, true
	return !adopted
}

// RestoreResult records the result of a request that was read from the journal.
func (l *DedupTable) RestoreResult(id ident.WorkID, digest uint64, result Result, expires time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, ok := l.entries[id]
	if !ok {
		e = &entry{done: make(chan struct{})}
		l.entries[id] = e
	}
	e.digest, e.hasDigest = digest, true
	if e.completed {
		return
	}
	e.completed, e.result, e.expires = true, result, expires
	close(e.done)
}

// PendingIntent reports whether the journal has an intent for the pending request, so that its outcome must be
// journaled before the request completes, and returns the time at which its records expire.
func (l *DedupTable) PendingIntent(id ident.WorkID) (time.Time, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, ok := l.entries[id]
	if !ok || !e.hasIntent || e.completed {
		return time.Time{}, false
	}
	return e.expires, true
}

// CompleteAdopted completes an adopted request as Complete does, unless the journal has an intent for it. It then
// returns false: the outcome must be journaled first.
func (l *DedupTable) CompleteAdopted(id ident.WorkID, result Result, expires time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e, ok := l.entries[id]; ok && e.hasIntent && !e.completed {
		return false
	}
	l.complete(id, result, expires)
	return true
}

// FailPending completes every pending request with err, because another process has become the home.
func (l *DedupTable) FailPending(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, e := range l.entries {
		if !e.completed {
			l.complete(id, Result{Err: err}, time.Time{})
		}
	}
}

// InProgress reports whether the request is known and has not completed.
func (l *DedupTable) InProgress(id ident.WorkID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, ok := l.entries[id]
	return ok && !e.completed
}
