package devcell

import (
	"fmt"
	"sync"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/resource"
	"skylarkstall/internal/standin/worker"
)

// InvariantChecker checks invariants over the task starts and ends that the workers of a cell report: the tasks of a
// worker never exceed its capacity, and a task never runs on two workers at a time.
type InvariantChecker struct {
	mu            sync.Mutex
	capacity      resource.Vector
	used          map[ident.WorkerID]resource.Vector
	running       map[ident.TaskID]ident.WorkerID
	starts        map[ident.TaskID]int
	concurrent    map[ident.WorkID]int           // number of tasks running now
	maxConcurrent map[ident.WorkID]int           // largest number of tasks that ran concurrently
	firstStart    map[ident.WorkID]time.Time     // first start since no task of the job was running
	startSpread   map[ident.WorkID]time.Duration // from that start to the latest one
	violations    []string
}

// NewInvariantChecker returns a checker for workers with the given capacity.
func NewInvariantChecker(capacity resource.Vector) *InvariantChecker {
	return &InvariantChecker{
		capacity: capacity, used: map[ident.WorkerID]resource.Vector{}, running: map[ident.TaskID]ident.WorkerID{},
		starts: map[ident.TaskID]int{}, concurrent: map[ident.WorkID]int{}, maxConcurrent: map[ident.WorkID]int{},
		firstStart: map[ident.WorkID]time.Time{}, startSpread: map[ident.WorkID]time.Duration{},
	}
}

// Observe processes an observation of a worker. Pass it as Settings.Observe.
func (i *InvariantChecker) Observe(id ident.WorkerID, o worker.Observation) {
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
	if i.concurrent[o.Task.Work] == 0 {
		i.firstStart[o.Task.Work] = time.Now()
	}
	i.startSpread[o.Task.Work] = time.Since(i.firstStart[o.Task.Work])
	i.concurrent[o.Task.Work]++
	i.maxConcurrent[o.Task.Work] = max(i.maxConcurrent[o.Task.Work], i.concurrent[o.Task.Work])
	i.used[id] = i.used[id].Add(o.Size)
	if !i.used[id].Fits(i.capacity) {
		i.violations = append(i.violations, fmt.Sprintf("tasks on %s take %s, more than its capacity %s", id, i.used[id], i.capacity))
	}
}

// Violations returns a description of each violation.
func (i *InvariantChecker) Violations() []string {
	i.mu.Lock()
	defer i.mu.Unlock()
	return append([]string(nil), i.violations...)
}

// StartCount returns the number of times that the task was started.
func (i *InvariantChecker) StartCount(task ident.TaskID) int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.starts[task]
}

// RunningOn returns the worker on which the task is running, or false.
func (i *InvariantChecker) RunningOn(task ident.TaskID) (ident.WorkerID, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	id, ok := i.running[task]
	return id, ok
}

// RunningCount returns the number of running tasks.
func (i *InvariantChecker) RunningCount() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return len(i.running)
}

// StartSpread returns the time from the first to the last start of the tasks of the job that last ran together.
func (i *InvariantChecker) StartSpread(id ident.WorkID) time.Duration {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.startSpread[id]
}

// MaxConcurrent returns the largest number of tasks of the job that ran concurrently.
func (i *InvariantChecker) MaxConcurrent(id ident.WorkID) int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.maxConcurrent[id]
}
