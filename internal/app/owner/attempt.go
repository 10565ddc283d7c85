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
	keep     bool                  // the outcome is kept until the home settles it; never changes

	mu      sync.Mutex
	worker  ident.WorkerID // empty while the task waits
	adopted bool           // taken over with a worker; no placement waits for it
	ended   bool
	settled bool // the home has the outcome for good

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

// end notes the outcome, or the error that the attempt ended with. Only the first end counts; it returns false for others.
func (a *attempt) end(outcome work.Outcome, err error) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ended {
		return false
	}
	a.ended, a.outcome, a.err = true, outcome, err
	close(a.done)
	return true
}

// settle notes that the home has the outcome. It returns false if there is no outcome to settle.
func (a *attempt) settle() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.keep || !a.ended || a.settled {
		return false
	}
	a.settled = true
	return true
}

// unsettled reports whether the worker must keep the outcome for the home.
func (a *attempt) unsettled() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.keep && !a.settled
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
