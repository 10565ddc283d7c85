package local

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"skylarkstall/internal/domain/grant"
	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/resource"
	"skylarkstall/internal/domain/work"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/notify"
	"skylarkstall/internal/pause"
	"skylarkstall/internal/port"
	"skylarkstall/internal/standin/worker"
)

// Workers is a set of workers, keyed by address.
type Workers struct {
	mu      sync.Mutex
	workers map[string]*Worker
}

// NewWorkers returns an empty set.
func NewWorkers() *Workers { return &Workers{workers: map[string]*Worker{}} }

// WorkerDialer connects one process to the workers. It implements port.WorkerDialer.
type WorkerDialer struct {
	process      ident.ProcessID
	workers      *Workers
	disconnected atomic.Bool
}

// Dialer returns a dialer that connects the process to the workers.
func (w *Workers) Dialer(process ident.ProcessID) *WorkerDialer {
	return &WorkerDialer{process: process, workers: w}
}

// Disconnect makes all further calls of the process fail, as if the process had been killed.
func (d *WorkerDialer) Disconnect() { d.disconnected.Store(true) }

// Dial implements port.WorkerDialer.
func (d *WorkerDialer) Dial(id ident.WorkerID, address string) port.WorkerClient {
	d.workers.mu.Lock()
	defer d.workers.mu.Unlock()
	return &client{Worker: d.workers.workers[address], id: id, dialer: d}
}

type client struct {
	*Worker
	id     ident.WorkerID
	dialer *WorkerDialer
}

// deliver waits for the latency of a message. It fails with Unavailable if the process is disconnected or the worker
// was killed.
func (c *client) deliver(ctx context.Context) error {
	if !pause.For(ctx, linkLatency(string(c.dialer.process), string(c.id))) {
		return fault.WrapAs(fault.Interrupted, ctx.Err(), "call worker")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.killed || c.dialer.disconnected.Load() {
		return fault.New(fault.Unavailable, "worker %s does not respond", c.id)
	}
	return nil
}

// Worker is a fake worker whose tasks only sleep. It follows the rules of package grant.
type Worker struct {
	ctx     context.Context
	grant   *grant.WorkerState
	changed notify.Broadcast

	mu      sync.Mutex
	killed  bool
	cancels map[ident.TaskID]context.CancelFunc
}

// Add adds a worker that runs until the context ends.
func (w *Workers) Add(
	ctx context.Context, address string, capacity resource.Vector, zone ident.Zone, rack ident.Rack,
) *Worker {
	added := &Worker{
		ctx: ctx, grant: grant.New(capacity, zone, rack), cancels: map[ident.TaskID]context.CancelFunc{},
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.workers[address] = added
	return added
}

// Kill makes all calls to the worker fail and stops its tasks without an outcome.
func (w *Worker) Kill() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.killed = true
	for _, cancel := range w.cancels {
		cancel()
	}
	w.changed.Signal()
}

// Drain makes the worker reject further starts.
func (w *Worker) Drain() { w.grant.Drain() }

// Claim implements port.WorkerClient.
func (c *client) Claim(ctx context.Context, claim work.ClaimRequest) (work.Inventory, error) {
	if err := c.deliver(ctx); err != nil {
		return work.Inventory{}, err
	}
	return c.grant.Claim(time.Now(), claim)
}

// Sync implements port.WorkerClient.
func (c *client) Sync(ctx context.Context, sync work.SyncRequest) (work.SyncReply, error) {
	if err := c.deliver(ctx); err != nil {
		return work.SyncReply{}, err
	}
	timer := time.NewTimer(sync.MaxWait)
	defer timer.Stop()
	for {
		changed := c.changed.Changed()
		reply, err := c.grant.Sync(time.Now(), sync)
		if err != nil || len(reply.Outcomes) > 0 {
			return reply, err
		}
		select {
		case <-changed:
			if err := c.deliver(ctx); err != nil {
				return work.SyncReply{}, err
			}
		case <-timer.C:
			return reply, nil
		case <-ctx.Done():
			return work.SyncReply{}, fault.WrapAs(fault.Interrupted, ctx.Err(), "wait for outcomes")
		}
	}
}

// Release implements port.WorkerClient.
func (c *client) Release(ctx context.Context, epoch ident.Epoch) error {
	if err := c.deliver(ctx); err != nil {
		return err
	}
	return c.grant.Release(time.Now(), epoch)
}

// Start implements port.WorkerClient.
func (c *client) Start(ctx context.Context, start work.StartRequest) error {
	sent := time.Now()
	if err := c.deliver(ctx); err != nil {
		return err
	}
	fresh, err := c.grant.Start(time.Now(), sent, start)
	if err != nil || !fresh {
		return err
	}
	taskCtx, cancel := context.WithCancel(c.ctx)
	c.mu.Lock()
	c.cancels[start.Task] = cancel
	c.mu.Unlock()
	go c.run(taskCtx, start)
	return nil
}

func (w *Worker) run(ctx context.Context, start work.StartRequest) {
	payload := worker.Payload{RunMS: worker.DefaultRunTime.Milliseconds()}
	_ = json.Unmarshal(start.Payload, &payload) // a task with any other payload uses the defaults
	duration := time.Duration(payload.RunMS) * time.Millisecond
	if !pause.For(ctx, duration) {
		return
	}
	outcome := work.Outcome{
		Task: start.Task, Attempt: start.Attempt, OK: !payload.Fail, Output: []byte(payload.Echo), RunTime: duration,
	}
	if payload.Fail {
		outcome.Message = "the task exited with status 1"
	}
	if w.grant.Finish(outcome) {
		w.changed.Signal()
	}
}

// Stop implements port.WorkerClient.
func (c *client) Stop(ctx context.Context, epoch ident.Epoch, task ident.TaskID) error {
	if err := c.deliver(ctx); err != nil {
		return err
	}
	if _, err := c.grant.Stop(time.Now(), epoch, task); err != nil {
		return err
	}
	c.mu.Lock()
	if cancel, ok := c.cancels[task]; ok {
		cancel()
	}
	c.mu.Unlock()
	c.changed.Signal()
	return nil
}

// Checkpoint implements port.WorkerClient.
func (c *client) Checkpoint(ctx context.Context, epoch ident.Epoch, task ident.TaskID) ([]byte, error) {
	return []byte("checkpoint"), c.Stop(ctx, epoch, task)
}

// Throttle implements port.WorkerClient.
func (c *client) Throttle(ctx context.Context, _ ident.Epoch, _ ident.TaskID, _ resource.Vector) error {
	return c.deliver(ctx)
}

// Reset implements port.WorkerClient.
func (c *client) Reset() {}

// Close implements port.WorkerClient.
func (c *client) Close() error { return nil }
