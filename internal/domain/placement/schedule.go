package placement

import (
	"container/heap"
	"time"
)

// Schedule holds values that are due at a time. It is not safe for concurrent use.
type Schedule[V any] struct {
	items scheduleHeap[V]
}

type scheduled[V any] struct {
	at    time.Time
	value V
}

// Add adds a value.
func (s *Schedule[V]) Add(at time.Time, value V) { heap.Push(&s.items, scheduled[V]{at, value}) }

// TakeDue removes the value that has been due for longest and returns it, and false if none is due.
func (s *Schedule[V]) TakeDue(now time.Time) (V, bool) {
	if len(s.items) == 0 || s.items[0].at.After(now) {
		var none V
		return none, false
	}
	return heap.Pop(&s.items).(scheduled[V]).value, true
}

// scheduleHeap implements heap.Interface.
type scheduleHeap[V any] []scheduled[V]

func (h scheduleHeap[V]) Len() int           { return len(h) }
func (h scheduleHeap[V]) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h scheduleHeap[V]) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *scheduleHeap[V]) Push(x any)        { *h = append(*h, x.(scheduled[V])) }

func (h *scheduleHeap[V]) Pop() any {
	old := *h
	last := len(old) - 1
	item := old[last]
	old[last] = scheduled[V]{}
	*h = old[:last]
	return item
}
