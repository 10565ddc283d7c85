// Package fleet decides where work of this process goes: it keeps a view of the workers that the process owns and the
// queue of waiting tasks. A decision is made on the view and checked by the worker's own aggregate where it applies.
package fleet

import (
	"sync"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/resource"
	"skylarkstall/internal/domain/work"
	"skylarkstall/internal/fault"
)

// Row is the view of one owned worker.
type Row struct {
	Worker   ident.WorkerID
	Zone     ident.Zone
	Rack     ident.Rack
	Capacity resource.Vector
	Free     resource.Vector
}

// Assignment pairs a task with the worker chosen for it.
type Assignment struct {
	Spec   work.Spec
	Worker ident.WorkerID
}

// Digest is what other processes learn of a fleet.
type Digest struct {
	Free       resource.Vector
	Capacity   resource.Vector
	LargestFit resource.Vector // largest free amount of each resource on one worker
	Queued     [work.ClassCount]int
	Oldest     [work.ClassCount]time.Duration // wait of the oldest queued task
	Shapes     []Shape                        // of the owned workers; only in heartbeats
}

// Fleet is the aggregate of the workers owned by a process and the tasks that wait for them.
type Fleet struct {
	mu     sync.Mutex
	policy Policy
	rows   map[ident.WorkerID]*Row
	order  []*Row
	queue  *queue
}

// New returns a fleet without workers.
func New(policy Policy) *Fleet {
	return &Fleet{policy: policy, rows: map[ident.WorkerID]*Row{}, queue: newQueue()}
}

// Offer assigns the task to a worker, or queues it and returns false. It fails with Overloaded when the queue is full,
// Conflict when the task waits already, and DeadlineExceeded when its deadline has passed.
func (f *Fleet) Offer(now time.Time, spec work.Spec) (Assignment, bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !spec.Deadline.IsZero() && !now.Before(spec.Deadline) {
		return Assignment{}, false, fault.New(fault.DeadlineExceeded, "the deadline of %s has passed", spec.ID)
	}
	if f.queue.mayStart(spec) {
		if row := f.policy.Choose(f.order, spec); row != nil {
			return f.assume(row, spec), true, nil
		}
	}
	return Assignment{}, false, f.queue.push(now, spec)
}

// assume takes the size from the view before the worker's aggregate confirms it.
func (f *Fleet) assume(row *Row, spec work.Spec) Assignment {
	row.Free = row.Free.Sub(spec.Size)
	return Assignment{Spec: spec, Worker: row.Worker}
}

// Update replaces the view of a worker and returns the waiting tasks that now have room on it.
func (f *Fleet) Update(row Row) []Assignment {
	f.mu.Lock()
	defer f.mu.Unlock()
	known, ok := f.rows[row.Worker]
	if !ok {
		known = &Row{}
		f.rows[row.Worker] = known
		f.order = append(f.order, known)
	}
	*known = row
	return f.fill(known)
}

// Freed returns capacity of a worker to the view and returns the waiting tasks that now have room on it.
func (f *Fleet) Freed(worker ident.WorkerID, size resource.Vector) []Assignment {
	f.mu.Lock()
	defer f.mu.Unlock()
	row, ok := f.rows[worker]
	if !ok {
		return nil
	}
	row.Free = row.Free.Add(size)
	return f.fill(row)
}

func (f *Fleet) fill(row *Row) []Assignment {
	var assignments []Assignment
	for {
		spec, ok := f.queue.pop(func(s work.Spec) bool { return f.policy.Admits(row, s) })
		if !ok {
			return assignments
		}
		assignments = append(assignments, f.assume(row, spec))
	}
}

// Remove forgets a worker that this process no longer owns.
func (f *Fleet) Remove(worker ident.WorkerID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	row, ok := f.rows[worker]
	if !ok {
		return
	}
	delete(f.rows, worker)
	for i, r := range f.order {
		if r == row {
			f.order = append(f.order[:i], f.order[i+1:]...)
			return
		}
	}
}

// Cancel removes a waiting task. It returns false if the task does not wait.
func (f *Fleet) Cancel(task ident.TaskID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.queue.remove(task)
}

// Digest returns the summary for other processes.
func (f *Fleet) Digest(now time.Time) Digest {
	f.mu.Lock()
	defer f.mu.Unlock()
	var d Digest
	for _, row := range f.order {
		d.Free = d.Free.Add(row.Free)
		d.Capacity = d.Capacity.Add(row.Capacity)
		d.LargestFit = d.LargestFit.Max(row.Free)
	}
	d.Queued, d.Oldest = f.queue.load(now)
	return d
}

// Rows returns a copy of the view.
func (f *Fleet) Rows() []Row {
	f.mu.Lock()
	defer f.mu.Unlock()
	rows := make([]Row, len(f.order))
	for i, r := range f.order {
		rows[i] = *r
	}
	return rows
}
