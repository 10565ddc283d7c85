package fleet

import (
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/resource"
	"skylarkstall/internal/domain/work"
)

// WorkerView is the view of one owned worker.
type WorkerView struct {
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
	number  uint64 // grows with each assignment of the fleet
	assumed bool
	asked   time.Time // when it was last asked to give way; zero if never
	action  Action    // the last one
}

// row is a worker with what is held on it.
type row struct {
	WorkerView
	node
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
	// largest returns the largest free amount of each resource on one row.
	largest() resource.Vector
}

// scan is the index of the baselines: all workers in the order in which they came.
type scan struct {
	rows  []*row
	tight bool // look at each for the one with the least room
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

func (s *scan) choose(_ work.Spec, admits func(*row) bool) *row {
	var best *row
	for _, r := range s.rows {
		if !admits(r) {
			continue
		}
		if !s.tight {
			return r
		}
		if best == nil || roomKey(r) < roomKey(best) {
			best = r
		}
	}
	return best
}

func (s *scan) largest() resource.Vector {
	var largest resource.Vector
	for _, r := range s.rows {
		largest = largest.Max(r.Free)
	}
	return largest
}
