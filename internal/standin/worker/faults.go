package worker

import (
	"time"

	"skylarkstall/internal/domain/grant"
	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/resource"
	"skylarkstall/internal/domain/work"
)

// StallConnections stalls the open connections permanently, while new ones work.
func (w *Worker) StallConnections() { w.listener.forEachConn((*conn).stall) }

// Connections returns counts of the worker's connections.
func (w *Worker) Connections() Connections { return w.listener.connections() }

// Drain makes the worker reject further starts.
func (w *Worker) Drain() {
	w.state().Drain()
	w.changed.Signal()
}

// Restart stops the tasks, discards all state and closes the connections, like a worker that crashes and restarts.
func (w *Worker) Restart() {
	w.decisionMu.Lock()
	w.mu.Lock()
	for _, t := range w.tasks {
		t.cancel()
	}
	w.grant = grant.New(w.settings.Capacity, w.settings.Zone, w.settings.Rack)
	w.usage = map[ident.TaskID]resource.Vector{}
	w.mu.Unlock()
	w.endAllTasks()
	w.decisionMu.Unlock()
	w.listener.forEachConn(func(c *conn) { _ = c.Close() }) // like a crash
}

// SetFailAll makes all further tasks fail immediately, or ends that.
func (w *Worker) SetFailAll(fail bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.settings.FailAll = fail
}

// SetUsage makes the worker report the given resource usage for a task until the task is throttled or ends. With
// ignoreThrottle, the usage stays the same when the task is throttled.
func (w *Worker) SetUsage(task ident.TaskID, used resource.Vector, ignoreThrottle bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.usage[task] = used
	w.ignoreThrottle = ignoreThrottle
}

// applyLimit reduces the reported usage of a throttled task to the limit.
func (w *Worker) applyLimit(task ident.TaskID, limit resource.Vector) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, ok := w.usage[task]; ok && !w.ignoreThrottle {
		w.usage[task] = limit
	}
}

func (w *Worker) measuredUsage() []work.Usage {
	w.mu.Lock()
	defer w.mu.Unlock()
	var all []work.Usage
	for task, used := range w.usage {
		all = append(all, work.Usage{Task: task, Used: used})
	}
	return all
}

// RunningCount returns the number of running tasks.
func (w *Worker) RunningCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.tasks)
}

// DelayStarts delays all starts that arrive from now on until the returned function is called.
func (w *Worker) DelayStarts() (release func()) {
	startGate := make(chan struct{})
	w.mu.Lock()
	w.startGate = startGate
	w.mu.Unlock()
	return func() {
		w.mu.Lock()
		w.startGate = nil
		w.mu.Unlock()
		close(startGate)
	}
}

func (w *Worker) waitStartGate() {
	w.mu.Lock()
	startGate := w.startGate
	w.mu.Unlock()
	if startGate == nil {
		return
	}
	select {
	case <-startGate:
	case <-w.ctx.Done():
	case <-time.After(maxStartDelay):
	}
}

// maxStartDelay is the maximum delay of a start by DelayStarts.
const maxStartDelay = time.Minute
