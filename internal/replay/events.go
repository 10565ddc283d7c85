package replay

import (
	"container/heap"
	"time"
)

type eventKind uint8

const (
	arrive  eventKind = iota // work reaches its home
	finish                   // a task ends on its worker
	move                     // a task that gave way has ended
	publish                  // an owner tells its digest to the others
	cancel                   // the caller cancels
	expire                   // the deadline of a request passes
	renew                    // an owner has reports of its workers
	sample                   // the state of the cell is measured
)

// event happens to a piece of work or to an owner.
type event struct {
	at    time.Duration
	seq   uint64 // decides between events of the same time
	kind  eventKind
	job   *job
	task  *task
	start int // of the task, for a finish: a later start makes it void
	owner int
}

type agenda struct {
	events []event
	seq    uint64
}

func (a *agenda) Len() int { return len(a.events) }

func (a *agenda) Less(i, j int) bool {
	x, y := &a.events[i], &a.events[j]
	return x.at < y.at || x.at == y.at && x.seq < y.seq
}

func (a *agenda) Swap(i, j int) { a.events[i], a.events[j] = a.events[j], a.events[i] }

// Push implements heap.Interface.
func (a *agenda) Push(x any) { a.events = append(a.events, x.(event)) }

// Pop implements heap.Interface.
func (a *agenda) Pop() any {
	last := len(a.events) - 1
	e := a.events[last]
	a.events = a.events[:last]
	return e
}

func (a *agenda) add(e event) {
	a.seq++
	e.seq = a.seq
	heap.Push(a, e)
}

func (a *agenda) next() event { return heap.Pop(a).(event) }
