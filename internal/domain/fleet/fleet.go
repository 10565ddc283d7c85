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
}

// Fleet is the aggregate of the workers owned by a process and the tasks that wait for them.
type Fleet struct {
	mu      sync.Mutex
	policy  Policy
	rows    map[ident.WorkerID]*Row
	order   []*Row
	assumed map[ident.TaskID]Assignment // assigned and not yet reserved on the worker
	queue   *queue
}

// New returns a fleet without workers.
func New(policy Policy) *Fleet {
	return &Fleet{
		policy: policy, rows: map[ident.WorkerID]*Row{}, assumed: map[ident.TaskID]Assignment{}, queue: newQueue(),
	}
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
	assignment := Assignment{Spec: spec, Worker: row.Worker}
	f.assumed[spec.ID] = assignment
	return assignment
}

// Confirm notes that the worker has reserved the size of an assigned task: from now on its reports contain it.
func (f *Fleet) Confirm(task ident.TaskID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.assumed, task)
}

// Forget gives up the assignment of a task that the worker did not reserve, and returns the waiting tasks that now have
// room on that worker.
func (f *Fleet) Forget(task ident.TaskID) []Assignment {
	f.mu.Lock()
	defer f.mu.Unlock()
	assignment, ok := f.assumed[task]
	if !ok {
		return nil
	}
	delete(f.assumed, task)
	row, ok := f.rows[assignment.Worker]
	if !ok {
		return nil
	}
	row.Free = row.Free.Add(assignment.Spec.Size)
	return f.fill(row)
}

// Update replaces the view of a worker by its report, less what is assigned and not yet reserved there. It returns the
// waiting tasks that now have room on it. A report that was taken just after a reservation and before its Confirm counts
// the task twice until the next report: the view then errs towards less room.
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
	for _, assignment := range f.assumed {
		if assignment.Worker == row.Worker {
			known.Free = known.Free.Sub(assignment.Spec.Size)
		}
	}
	return f.fill(known)
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
	for id, assignment := range f.assumed {
		if assignment.Worker == worker {
			delete(f.assumed, id)
		}
	}
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
