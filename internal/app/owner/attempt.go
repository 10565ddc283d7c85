package owner

import (
	"sync"

	"skylarkstall/internal/domain/fleet"
	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/work"
	"skylarkstall/internal/fault"
)

// attempt is one attempt of a task held by this process: it is queued, runs on a worker, or has ended there.
type attempt struct {
	id         work.AttemptID
	kind       string
	repeatable bool                  // known to be repeatable: a lost outcome can be reproduced
	assigned   chan fleet.Assignment // receives at most one assignment from the queue at a time
	started    chan struct{}         // closed when the worker has confirmed the start
	done       chan struct{}         // closed when the attempt has ended

	mu        sync.Mutex
	worker    ident.WorkerID // empty while the task is queued
	adopted   bool           // was running when this process claimed the worker; no call waits for it
	running   bool
	canceled  bool
	preempted bool // being stopped in favor of other tasks
	ended     bool
	outcome   work.Outcome
	err       error
}

func newAttempt(id work.AttemptID, kind string) *attempt {
	return &attempt{
		id: id, kind: kind, assigned: make(chan fleet.Assignment, 1), started: make(chan struct{}),
		done: make(chan struct{}),
	}
}

// adoptedAttempt returns an attempt that was started before this process claimed the worker.
func adoptedAttempt(id work.AttemptID, kind string, worker ident.WorkerID) *attempt {
	a := newAttempt(id, kind)
	a.worker, a.adopted = worker, true
	a.confirm()
	return a
}

// end records the outcome of the attempt, or the error with which it ended. It returns false if the attempt had already
// ended.
func (a *attempt) end(outcome work.Outcome, err error) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.endLocked(outcome, err)
}

// endOn ends the attempt if it is assigned to the worker. It returns false otherwise, or if it had already ended.
func (a *attempt) endOn(worker ident.WorkerID, err error) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.worker == worker && a.endLocked(work.Outcome{}, err)
}

func (a *attempt) endLocked(outcome work.Outcome, err error) bool {
	if a.ended {
		return false
	}
	a.ended, a.outcome, a.err = true, outcome, err
	close(a.done)
	return true
}

func (a *attempt) result() (work.Outcome, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.outcome, a.err
}

// assign records the worker on which the attempt is about to be started. It fails if the attempt has ended or was
// canceled meanwhile: its home may have started another attempt, so this one must not be started any more.
func (a *attempt) assign(worker ident.WorkerID) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.ended:
		return fault.New(fault.Interrupted, "attempt %d of %s has ended", a.id.Attempt, a.id.Task)
	case a.canceled:
		return fault.New(fault.Canceled, "%s was canceled before it started", a.id.Task)
	}
	a.worker = worker
	return nil
}

// unassign records that the worker has definitely refused the attempt.
func (a *attempt) unassign() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.ended {
		a.worker = ""
	}
}

// confirm records that the worker has started the attempt.
func (a *attempt) confirm() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.running {
		a.running = true
		close(a.started)
	}
}

// cancel prevents a queued attempt from being assigned, and returns the worker of an assigned one.
func (a *attempt) cancel() ident.WorkerID {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.canceled = true
	return a.worker
}

func (a *attempt) isAdopted() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.adopted
}

func (a *attempt) isEnded() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ended
}
