// Package tenure keeps, for an owner of workers, which home may place tasks of each partition, and which of those tasks
// the owner holds. It fences a former home without the store: once an owner has told a new home what it holds, it takes
// nothing more from the former one.
package tenure

import (
	"sort"
	"sync"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/fault"
)

// HeldAttempt is an attempt that waits or runs at the owner, or has ended there and whose outcome is kept for its home.
type HeldAttempt struct {
	ID      ident.TaskID
	Attempt ident.Attempt
	Worker  ident.WorkerID // empty while the task waits
	Ended   bool
}

// HeldAttempts is the aggregate of one owner's homes and held tasks.
type HeldAttempts struct {
	mu    sync.Mutex
	homes [ident.Partitions]ident.HomeEpoch
	tasks [ident.Partitions]map[ident.TaskID]HeldAttempt
}

// New returns holdings without homes or tasks.
func New() *HeldAttempts {
	h := &HeldAttempts{}
	for i := range h.tasks {
		h.tasks[i] = map[ident.TaskID]HeldAttempt{}
	}
	return h
}

// TakeHome makes the home the one that may place tasks of the partition, and returns its epoch and the tasks held. When a
// higher home epoch was seen, it changes nothing and returns only that epoch.
func (h *HeldAttempts) TakeHome(partition ident.PartitionID, home ident.HomeEpoch) (ident.HomeEpoch, []HeldAttempt) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if highest := h.homes[partition]; home.Less(highest) {
		return highest, nil
	}
	h.homes[partition] = home
	tasks := make([]HeldAttempt, 0, len(h.tasks[partition]))
	for _, t := range h.tasks[partition] {
		tasks = append(tasks, t)
	}
	sort.Slice(tasks, func(i, j int) bool { return tasks[i].ID.String() < tasks[j].ID.String() })
	return home, tasks
}

func stale(partition ident.PartitionID, home, highest ident.HomeEpoch) error {
	return fault.New(fault.StaleEpoch, "partition %d: home epoch %d of %s; %d of %s was seen",
		partition, home.Counter, home.Process, highest.Counter, highest.Process)
}

// Admit notes an attempt that a home places. It fails with StaleEpoch for a former home and with Conflict when another
// attempt of the task is held and has not ended, or a later one has.
func (h *HeldAttempts) Admit(home ident.HomeEpoch, task ident.TaskID, attempt ident.Attempt) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	partition := task.Work.Partition()
	if highest := h.homes[partition]; home.Less(highest) {
		return stale(partition, home, highest)
	}
	h.homes[partition] = home
	if held, ok := h.tasks[partition][task]; ok && (!held.Ended || held.Attempt >= attempt) {
		return fault.New(fault.Conflict, "%s is held with attempt %d", task, held.Attempt)
	}
	h.tasks[partition][task] = HeldAttempt{ID: task, Attempt: attempt}
	return nil
}

// CheckEpoch refuses a former home, as Admit does, and notes nothing. It fails with StaleEpoch.
func (h *HeldAttempts) CheckEpoch(partition ident.PartitionID, home ident.HomeEpoch) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if highest := h.homes[partition]; home.Less(highest) {
		return stale(partition, home, highest)
	}
	h.homes[partition] = home
	return nil
}

// Adopt notes an attempt that a worker's inventory contains.
func (h *HeldAttempts) Adopt(task ident.TaskID, attempt ident.Attempt, worker ident.WorkerID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.tasks[task.Work.Partition()][task] = HeldAttempt{ID: task, Attempt: attempt, Worker: worker}
}

// AssignWorker notes the worker of a held attempt.
func (h *HeldAttempts) AssignWorker(task ident.TaskID, worker ident.WorkerID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	tasks := h.tasks[task.Work.Partition()]
	if held, ok := tasks[task]; ok {
		held.Worker = worker
		tasks[task] = held
	}
}

// MarkEnded notes that a held attempt has ended with an outcome. It stays held until Drop, so that a new home finds it.
func (h *HeldAttempts) MarkEnded(task ident.TaskID, attempt ident.Attempt) {
	h.mu.Lock()
	defer h.mu.Unlock()
	tasks := h.tasks[task.Work.Partition()]
	if held, ok := tasks[task]; ok && held.Attempt == attempt {
		held.Ended = true
		tasks[task] = held
	}
}

// Find returns the attempt of a task that is held.
func (h *HeldAttempts) Find(task ident.TaskID) (HeldAttempt, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	held, ok := h.tasks[task.Work.Partition()][task]
	return held, ok
}

// Remove forgets an attempt that has ended or that the owner no longer speaks for.
func (h *HeldAttempts) Remove(task ident.TaskID, attempt ident.Attempt) {
	h.mu.Lock()
	defer h.mu.Unlock()
	tasks := h.tasks[task.Work.Partition()]
	if held, ok := tasks[task]; ok && held.Attempt == attempt {
		delete(tasks, task)
	}
}

// Count returns the number of tasks held.
func (h *HeldAttempts) Count() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for _, tasks := range h.tasks {
		n += len(tasks)
	}
	return n
}
