package scheduler

import (
	"fmt"
	"runtime/debug"
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

func (s *Scheduler) endTermAfterPanic(value any) {
	s.log.Error("panic in a task of the leader", "panic", fmt.Sprint(value), "stack", string(debug.Stack()))
	s.endTerm("a task of the leader panicked", nil)
}
