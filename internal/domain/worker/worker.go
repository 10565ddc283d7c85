// Package worker holds the owner's view of one worker: its control lease, its capacity and the tasks that reserve it.
package worker

import (
	"sync"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/resource"
	"skylarkstall/internal/domain/work"
	"skylarkstall/internal/fault"
)

// Worker is the aggregate of one worker as seen by its owner. It never reserves more than the capacity, and reserves
// nothing while its control lease may have expired.
type Worker struct {
	mu            sync.Mutex
	id            ident.WorkerID
	lease         time.Duration
	epoch         ident.Epoch // epoch of the control lease; 0 when it is not held
	highestEpoch  ident.Epoch // highest epoch known, also of other owners
	validUntil    time.Time
	capacity      resource.Vector
	tasks         map[ident.TaskID]*reservation
	retained      []retainedOutcome
	restriction   Restriction
	draining      bool      // reported by the VM list or by the worker
	drainReported bool      // reported by the worker, which never withdraws it
	evictionDue   time.Time // end of the termination notice; zero when the worker is not draining
	zone          ident.Zone
	rack          ident.Rack
}

// Restriction limits new tasks on a worker on which distinct jobs failed.
type Restriction uint8

// Restrictions.
const (
	Unrestricted Restriction = iota
	ProbesOnly               // one task at a time, as a probe
	NoTasks                  // no new task until the next probe
)

// Snapshot is a copy of a worker's state, for placement and reports.
type Snapshot struct {
	ID        ident.WorkerID
	Zone      ident.Zone
	Rack      ident.Rack
	Epoch     ident.Epoch
	Capacity  resource.Vector
	Free      resource.Vector
	Tasks     int
	LeaseHeld bool // the control lease is held and has not expired
	Usable    bool // the lease is held and the worker is not draining
	Draining  bool
}

// New returns the view of a worker that is not claimed yet. lease is the duration of the control lease to request.
func New(id ident.WorkerID, lease time.Duration) *Worker {
	return &Worker{id: id, lease: lease, tasks: map[ident.TaskID]*reservation{}}
}

// NewClaim returns the claim to send. Its epoch is above every known one and at least the current Unix time in
// milliseconds: a worker that restarted has lost its epochs, so a small number could equal one that a former owner
// still uses.
func (w *Worker) NewClaim(now time.Time, process ident.ProcessID, supersede bool, taskLease time.Duration) work.ClaimRequest {
	w.mu.Lock()
	defer w.mu.Unlock()
	return work.ClaimRequest{
		Process: process, Epoch: max(w.highestEpoch+1, ident.Epoch(now.UnixMilli())), Supersede: supersede,
		Lease: w.lease, TaskLease: taskLease,
	}
}

// ClaimRefused records the highest epoch that the worker reported when it refused a claim.
func (w *Worker) ClaimRefused(epoch ident.Epoch) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.highestEpoch = max(w.highestEpoch, epoch)
}

// ClaimGranted adopts the inventory of a granted claim. sent is when the claim was sent; the lease counts from then.
func (w *Worker) ClaimGranted(sent time.Time, inv work.Inventory) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.epoch, w.highestEpoch = inv.Epoch, max(w.highestEpoch, inv.Epoch)
	w.validUntil = sent.Add(w.lease)
	w.capacity, w.zone, w.rack = inv.Capacity, inv.Zone, inv.Rack
	w.retained = nil
	w.tasks = make(map[ident.TaskID]*reservation, len(inv.Running))
	for _, r := range inv.Running {
		w.tasks[r.Task] = &reservation{attempt: r.Attempt, class: r.Class, size: r.Size}
	}
}

// LeaseRenewed extends the lease, counting from the time at which the renewal was sent.
func (w *Worker) LeaseRenewed(sent time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if until := sent.Add(w.lease); w.epoch != 0 && until.After(w.validUntil) {
		w.validUntil = until
	}
}

// LeaseLost ends the lease because the worker refused the epoch or another process owns it. It returns the tasks that
// this process must no longer report on.
func (w *Worker) LeaseLost() []ident.TaskID {
	w.mu.Lock()
	defer w.mu.Unlock()
	tasks := make([]ident.TaskID, 0, len(w.tasks))
	for id := range w.tasks {
		tasks = append(tasks, id)
	}
	w.epoch, w.validUntil, w.retained = 0, time.Time{}, nil
	w.tasks = map[ident.TaskID]*reservation{}
	return tasks
}

// Reserve reserves capacity for an attempt and returns the epoch that its start must carry. It fails with StaleEpoch,
// Draining, Conflict or NoCapacity, and then reserves nothing.
func (w *Worker) Reserve(now time.Time, spec work.Spec) (ident.Epoch, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.leaseHeld(now) {
		return 0, fault.New(fault.StaleEpoch, "control lease on worker %s not held", w.id)
	}
	if w.draining {
		return 0, fault.New(fault.Draining, "worker %s is draining", w.id)
	}
	if _, ok := w.tasks[spec.ID]; ok {
		return 0, fault.New(fault.Conflict, "%s already has a reservation on worker %s", spec.ID, w.id)
	}
	if w.blocksNewTasks() {
		return 0, fault.New(fault.NoCapacity, "worker %s is on probation", w.id)
	}
	if free := w.free(); !spec.Size.Fits(free) {
		return 0, fault.New(fault.NoCapacity, "%s needs %s; worker %s has %s free", spec.ID, spec.Size, w.id, free)
	}
	w.tasks[spec.ID] = &reservation{
		attempt: spec.Attempt, class: spec.Class, size: spec.Size, repeatable: spec.Repeatable,
	}
	return w.epoch, nil
}

// ReservedEpoch returns the epoch that the start of an attempt with reserved capacity must carry. It fails with
// StaleEpoch, also when the reservation was lost with a former control lease, or with Draining.
func (w *Worker) ReservedEpoch(now time.Time, task ident.TaskID, attempt ident.Attempt) (ident.Epoch, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r, ok := w.tasks[task]
	switch {
	case w.epoch == 0 || !now.Before(w.validUntil):
		return 0, fault.New(fault.StaleEpoch, "control lease on worker %s not held", w.id)
	case !ok || r.attempt != attempt:
		return 0, fault.New(fault.StaleEpoch, "the reservation for %s on worker %s was lost", task, w.id)
	case w.draining:
		return 0, fault.New(fault.Draining, "worker %s is draining", w.id)
	}
	return w.epoch, nil
}

// Restrict sets the limit on new tasks.
func (w *Worker) Restrict(restriction Restriction) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.restriction = restriction
}

// blocksNewTasks reports whether the restriction allows no further task now.
func (w *Worker) blocksNewTasks() bool {
	return w.restriction == NoTasks || w.restriction == ProbesOnly && len(w.tasks) > 0
}

func (w *Worker) leaseHeld(now time.Time) bool { return w.epoch != 0 && now.Before(w.validUntil) }

// free returns the capacity that is not charged to tasks; an overused resource counts as 0.
func (w *Worker) free() resource.Vector {
	return w.capacity.Sub(w.chargedTotal()).Max(resource.Vector{})
}

func (w *Worker) chargedTotal() resource.Vector {
	var sum resource.Vector
	for _, r := range w.tasks {
		sum = sum.Add(r.charge())
	}
	return sum
}

// Release frees the capacity of an attempt. It returns false if the attempt has none reserved.
func (w *Worker) Release(task ident.TaskID, attempt ident.Attempt) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	r, ok := w.tasks[task]
	if !ok || r.attempt != attempt {
		return false
	}
	delete(w.tasks, task)
	return true
}

// Snapshot returns a copy of the state. Free is zero unless the worker is usable.
func (w *Worker) Snapshot(now time.Time) Snapshot {
	w.mu.Lock()
	defer w.mu.Unlock()
	leaseHeld := w.leaseHeld(now)
	s := Snapshot{
		ID: w.id, Zone: w.zone, Rack: w.rack, Epoch: w.epoch, Capacity: w.capacity, Tasks: len(w.tasks),
		LeaseHeld: leaseHeld, Usable: leaseHeld && !w.draining, Draining: w.draining,
	}
	if s.Usable && !w.blocksNewTasks() {
		s.Free = w.free()
	}
	return s
}
