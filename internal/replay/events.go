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

func (a *eventQueue) Len() int { return len(a.events) }

func (a *eventQueue) Less(i, j int) bool {
	x, y := &a.events[i], &a.events[j]
	return x.at < y.at || x.at == y.at && x.seq < y.seq
}

func (a *eventQueue) Swap(i, j int) { a.events[i], a.events[j] = a.events[j], a.events[i] }

// Push implements heap.Interface.
func (a *eventQueue) Push(x any) { a.events = append(a.events, x.(event)) }

// Pop implements heap.Interface.
func (a *eventQueue) Pop() any {
	last := len(a.events) - 1
	e := a.events[last]
	a.events = a.events[:last]
	return e
}

func (a *eventQueue) add(e event) {
	a.seq++
	e.seq = a.seq
	heap.Push(a, e)
}

func (a *eventQueue) next() event { return heap.Pop(a).(event) }
