package owner

import (
	"sync"

	"skylarkstall/internal/domain/fleet"
	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/resource"
	"skylarkstall/internal/domain/work"
)

// attempt is one attempt of a task that this process holds: it waits for a worker, or it runs on one.
type attempt struct {
	task     ident.TaskID
	number   ident.Attempt
	size     resource.Vector
	assigned chan fleet.Assignment // receives at most one assignment of the queue at a time
	done     chan struct{}         // closed at the end

	mu      sync.Mutex
	worker  ident.WorkerID // empty while the task waits
	adopted bool           // taken over with a worker; no placement waits for it
	started bool           // the worker confirmed the start
	halted  bool           // a cancellation arrived
	ended   bool

	yielding bool // asked to give way to other work
	outcome  work.Outcome
	err      error
}

func newAttempt(task ident.TaskID, number ident.Attempt, size resource.Vector) *attempt {
	return &attempt{
		task: task, number: number, size: size,
		assigned: make(chan fleet.Assignment, 1), done: make(chan struct{}),
	}
}

// end notes the outcome, or the error that the attempt ended with. Only the first end counts.
func (a *attempt) end(outcome work.Outcome, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ended {
		return
	}
	a.ended, a.outcome, a.err = true, outcome, err
	close(a.done)
}

func (a *attempt) result() (work.Outcome, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.outcome, a.err
}

func (a *attempt) assign(worker ident.WorkerID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.worker = worker
}

func (a *attempt) on() ident.WorkerID {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.worker
}

// halt notes a cancellation. It returns the worker to stop the attempt on, or false when the goroutine that places the
// attempt sees the cancellation before the attempt counts as started.
func (a *attempt) halt() (ident.WorkerID, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.halted = true
	return a.worker, a.started && !a.ended
}

func (a *attempt) isHalted() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.halted
}

// start notes that the worker confirmed the start, and reports whether a cancellation arrived before.
func (a *attempt) start() (halted bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.started = true
	return a.halted
}

func (a *attempt) isEnded() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ended
}
