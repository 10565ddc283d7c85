package fleet

import (
	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/work"
)

// Take assigns the task to a worker that has room now, and queues nothing. It returns false when none has room.
func (f *Fleet) Take(spec work.Spec) (Assignment, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	row := f.policy.Choose(f.order, spec)
	if row == nil {
		return Assignment{}, false
	}
	return f.assume(row, spec), true
}

// CancelAll removes waiting tasks in one pass over the queue, and returns those that waited.
func (f *Fleet) CancelAll(tasks []ident.TaskID) []ident.TaskID {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.queue.removeAll(tasks)
}

func (q *queue) removeAll(tasks []ident.TaskID) []ident.TaskID {
	var removed []ident.TaskID
	var touched [work.ClassCount]bool
	for _, task := range tasks {
		if class, ok := q.ids[task]; ok {
			delete(q.ids, task)
			touched[class] = true
			removed = append(removed, task)
		}
	}
	for class, list := range q.classes {
		if !touched[class] {
			continue
		}
		kept := make([]waiting, 0, len(list))
		for _, w := range list {
			if _, ok := q.ids[w.spec.ID]; ok {
				kept = append(kept, w)
			}
		}
		q.classes[class] = kept
	}
	return removed
}
