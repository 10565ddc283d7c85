// Package worker holds the owner's view of one worker: its control lease, its capacity and what is reserved on it.
package worker

import (
	"sync"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/resource"
	"skylarkstall/internal/domain/work"
	"skylarkstall/internal/fault"
)

// Worker is the aggregate of one worker as its owner sees it. It never reserves more than the capacity, and reserves
// nothing while its control lease may have lapsed.
type Worker struct {
	mu         sync.Mutex
	id         ident.WorkerID
	lease      time.Duration
	epoch      ident.Epoch // epoch of the lease held; 0 when none
	seen       ident.Epoch // highest epoch heard of
	validUntil time.Time
	capacity   resource.Vector
	reserved   resource.Vector
	tasks      map[ident.TaskID]reservation
	leaving    bool // by the VM list or by the worker's own word
	zone       ident.Zone
	rack       ident.Rack
}

type reservation struct {
	attempt ident.Attempt
	size    resource.Vector
}

// Snapshot is a copy of a worker's state for placement and reports.
type Snapshot struct {
	ID       ident.WorkerID
	Zone     ident.Zone
	Rack     ident.Rack
	Epoch    ident.Epoch
	Capacity resource.Vector
	Free     resource.Vector
	Tasks    int
	Held     bool // the control lease is held and has not lapsed
	Usable   bool // held, and the worker is not leaving
}

// New returns the view of a worker that is not claimed yet. lease is the control lease to ask for.
func New(id ident.WorkerID, lease time.Duration) *Worker {
	return &Worker{id: id, lease: lease, tasks: map[ident.TaskID]reservation{}}
}

// Claim returns the claim to send, with an epoch above every one heard of.
func (w *Worker) Claim(process ident.ProcessID, supersede bool, taskLease time.Duration) work.Claim {
	w.mu.Lock()
	defer w.mu.Unlock()
	return work.Claim{
		Process: process, Epoch: w.seen + 1, Supersede: supersede,
		Lease: w.lease, TaskLease: taskLease,
	}
}

// Refused notes the highest epoch that the worker told when it refused a claim.
func (w *Worker) Refused(epoch ident.Epoch) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seen = max(w.seen, epoch)
}

// Granted takes over the inventory of a granted claim. sent is when the claim was sent: the lease counts from there.
func (w *Worker) Granted(sent time.Time, inv work.Inventory) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.epoch, w.seen = inv.Epoch, max(w.seen, inv.Epoch)
	w.validUntil = sent.Add(w.lease)
	w.capacity, w.zone, w.rack = inv.Capacity, inv.Zone, inv.Rack
	w.leaving = inv.Draining
	w.reserved = resource.Vector{}
	w.tasks = make(map[ident.TaskID]reservation, len(inv.Running))
	for _, r := range inv.Running {
		w.tasks[r.Task] = reservation{r.Attempt, r.Size}
		w.reserved = w.reserved.Add(r.Size)
	}
}

// Renewed extends the lease from the time that the renewal was sent.
func (w *Worker) Renewed(sent time.Time, draining bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if until := sent.Add(w.lease); until.After(w.validUntil) {
		w.validUntil = until
	}
	w.leaving = w.leaving || draining
}

// Lost ends the lease: the worker refused the epoch or another process owns it. It returns the tasks that this process
// must no longer speak for.
func (w *Worker) Lost() []ident.TaskID {
	w.mu.Lock()
	defer w.mu.Unlock()
	tasks := make([]ident.TaskID, 0, len(w.tasks))
	for id := range w.tasks {
		tasks = append(tasks, id)
	}
	w.epoch, w.validUntil = 0, time.Time{}
	w.reserved, w.tasks = resource.Vector{}, map[ident.TaskID]reservation{}
	return tasks
}

// Leave stops reservations because the worker is leaving.
func (w *Worker) Leave() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaving = true
}

// Reserve takes capacity for an attempt and returns the epoch that its start must carry. It fails with StaleEpoch,
// Draining, Conflict or NoCapacity, and then reserves nothing.
func (w *Worker) Reserve(now time.Time, task ident.TaskID, attempt ident.Attempt, size resource.Vector) (ident.Epoch, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.epoch == 0 || !now.Before(w.validUntil) {
		return 0, fault.New(fault.StaleEpoch, "no control lease on worker %s", w.id)
	}
	if w.leaving {
		return 0, fault.New(fault.Draining, "worker %s is leaving", w.id)
	}
	if _, ok := w.tasks[task]; ok {
		return 0, fault.New(fault.Conflict, "%s is reserved on worker %s", task, w.id)
	}
	if free := w.capacity.Sub(w.reserved); !size.Fits(free) {
		return 0, fault.New(fault.NoCapacity, "%s needs %s; worker %s has %s free", task, size, w.id, free)
	}
	w.tasks[task] = reservation{attempt, size}
	w.reserved = w.reserved.Add(size)
	return w.epoch, nil
}

// Reserved returns the epoch that the start of an attempt must carry for which capacity was reserved before. It fails with
// StaleEpoch, also when the reservation was lost with a former control lease, or with Draining.
func (w *Worker) Reserved(now time.Time, task ident.TaskID, attempt ident.Attempt) (ident.Epoch, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r, ok := w.tasks[task]
	switch {
	case w.epoch == 0 || !now.Before(w.validUntil):
		return 0, fault.New(fault.StaleEpoch, "no control lease on worker %s", w.id)
	case !ok || r.attempt != attempt:
		return 0, fault.New(fault.StaleEpoch, "the room for %s on worker %s was lost", task, w.id)
	case w.leaving:
		return 0, fault.New(fault.Draining, "worker %s is leaving", w.id)
	}
	return w.epoch, nil
}

// Release returns the capacity of an attempt. It returns false if the attempt holds none.
func (w *Worker) Release(task ident.TaskID, attempt ident.Attempt) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	r, ok := w.tasks[task]
	if !ok || r.attempt != attempt {
		return false
	}
	delete(w.tasks, task)
	w.reserved = w.reserved.Sub(r.size)
	return true
}

// Snapshot returns a copy of the state. Free is zero unless the worker is usable.
func (w *Worker) Snapshot(now time.Time) Snapshot {
	w.mu.Lock()
	defer w.mu.Unlock()
	held := w.epoch != 0 && now.Before(w.validUntil)
	s := Snapshot{
		ID: w.id, Zone: w.zone, Rack: w.rack, Epoch: w.epoch, Capacity: w.capacity, Tasks: len(w.tasks),
		Held: held, Usable: held && !w.leaving,
	}
	if s.Usable {
		s.Free = w.capacity.Sub(w.reserved)
	}
	return s
}
