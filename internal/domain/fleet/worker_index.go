package fleet

import (
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/resource"
	"skylarkstall/internal/domain/work"
)

// WorkerView is the scheduler's view of the capacity of one owned worker.
type WorkerView struct {
	Worker   ident.WorkerID
	Zone     ident.Zone
	Rack     ident.Rack
	Capacity resource.Vector
	Free     resource.Vector
}

// assignedTask is a task assigned to a worker. It is assumed until the worker's aggregate has reserved its size, and
// confirmed afterwards.
type assignedTask struct {
	spec        work.Spec
	worker      *workerRecord
	team        *team
	since       time.Time
	sequence    uint64 // position in the order of all assignments of the fleet
	assumed     bool
	preemptedAt time.Time // time of the last preemption action; zero if there was none
	action      Action    // the last preemption action
}

// workerRecord is a worker with the tasks assigned to it.
type workerRecord struct {
	WorkerView
	treapNode
	assumed         resource.Vector
	requestCapacity int64 // number of requests that fit into the free capacity
	tasks           map[ident.TaskID]*assignedTask
}

// workerIndex finds a worker on which a task fits.
type workerIndex interface {
	add(r *workerRecord)
	remove(r *workerRecord)
	// update must be called after the free capacity of a worker has changed.
	update(r *workerRecord)
	// choose returns the worker to place the task on, or nil.
	choose(spec work.Spec, admits func(*workerRecord) bool) *workerRecord
	// largestFree returns, for each resource, the largest free amount on any one worker.
	largestFree() resource.Vector
}

// linearIndex is the index of the baseline policies: a linear scan over all workers in the order in which they were
// added.
type linearIndex struct {
	workers []*workerRecord
	bestFit bool // choose the worker with the least free capacity instead of the first that fits
}

func (x *linearIndex) add(r *workerRecord) { x.workers = append(x.workers, r) }

func (x *linearIndex) update(*workerRecord) {}

func (x *linearIndex) remove(r *workerRecord) {
	for i, other := range x.workers {
		if other == r {
			x.workers = append(x.workers[:i], x.workers[i+1:]...)
			return
		}
	}
}

func (x *linearIndex) choose(_ work.Spec, admits func(*workerRecord) bool) *workerRecord {
	var best *workerRecord
	for _, r := range x.workers {
		if !admits(r) {
			continue
		}
		if !x.bestFit {
			return r
		}
		if best == nil || totalFreeShare(r) < totalFreeShare(best) {
			best = r
		}
	}
	return best
}

func (x *linearIndex) largestFree() resource.Vector {
	var largest resource.Vector
	for _, r := range x.workers {
		largest = largest.Max(r.Free)
	}
	return largest
}
