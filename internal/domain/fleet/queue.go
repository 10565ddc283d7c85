package fleet

import (
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/work"
	"skylarkstall/internal/fault"
)

// MaxQueued is the number of tasks that may wait in one process. At 2 KB a task it bounds the queue to 32 MB.
const MaxQueued = 16_384

// queue holds waiting tasks by class, oldest first.
type queue struct {
	classes [work.ClassCount][]waiting
	ids     map[ident.TaskID]work.Class
}

type waiting struct {
	spec  work.Spec
	since time.Time
}

func newQueue() *queue {
	return &queue{ids: map[ident.TaskID]work.Class{}}
}

// mayStart reports whether no task of the same class waits before the task.
func (q *queue) mayStart(spec work.Spec) bool {
	return len(q.classes[spec.Class]) == 0
}

func (q *queue) push(now time.Time, spec work.Spec) error {
	if _, ok := q.ids[spec.ID]; ok {
		return fault.New(fault.Conflict, "%s waits already", spec.ID)
	}
	if len(q.ids) >= MaxQueued {
		return fault.New(fault.Overloaded, "%d tasks wait; the limit is %d", len(q.ids), MaxQueued)
	}
	q.ids[spec.ID] = spec.Class
	q.classes[spec.Class] = append(q.classes[spec.Class], waiting{spec, now})
	return nil
}

// pop removes the first task that fits, most urgent class first.
func (q *queue) pop(fits func(work.Spec) bool) (work.Spec, bool) {
	for class := range q.classes {
		for i, w := range q.classes[class] {
			if fits(w.spec) {
				q.removeAt(work.Class(class), i)
				return w.spec, true
			}
		}
	}
	return work.Spec{}, false
}

func (q *queue) removeAt(class work.Class, i int) {
	list := q.classes[class]
	delete(q.ids, list[i].spec.ID)
	q.classes[class] = append(list[:i], list[i+1:]...)
}

func (q *queue) remove(task ident.TaskID) bool {
	class, ok := q.ids[task]
	if !ok {
		return false
	}
	for i, w := range q.classes[class] {
		if w.spec.ID == task {
			q.removeAt(class, i)
			return true
		}
	}
	return false
}

func (q *queue) load(now time.Time) (counts [work.ClassCount]int, oldest [work.ClassCount]time.Duration) {
	for class, list := range q.classes {
		counts[class] = len(list)
		if len(list) > 0 {
			oldest[class] = now.Sub(list[0].since)
		}
	}
	return counts, oldest
}
