package fleet

import (
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/work"
)

// TryAssign assigns the task to a worker on which it fits now, and never queues it. It returns false when there is
// none.
func (f *Fleet) TryAssign(now time.Time, spec work.Spec) (Assignment, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.checkNew(now, spec) != nil {
		return Assignment{}, false
	}
	r := f.chooseWorker(now, spec)
	if r == nil {
		return Assignment{}, false
	}
	return f.assume(now, r, spec), true
}

// CancelAll removes queued tasks and returns those that were queued. Gangs are not considered.
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
