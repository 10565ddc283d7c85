package scheduler

import (
	"context"
	"fmt"
	"runtime/debug"

	"skylarkstall/internal/domain/ident"
)

// goTask runs a task of the term in a goroutine. A panic ends the term instead of the process: the panicking task may have
// left the state half changed, and the next term reads it from the store again.
func (s *Scheduler) goTask(task func()) {
	s.wg.Go(func() {
		defer func() {
			if r := recover(); r != nil {
				s.endTermAfterPanic(r)
			}
		}()
		task()
	})
}

// guardCall is deferred by the methods that other processes and callers reach. It ends the term after a panic, which then
// ends the connection of the caller.
func (s *Scheduler) guardCall() {
	if r := recover(); r != nil {
		s.endTermAfterPanic(r)
		panic(r)
	}
}

// loadGuarded is like load, and ends the term after a panic. Otherwise a record at which load panics would end every process that
// takes over, one after the other.
func (s *Scheduler) loadGuarded(ctx context.Context) (asOf ident.Revision, ok, panicked bool) {
	defer func() {
		if r := recover(); r != nil {
			s.endTermAfterPanic(r)
			ok, panicked = false, true
		}
	}()
	asOf, ok = s.load(ctx)
	return asOf, ok, false
}

func (s *Scheduler) endTermAfterPanic(value any) {
	s.log.Error("panic in a task of the leader", "panic", fmt.Sprint(value), "stack", string(debug.Stack()))
	s.endTerm("a task of the leader panicked", nil)
}
