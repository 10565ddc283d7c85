package pool

import "iter"

// Roster indexes workers by their unused processors, and notes on which of them capacity is released. The workers keep it up to date, so
// that placement need not look at each of them. A worker belongs to the last roster that was made with it.
type Roster struct {
	freeMilliCores []int64
	released       []int
	isReleased     []bool
}

// NewRoster returns a roster of the workers. Its methods identify them by their positions in the list.
func NewRoster(workers []*Worker) *Roster {
	r := &Roster{freeMilliCores: make([]int64, len(workers)), isReleased: make([]bool, len(workers))}
	for i, w := range workers {
		w.roster, w.position = r, i
		w.noteFree()
	}
	return r
}

// WithRoom returns the positions of the workers that have enough unused processors for a task of the given size.
func (r *Roster) WithRoom(milliCores int64) iter.Seq[int] {
	return func(yield func(int) bool) {
		for i, free := range r.freeMilliCores {
			if free >= milliCores && !yield(i) {
				return
			}
		}
	}
}

// TakeReleased returns the positions of the workers on which capacity was released since the last call, each once.
func (r *Roster) TakeReleased() []int {
	taken := r.released
	for _, i := range taken {
		r.isReleased[i] = false
	}
	r.released = nil
	return taken
}

// noteFree updates the worker's unused processors in its roster.
func (w *Worker) noteFree() {
	if w.roster != nil {
		w.roster.freeMilliCores[w.position] = w.Free().MilliCores
	}
}

// noteRelease adds the worker to those on which capacity was released.
func (w *Worker) noteRelease() {
	if r := w.roster; r != nil && !r.isReleased[w.position] {
		r.isReleased[w.position] = true
		r.released = append(r.released, w.position)
	}
}
