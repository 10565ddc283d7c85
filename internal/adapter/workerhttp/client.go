package workerhttp

import (
	"context"
	"net/http"
	"time"

	"skylarkstall/internal/adapter/httpjson"
	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/resource"
	"skylarkstall/internal/domain/work"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/port"
)

// callTimeout bounds a call that does not wait for outcomes.
const callTimeout = 2 * time.Second

// syncGrace is how much longer than its own wait a sync may take. The last renewal may have been sent a whole wait (2
// s) before the sync, so 1 s leaves 1 s of the control lease of 6 s, and 2 of the wait's, to renew over a new
// connection.
const syncGrace = time.Second

// Dialer makes clients. It implements port.WorkerDialer.
type Dialer struct{}

// Dial returns a client for the worker at host:port.
func (Dialer) Dial(_ ident.WorkerID, address string) port.WorkerClient {
	return &client{http: httpjson.NewClient(address)}
}

type client struct {
	http *httpjson.Client
}

func (c *client) call(ctx context.Context, timeout time.Duration, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return c.http.Call(ctx, http.MethodPost, path, in, out)
}

// Claim implements port.WorkerClient.
func (c *client) Claim(ctx context.Context, claim work.ClaimRequest) (work.Inventory, error) {
	call := ClaimRequest{
		Process: string(claim.Process), Epoch: uint64(claim.Epoch), Supersede: claim.Supersede,
		LeaseMS: claim.Lease.Milliseconds(), TaskLeaseMS: claim.TaskLease.Milliseconds(),
	}
	var reply Inventory
	if err := c.call(ctx, callTimeout, PathClaim, call, &reply); err != nil {
		return work.Inventory{Epoch: ident.Epoch(reply.Epoch), Holder: ident.ProcessID(reply.Holder)}, err
	}
	return decodeInventory(reply)
}

// Sync implements port.WorkerClient.
func (c *client) Sync(ctx context.Context, sync work.SyncRequest) (work.SyncReply, error) {
	call := SyncRequest{Epoch: uint64(sync.Epoch), AfterOutcome: sync.AfterOutcome, MaxWaitMS: sync.MaxWait.Milliseconds()}
	for _, id := range sync.Acknowledge {
		call.Acknowledge = append(call.Acknowledge, AttemptID{id.Task.String(), uint64(id.Attempt)})
	}
	var reply SyncReply
	if err := c.call(ctx, sync.MaxWait+syncGrace, PathSync, call, &reply); err != nil {
		return work.SyncReply{}, err
	}
	return decodeSyncReply(reply)
}

// Release implements port.WorkerClient.
func (c *client) Release(ctx context.Context, epoch ident.Epoch) error {
	return c.call(ctx, callTimeout, PathRelease, ReleaseRequest{uint64(epoch)}, nil)
}

// Start implements port.WorkerClient.
func (c *client) Start(ctx context.Context, start work.StartRequest) error {
	return c.call(ctx, callTimeout, PathStart, StartRequest{
		Epoch: uint64(start.Epoch), Task: start.Task.String(), Attempt: uint64(start.Attempt), Kind: start.Kind,
		Class: start.Class.String(), Size: start.Size, SentMS: time.Now().UnixMilli(),
		TTLMS: start.TTL.Milliseconds(), Payload: start.Payload,
	}, nil)
}

// Stop implements port.WorkerClient.
func (c *client) Stop(ctx context.Context, epoch ident.Epoch, task ident.TaskID) error {
	return c.call(ctx, callTimeout, PathStop, TaskRequest{Epoch: uint64(epoch), Task: task.String()}, nil)
}

// Checkpoint implements port.WorkerClient.
func (c *client) Checkpoint(ctx context.Context, epoch ident.Epoch, task ident.TaskID) ([]byte, error) {
	var reply CheckpointReply
	err := c.call(ctx, callTimeout, PathCheckpoint, TaskRequest{Epoch: uint64(epoch), Task: task.String()}, &reply)
	return reply.Checkpoint, fault.Wrap(err, "checkpoint %s", task)
}

// Throttle implements port.WorkerClient.
func (c *client) Throttle(ctx context.Context, epoch ident.Epoch, task ident.TaskID, limit resource.Vector) error {
	call := TaskRequest{Epoch: uint64(epoch), Task: task.String(), Limit: limit}
	return c.call(ctx, callTimeout, PathThrottle, call, nil)
}

// Reset implements port.WorkerClient.
func (c *client) Reset() { c.http.Reset() }

// Close implements port.WorkerClient.
func (c *client) Close() error { return c.http.Close() }
