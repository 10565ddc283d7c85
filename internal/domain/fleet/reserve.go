package fleet

import (
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/work"
)

// TryAssign assigns the task to a worker that has room now, and queues nothing. It returns false when none has room.
func (f *Fleet) TryAssign(now time.Time, spec work.Spec) (Assignment, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.check(now, spec) != nil {
		return Assignment{}, false
	}
	r := f.choose(now, spec)
	if r == nil {
		return Assignment{}, false
	}
	return f.assume(now, r, spec), true
}

// CancelAll removes waiting tasks, and returns those that waited.
func (f *Fleet) CancelAll(tasks []ident.TaskID) []ident.TaskID {
	f.mu.Lock()
	defer f.mu.Unlock()
	var removed []ident.TaskID
	for _, task := range tasks {
		if f.queue.remove(task) {
			removed = append(removed, task)
		}
	}
	return removed
}
