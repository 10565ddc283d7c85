package fleet

import (
	"container/list"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/work"
)

// MaxQueued is the number of tasks that may wait in one process. At 2 KB a task it bounds the queue to 32 MB.
const MaxQueued = 16_384

// waiting is a task in the queue.
type waiting struct {
	spec   work.Spec
	team   *team
	since  time.Time
	latest time.Time // start; zero for no limit

	group    *group
	inGroup  *list.Element
	inClass  *list.Element
	inExpiry int
}

// verdict is what a fleet says of a waiting task.
type verdict uint8

const (
	noRoom verdict = iota // no task of this class and size may start
	fits
	notYet // another kind of this class and size may start
)

// queue orders waiting tasks.
type queue interface {
	push(w *waiting)
	remove(task ident.TaskID) bool
	has(task ident.TaskID) bool
	len() int
	// mayOvertake reports whether the task may start while others wait.
	mayOvertake(spec work.Spec) bool
	// pop removes the next task that fits.
	pop(judge func(*waiting) verdict) *waiting
	// expired removes a task whose latest start has passed.
	expired(now time.Time) *waiting
	// reorder is called after the share of a team has changed.
	reorder(t *team)
	// waits returns how long the oldest waiting task of the same team, kind and size has waited.
	waits(now time.Time, spec work.Spec) time.Duration
	load(now time.Time) (counts [work.ClassCount]int, oldest [work.ClassCount]time.Duration)
}

// arrivalQueue is first in first out over all classes. A task that does not fit is passed over.
type arrivalQueue struct {
	order  *list.List
	ids    map[ident.TaskID]*list.Element
	counts [work.ClassCount]int
}

func newArrivalQueue() *arrivalQueue {
	return &arrivalQueue{order: list.New(), ids: map[ident.TaskID]*list.Element{}}
}

func (q *arrivalQueue) push(w *waiting) {
	q.ids[w.spec.ID] = q.order.PushBack(w)
	q.counts[w.spec.Class]++
}

func (q *arrivalQueue) has(task ident.TaskID) bool {
	_, ok := q.ids[task]
	return ok
}

func (q *arrivalQueue) len() int { return len(q.ids) }

func (q *arrivalQueue) mayOvertake(work.Spec) bool { return len(q.ids) == 0 }

func (q *arrivalQueue) remove(task ident.TaskID) bool {
	e, ok := q.ids[task]
	if !ok {
		return false
	}
	q.order.Remove(e)
	q.counts[e.Value.(*waiting).spec.Class]--
	delete(q.ids, task)
	return true
}

func (q *arrivalQueue) pop(judge func(*waiting) verdict) *waiting {
	for e := q.order.Front(); e != nil; e = e.Next() {
		if w := e.Value.(*waiting); judge(w) == fits {
			q.remove(w.spec.ID)
			return w
		}
	}
	return nil
}

func (q *arrivalQueue) expired(time.Time) *waiting { return nil }

func (q *arrivalQueue) reorder(*team) {}

func (q *arrivalQueue) waits(time.Time, work.Spec) time.Duration { return 0 }

func (q *arrivalQueue) load(now time.Time) (counts [work.ClassCount]int, oldest [work.ClassCount]time.Duration) {
	missing := 0
	for _, n := range q.counts {
		if n > 0 {
			missing++
		}
	}
	for e := q.order.Front(); missing > 0; e = e.Next() {
		w := e.Value.(*waiting)
		if oldest[w.spec.Class] == 0 {
			oldest[w.spec.Class] = max(now.Sub(w.since), 1)
			missing--
		}
	}
	return q.counts, oldest
}
