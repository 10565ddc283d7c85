package replay

import (
	"container/heap"
	"time"
)

type eventKind uint8

const (
	arrival           eventKind = iota // an arrival reaches its home process
	taskFinish                         // a task finishes on its worker
	preemptionDone                     // a preempted task has stopped
	digestPublication                  // an owner publishes its digest
	cancellation                       // the caller cancels a job
	deadline                           // a request reaches its deadline
	workerReport                       // an owner receives reports from its workers
	measurement                        // the state of the cell is sampled
)

// event is a simulated event that concerns a job, a task or an owner.
type event struct {
	at          time.Duration
	seq         uint64 // orders events of the same time
	kind        eventKind
	job         *job
	task        *task
	startNumber int // number of the task's start that it refers to; the event is ignored after a later start
	owner       int
}

type eventQueue struct {
	events []event
	seq    uint64
}

func (q *eventQueue) Len() int { return len(q.events) }

func (q *eventQueue) Less(i, j int) bool {
	x, y := &q.events[i], &q.events[j]
	return x.at < y.at || x.at == y.at && x.seq < y.seq
}

func (q *eventQueue) Swap(i, j int) { q.events[i], q.events[j] = q.events[j], q.events[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { q.events = append(q.events, x.(event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	last := len(q.events) - 1
	e := q.events[last]
	q.events = q.events[:last]
	return e
}

func (q *eventQueue) add(e event) {
	q.seq++
	e.seq = q.seq
	heap.Push(q, e)
}

func (q *eventQueue) next() event { return heap.Pop(q).(event) }
