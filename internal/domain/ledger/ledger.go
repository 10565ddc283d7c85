// Package ledger deduplicates the requests of one partition by their ids, so that a request that arrives more than
// once runs only once.
package ledger

import (
	"sync"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/work"
	"skylarkstall/internal/fault"
)

// Decision is what to do with an incoming request.
type Decision uint8

// Decisions returned by Admit.
const (
	Run   Decision = iota // the request is new: run it
	Join                  // the request is in progress: wait for its result
	Reply                 // the request has completed: reply with the stored result
)

// Result is the result of a completed request: an outcome or an error.
type Result struct {
	Outcome work.Outcome
	Err     error
}

// DedupTable stores the requests of one partition by their ids. It is safe for concurrent use.
type DedupTable struct {
	mu      sync.Mutex
	entries map[ident.WorkID]*entry
}

type entry struct {
	digest    uint64 // digest of the request's content; for an adopted request, the one of the first call that arrives
	hasDigest bool   // digest is set; false for an adopted request until a call arrives
	completed bool
	result    Result
	expires   time.Time // when a completed entry may be removed
	done      chan struct{}
	hasIntent bool // the journal has an intent and no outcome
}

// New returns an empty DedupTable.
func New() *DedupTable {
	return &DedupTable{entries: map[ident.WorkID]*entry{}}
}

// Admit decides what to do with an incoming request. The channel that it returns is closed when the request completes.
// It fails with Conflict if the same id was used with different content.
func (l *DedupTable) Admit(now time.Time, id ident.WorkID, digest uint64) (Decision, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, ok := l.entries[id]
	if ok && e.completed && now.After(e.expires) {
		ok = false
	}
	switch {
	case !ok:
		e = &entry{digest: digest, hasDigest: true, done: make(chan struct{})}
		l.entries[id] = e
		return Run, e.done, nil
	case !e.hasDigest:
		e.digest, e.hasDigest = digest, true
		return e.decision(), e.done, nil
	case e.digest != digest:
		return Reply, nil, fault.New(fault.Conflict, "request id %s was used with different content", id)
	default:
		return e.decision(), e.done, nil
	}
}

func (e *entry) decision() Decision {
	if e.completed {
		return Reply
	}
	return Join
}

// Adopt records a request that is in progress although it was not admitted here: a previous home started it. It returns
// false if the id is already known.
func (l *DedupTable) Adopt(id ident.WorkID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.entries[id]; ok {
		return false
	}
	l.entries[id] = &entry{done: make(chan struct{})}
	return true
}

// Complete stores the result of a request until expires and wakes the callers that wait for it. If the work did not
// run, the entry expires at once, because the same request may be retried.
func (l *DedupTable) Complete(id ident.WorkID, result Result, expires time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.complete(id, result, expires)
}

func (l *DedupTable) complete(id ident.WorkID, result Result, expires time.Time) {
	e, ok := l.entries[id]
	if !ok || e.completed {
		return
	}
	e.completed, e.result, e.expires = true, result, expires
	close(e.done)
	if result.Err != nil && fault.KindOf(result.Err).Response().Execution == fault.NotExecuted {
		e.expires = time.Time{}
	}
}

// Result returns the stored result of a completed request.
func (l *DedupTable) Result(id ident.WorkID) (Result, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, ok := l.entries[id]
	if !ok || !e.completed {
		return Result{}, false
	}
	return e.result, true
}

// RemoveExpired removes completed entries that have expired, and returns how many.
func (l *DedupTable) RemoveExpired(now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	removed := 0
	for id, e := range l.entries {
		if e.completed && now.After(e.expires) {
			delete(l.entries, id)
			removed++
		}
	}
	return removed
}

// Len returns the number of stored requests.
func (l *DedupTable) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.entries)
}
