package fleet

import (
	"container/list"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/work"
)

// MaxQueued is the maximum number of tasks in the queue of one process. At 2 KB a task it bounds the queue to 32 MB.
const MaxQueued = 16_384

// queuedTask is a task in the queue with its positions in the data structures of fairQueue.
type queuedTask struct {
	spec        work.Spec
	team        *team
	since       time.Time
	latestStart time.Time // zero for no limit

	group        *group
	groupElement *list.Element
	classElement *list.Element
	expiryIndex  int
}

// admission is the result of checking whether a queued task may start.
type admission uint8

const (
	noCapacity  admission = iota // it may not start, nor may any other task of the same class and size
	fits                         // it may start
	kindBlocked                  // it may not start, but a task of another kind with the same class and size may
)

// taskQueue holds the tasks that wait for a worker and decides their order.
type taskQueue interface {
	push(w *queuedTask)
	remove(task ident.TaskID) bool
	has(task ident.TaskID) bool
	len() int
	// mayOvertake reports whether a new task may start before the queued ones.
	mayOvertake(spec work.Spec) bool
	// pop removes and returns the next task that may start, or nil.
	pop(evaluate func(*queuedTask) admission) *queuedTask
	// expired removes and returns a task whose latest start has passed, or nil.
	expired(now time.Time) *queuedTask
	// reorder is called after the share of a team has changed.
	reorder(t *team)
	// oldestWait returns how long the oldest queued task of the same team, kind and size has waited.
	oldestWait(now time.Time, spec work.Spec) time.Duration
	// load returns the number of queued tasks and the wait of the oldest one, by class.
	load(now time.Time) (counts [work.ClassCount]int, oldest [work.ClassCount]time.Duration)
}

// arrivalQueue is first in, first out over all classes. Tasks that do not fit are skipped.
type arrivalQueue struct {
	order  *list.List
	ids    map[ident.TaskID]*list.Element
	counts [work.ClassCount]int
}

func newArrivalQueue() *arrivalQueue {
	return &arrivalQueue{order: list.New(), ids: map[ident.TaskID]*list.Element{}}
}

func (q *arrivalQueue) push(w *queuedTask) {
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
	q.counts[e.Value.(*queuedTask).spec.Class]--
	delete(q.ids, task)
	return true
}

func (q *arrivalQueue) pop(evaluate func(*queuedTask) admission) *queuedTask {
	for e := q.order.Front(); e != nil; e = e.Next() {
		if w := e.Value.(*queuedTask); evaluate(w) == fits {
			q.remove(w.spec.ID)
			return w
		}
	}
	return nil
}

func (q *arrivalQueue) expired(time.Time) *queuedTask { return nil }

func (q *arrivalQueue) reorder(*team) {}

func (q *arrivalQueue) oldestWait(time.Time, work.Spec) time.Duration { return 0 }

func (q *arrivalQueue) load(now time.Time) (counts [work.ClassCount]int, oldest [work.ClassCount]time.Duration) {
	remaining := 0
	for _, n := range q.counts {
		if n > 0 {
			remaining++
		}
	}
	for e := q.order.Front(); remaining > 0; e = e.Next() {
		w := e.Value.(*queuedTask)
		if oldest[w.spec.Class] == 0 {
			oldest[w.spec.Class] = max(now.Sub(w.since), 1)
			remaining--
		}
	}
	return q.counts, oldest
}
