package devcell

import (
	"fmt"
	"sync"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/resource"
	"skylarkstall/internal/standin/worker"
)

// InvariantChecker checks what the workers of a cell observe: that no worker holds more than its capacity and that no task
// runs in two places.
type InvariantChecker struct {
	mu       sync.Mutex
	capacity resource.Vector
	used     map[ident.WorkerID]resource.Vector
	running  map[ident.TaskID]ident.WorkerID
	starts   map[ident.TaskID]int
	together map[ident.WorkID]int // tasks running now
	most     map[ident.WorkID]int // the most tasks that ran at the same time
	faults   []string
}

// NewInvariantChecker returns a check for workers of the capacity.
func NewInvariantChecker(capacity resource.Vector) *InvariantChecker {
	return &InvariantChecker{
		capacity: capacity, used: map[ident.WorkerID]resource.Vector{}, running: map[ident.TaskID]ident.WorkerID{},
		starts: map[ident.TaskID]int{}, together: map[ident.WorkID]int{}, most: map[ident.WorkID]int{},
	}
}

// Observe takes an observation. It is the Observe of Settings.
func (i *InvariantChecker) Observe(id ident.WorkerID, o worker.Observation) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if !o.Started {
		i.used[id] = i.used[id].Sub(o.Size)
		i.together[o.Task.Work]--
		if i.running[o.Task] == id {
			delete(i.running, o.Task)
		}
		return
	}
	if other, ok := i.running[o.Task]; ok {
		i.faults = append(i.faults, fmt.Sprintf("%s started on %s while it ran on %s", o.Task, id, other))
	}
	i.running[o.Task] = id
	i.starts[o.Task]++
	i.together[o.Task.Work]++
	i.most[o.Task.Work] = max(i.most[o.Task.Work], i.together[o.Task.Work])
	i.used[id] = i.used[id].Add(o.Size)
	if !i.used[id].Fits(i.capacity) {
		i.faults = append(i.faults, fmt.Sprintf("%s holds %s; its capacity is %s", id, i.used[id], i.capacity))
	}
}

// Violations returns every breach.
func (i *InvariantChecker) Violations() []string {
	i.mu.Lock()
	defer i.mu.Unlock()
	return append([]string(nil), i.faults...)
}

// StartCount returns how often the task was started.
func (i *InvariantChecker) StartCount(task ident.TaskID) int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.starts[task]
}

// RunningOn returns the worker that the task runs on, or false.
func (i *InvariantChecker) RunningOn(task ident.TaskID) (ident.WorkerID, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	id, ok := i.running[task]
	return id, ok
}

// RunningCount returns the number of tasks that run.
func (i *InvariantChecker) RunningCount() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return len(i.running)
}

// MaxConcurrent returns the most tasks of the work that ran at the same time.
func (i *InvariantChecker) MaxConcurrent(id ident.WorkID) int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.most[id]
}
