package worker

import (
	"time"

	"skylarkstall/internal/domain/grant"
	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/resource"
	"skylarkstall/internal/domain/work"
)

// StallConnections makes the open connections silent for good, while new ones work.
func (w *Worker) StallConnections() { w.listener.each((*conn).setSilent) }

// Connections returns counts of the connections.
func (w *Worker) Connections() Connections { return w.listener.connections() }

// Drain makes the stand-in refuse further starts.
func (w *Worker) Drain() {
	w.state().Drain()
	w.changed.Signal()
}

// Restart ends the tasks and forgets everything, as a worker that crashed and came back.
func (w *Worker) Restart() {
	w.order.Lock()
	w.mu.Lock()
	for _, t := range w.tasks {
		t.cancel()
	}
	w.grant = grant.New(w.settings.Capacity, w.settings.Zone, w.settings.Rack)
	w.usage = map[ident.TaskID]resource.Vector{}
	w.mu.Unlock()
	w.endAll()
	w.order.Unlock()
	w.listener.each(func(c *conn) { _ = c.Close() }) // as a crash does
}

// SetFailAll makes every further task fail at once, or stops that.
func (w *Worker) SetFailAll(fail bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.settings.FailAll = fail
}

// SetUsage makes the stand-in report that the task uses so much, until the task is throttled or ends. A task that is
// stubborn goes on using it when it is throttled.
func (w *Worker) SetUsage(task ident.TaskID, used resource.Vector, stubborn bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.usage[task] = used
	w.stubborn = stubborn
}

// throttled notes a limit on a task.
func (w *Worker) throttled(task ident.TaskID, limit resource.Vector) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, ok := w.usage[task]; ok && !w.stubborn {
		w.usage[task] = limit
	}
}

func (w *Worker) measured() []work.Usage {
	w.mu.Lock()
	defer w.mu.Unlock()
	var all []work.Usage
	for task, used := range w.usage {
		all = append(all, work.Usage{Task: task, Used: used})
	}
	return all
}

// RunningCount returns how many tasks run.
func (w *Worker) RunningCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.tasks)
}

// DelayStarts holds up the starts that arrive from now on, until the returned function is called.
func (w *Worker) DelayStarts() (release func()) {
	gate := make(chan struct{})
	w.mu.Lock()
	w.gate = gate
	w.mu.Unlock()
	return func() {
		w.mu.Lock()
		w.gate = nil
		w.mu.Unlock()
		close(gate)
	}
}

func (w *Worker) awaitGate() {
	w.mu.Lock()
	gate := w.gate
	w.mu.Unlock()
	if gate == nil {
		return
	}
	select {
	case <-gate:
	case <-w.ctx.Done():
	case <-time.After(maxDelay):
	}
}

// maxDelay bounds the delay of a start.
const maxDelay = time.Minute
