// Package tenure records, for a process that owns workers, which home may place tasks of each partition and which task
// attempts the owner holds. It fences a previous home without using the store: once an owner has reported its held
// attempts to a new home, it rejects placements from the previous one.
package tenure

import (
	"sort"
	"sync"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/fault"
)

// HeldAttempt is an attempt that is queued or running at the owner, or that has ended there and whose outcome is
// retained for its home.
type HeldAttempt struct {
	ID      ident.TaskID
	Attempt ident.Attempt
	Worker  ident.WorkerID // empty while the attempt is queued
	Ended   bool
}

// HeldAttempts stores the attempts that one owner holds and, per partition, the highest home epoch that the owner has
// seen. It is safe for concurrent use.
type HeldAttempts struct {
	mu            sync.Mutex
	highestEpochs [ident.PartitionCount]ident.HomeEpoch
	tasks         [ident.PartitionCount]map[ident.TaskID]HeldAttempt
}

// New returns an empty HeldAttempts.
func New() *HeldAttempts {
	h := &HeldAttempts{}
	for i := range h.tasks {
		h.tasks[i] = map[ident.TaskID]HeldAttempt{}
	}
	return h
}

// TakeHome accepts home as the only one that may place tasks of the partition, and returns its epoch and the attempts
// held for the partition, sorted by task id. If a higher home epoch has been seen, it changes nothing and returns that
// epoch without attempts.
func (h *HeldAttempts) TakeHome(partition ident.PartitionID, home ident.HomeEpoch) (ident.HomeEpoch, []HeldAttempt) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if highest := h.highestEpochs[partition]; home.Less(highest) {
		return highest, nil
	}
	h.highestEpochs[partition] = home
	tasks := make([]HeldAttempt, 0, len(h.tasks[partition]))
	for _, t := range h.tasks[partition] {
		tasks = append(tasks, t)
	}
	sort.Slice(tasks, func(i, j int) bool { return tasks[i].ID.String() < tasks[j].ID.String() })
	return home, tasks
}

func staleEpochError(partition ident.PartitionID, home, highest ident.HomeEpoch) error {
	return fault.New(fault.StaleEpoch, "partition %d: home epoch %d of %s is stale; epoch %d of %s was seen",
		partition, home.Counter, home.Process, highest.Counter, highest.Process)
}

// Admit records an attempt that a home places. It fails with StaleEpoch if a higher home epoch has been seen, and with
// Conflict if an attempt of the task is held that has not ended, or one that has ended and is not older.
func (h *HeldAttempts) Admit(home ident.HomeEpoch, task ident.TaskID, attempt ident.Attempt) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	partition := task.Work.Partition()
	if highest := h.highestEpochs[partition]; home.Less(highest) {
		return staleEpochError(partition, home, highest)
	}
	h.highestEpochs[partition] = home
	if held, ok := h.tasks[partition][task]; ok && (!held.Ended || held.Attempt >= attempt) {
		return fault.New(fault.Conflict, "task %s: attempt %d is already held", task, held.Attempt)
	}
	h.tasks[partition][task] = HeldAttempt{ID: task, Attempt: attempt}
	return nil
}

// CheckEpoch checks the epoch of a home as Admit does, without recording an attempt. It fails with StaleEpoch if a
// higher home epoch has been seen.
func (h *HeldAttempts) CheckEpoch(partition ident.PartitionID, home ident.HomeEpoch) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if highest := h.highestEpochs[partition]; home.Less(highest) {
		return staleEpochError(partition, home, highest)
	}
	h.highestEpochs[partition] = home
	return nil
}

// Adopt records an attempt that was found in the inventory of a worker, unless a later attempt of the task is held: an
// earlier one has ended, and its outcome may still be in the inventory of another worker.
func (h *HeldAttempts) Adopt(task ident.TaskID, attempt ident.Attempt, worker ident.WorkerID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	tasks := h.tasks[task.Work.Partition()]
	if tasks[task].Attempt <= attempt {
		tasks[task] = HeldAttempt{ID: task, Attempt: attempt, Worker: worker}
	}
}

// AssignWorker sets the worker of a held attempt.
func (h *HeldAttempts) AssignWorker(task ident.TaskID, worker ident.WorkerID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	tasks := h.tasks[task.Work.Partition()]
	if held, ok := tasks[task]; ok {
		held.Worker = worker
		tasks[task] = held
	}
}

// MarkEnded marks a held attempt as ended with an outcome. The attempt stays held until it is removed, so that a new
// home still finds its outcome.
func (h *HeldAttempts) MarkEnded(task ident.TaskID, attempt ident.Attempt) {
	h.mu.Lock()
	defer h.mu.Unlock()
	tasks := h.tasks[task.Work.Partition()]
	if held, ok := tasks[task]; ok && held.Attempt == attempt {
		held.Ended = true
		tasks[task] = held
	}
}

// Find returns the held attempt of a task, if any.
func (h *HeldAttempts) Find(task ident.TaskID) (HeldAttempt, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	held, ok := h.tasks[task.Work.Partition()][task]
	return held, ok
}

// Remove removes an attempt that ended without an outcome, that moved to another owner, or whose outcome no longer
// needs to be retained.
func (h *HeldAttempts) Remove(task ident.TaskID, attempt ident.Attempt) {
	h.mu.Lock()
	defer h.mu.Unlock()
	tasks := h.tasks[task.Work.Partition()]
	if held, ok := tasks[task]; ok && held.Attempt == attempt {
		delete(tasks, task)
	}
}

// Count returns the number of held attempts over all partitions.
func (h *HeldAttempts) Count() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for _, tasks := range h.tasks {
		n += len(tasks)
	}
	return n
}
