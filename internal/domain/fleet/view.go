package fleet

import (
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/resource"
	"skylarkstall/internal/domain/work"
)

// Row is the view of one owned worker.
type Row struct {
	Worker   ident.WorkerID
	Zone     ident.Zone
	Rack     ident.Rack
	Capacity resource.Vector
	Free     resource.Vector
}

// held is a task that is assigned to a worker: assumed until the worker has reserved its size, running afterwards.
type held struct {
	spec    work.Spec
	row     *row
	team    *team
	since   time.Time
	assumed bool
	asked   time.Time // when it was last asked to give way; zero if never
	action  Action    // the last one
}

// row is a worker with what is held on it.
type row struct {
	Row
	assumed resource.Vector
	units   int64 // how many requests fit
	tasks   map[ident.TaskID]*held
}

// index finds a worker with room.
type index interface {
	add(r *row)
	remove(r *row)
	// changed is called after the free capacity of a row has changed.
	changed(r *row)
	// choose returns the row to place the task on, or nil.
	choose(spec work.Spec, admits func(*row) bool) *row
}

// scan is the index of the baseline: all workers in the order in which they came.
type scan struct {
	rows []*row
}

func (s *scan) add(r *row) { s.rows = append(s.rows, r) }

func (s *scan) changed(*row) {}

func (s *scan) remove(r *row) {
	for i, other := range s.rows {
		if other == r {
			s.rows = append(s.rows[:i], s.rows[i+1:]...)
			return
		}
	}
}

func (s *scan) choose(spec work.Spec, admits func(*row) bool) *row {
	for _, r := range s.rows {
		if admits(r) {
			return r
		}
	}
	return nil
}
