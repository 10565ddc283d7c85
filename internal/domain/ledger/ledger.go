// Package ledger keeps the request ids of one partition, so that a request that arrives twice runs once.
package ledger

import (
	"sync"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/work"
	"skylarkstall/internal/fault"
)

// Decision tells what to do with an arriving request.
type Decision uint8

// Decisions.
const (
	Run   Decision = iota // first arrival: run it
	Join                  // it runs: wait for its outcome
	Reply                 // it has ended: reply with the kept result
)

// Result is the end of a request: an outcome, or the error that it ended with.
type Result struct {
	Outcome work.Outcome
	Err     error
}

// DedupTable is the aggregate of the request ids of one partition.
type DedupTable struct {
	mu      sync.Mutex
	entries map[ident.WorkID]*entry
}

type entry struct {
	digest uint64 // of the request's content; the first one told for an adopted request
	known  bool   // the digest is known
	ended  bool
	result Result
	forget time.Time // when an ended entry may be dropped
	done   chan struct{}
	resume bool // the journal holds an intent without an outcome
}

// New returns an empty ledger.
func New() *DedupTable {
	return &DedupTable{entries: map[ident.WorkID]*entry{}}
}

// Admit decides on an arriving request. The channel of a Join is closed at its end. It fails with Conflict when the
// same id was used with other content.
func (l *DedupTable) Admit(now time.Time, id ident.WorkID, digest uint64) (Decision, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, ok := l.entries[id]
	if ok && e.ended && now.After(e.forget) {
		ok = false
	}
	switch {
	case !ok:
		e = &entry{digest: digest, known: true, done: make(chan struct{})}
		l.entries[id] = e
		return Run, e.done, nil
	case !e.known:
		e.digest, e.known = digest, true
		return e.decision(), e.done, nil
	case e.digest != digest:
		return Reply, nil, fault.New(fault.Conflict, "request id %s was used with different content", id)
	default:
		return e.decision(), e.done, nil
	}
}

func (e *entry) decision() Decision {
	if e.ended {
		return Reply
	}
	return Join
}

// Adopt notes a request that runs although this ledger did not admit it. It returns false if the id is known.
func (l *DedupTable) Adopt(id ident.WorkID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.entries[id]; ok {
		return false
	}
	l.entries[id] = &entry{done: make(chan struct{})}
	return true
}

// Complete keeps the result of a request until the given time and releases those that joined it. Work that did not run is
// forgotten at once, because the same request may be tried again.
func (l *DedupTable) Complete(id ident.WorkID, result Result, forget time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.end(id, result, forget)
}

func (l *DedupTable) end(id ident.WorkID, result Result, forget time.Time) {
	e, ok := l.entries[id]
	if !ok || e.ended {
		return
	}
	e.ended, e.result, e.forget = true, result, forget
	close(e.done)
	if result.Err != nil && fault.KindOf(result.Err).Response().Ran == fault.RanNo {
		e.forget = time.Time{}
	}
}

// Result returns the kept result of an ended request.
func (l *DedupTable) Result(id ident.WorkID) (Result, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, ok := l.entries[id]
	if !ok || !e.ended {
		return Result{}, false
	}
	return e.result, true
}

// RemoveExpired drops ended entries whose time has passed and returns how many.
func (l *DedupTable) RemoveExpired(now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	dropped := 0
	for id, e := range l.entries {
		if e.ended && now.After(e.forget) {
			delete(l.entries, id)
			dropped++
		}
	}
	return dropped
}

// Len returns the number of request ids kept.
func (l *DedupTable) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.entries)
}
