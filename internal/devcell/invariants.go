package devcell

import (
	"fmt"
	"sync"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/resource"
	"skylarkstall/internal/standin/worker"
)

// Invariants checks invariants over the task starts and ends that the workers of a cell report: the tasks of a worker
// never exceed its capacity, and a task never runs on two workers at a time.
type Invariants struct {
	mu            sync.Mutex
	capacity      resource.Vector
	used          map[ident.WorkerID]resource.Vector
	running       map[ident.TaskID]ident.WorkerID
	starts        map[ident.TaskID]int
	concurrent    map[ident.WorkID]int // number of tasks running now
	maxConcurrent map[ident.WorkID]int // largest number of tasks that ran concurrently
	violations    []string
}

// NewInvariants returns a checker for workers with the given capacity.
func NewInvariants(capacity resource.Vector) *Invariants {
	return &Invariants{
		capacity: capacity, used: map[ident.WorkerID]resource.Vector{}, running: map[ident.TaskID]ident.WorkerID{},
		starts: map[ident.TaskID]int{}, concurrent: map[ident.WorkID]int{}, maxConcurrent: map[ident.WorkID]int{},
	}
}

// Observe processes an observation of a worker. Pass it as Settings.Observe.
func (i *Invariants) Observe(id ident.WorkerID, o worker.Observation) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if !o.Started {
		i.used[id] = i.used[id].Sub(o.Size)
		i.concurrent[o.Task.Work]--
		if i.running[o.Task] == id {
			delete(i.running, o.Task)
		}
		return
	}
	if other, ok := i.running[o.Task]; ok {
		i.violations = append(i.violations, fmt.Sprintf("task %s started on %s while it was running on %s", o.Task, id, other))
	}
	i.running[o.Task] = id
	i.starts[o.Task]++
	i.concurrent[o.Task.Work]++
	i.maxConcurrent[o.Task.Work] = max(i.maxConcurrent[o.Task.Work], i.concurrent[o.Task.Work])
	i.used[id] = i.used[id].Add(o.Size)
	if !i.used[id].Fits(i.capacity) {
		i.violations = append(i.violations, fmt.Sprintf("tasks on %s take %s, more than its capacity %s", id, i.used[id], i.capacity))
	}
}

// Faults returns a description of each violation.
func (i *Invariants) Faults() []string {
	i.mu.Lock()
	defer i.mu.Unlock()
	return append([]string(nil), i.violations...)
}

// Starts returns the number of times that the task was started.
func (i *Invariants) Starts(task ident.TaskID) int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.starts[task]
}

// Running returns the worker on which the task is running, or false.
func (i *Invariants) Running(task ident.TaskID) (ident.WorkerID, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	id, ok := i.running[task]
	return id, ok
}

// RunningNow returns the number of running tasks.
func (i *Invariants) RunningNow() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return len(i.running)
}

// MostAtOnce returns the largest number of tasks of the job that ran concurrently.
func (i *Invariants) MostAtOnce(id ident.WorkID) int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.maxConcurrent[id]
}
