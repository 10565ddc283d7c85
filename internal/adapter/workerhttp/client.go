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

// callTimeout bounds every request but a sync, which waits for outcomes.
const callTimeout = 2 * time.Second

// syncGrace is the time that a sync may take beyond its wait for outcomes. The previous renewal of the control lease
// may have been sent a full wait (2 s) before the sync. With 1 s the sync thus times out at most 5 s after it, which
// leaves 1 s of the lease of 6 s (3 s if the worker received the sync) to renew over a new connection.
const syncGrace = time.Second

// Dialer creates clients of workers. It implements port.WorkerDialer.
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
	request := ClaimRequest{
		Process: string(claim.Process), Epoch: uint64(claim.Epoch), Supersede: claim.Supersede,
		LeaseMS: claim.Lease.Milliseconds(), TaskLeaseMS: claim.TaskLease.Milliseconds(),
	}
	var reply Inventory
	if err := c.call(ctx, callTimeout, PathClaim, request, &reply); err != nil {
		return work.Inventory{Epoch: ident.Epoch(reply.Epoch), Holder: ident.ProcessID(reply.Holder)}, err
	}
	return decodeInventory(reply)
}

// Sync implements port.WorkerClient.
func (c *client) Sync(ctx context.Context, sync work.SyncRequest) (work.SyncReply, error) {
	request := SyncRequest{Epoch: uint64(sync.Epoch), AfterOutcome: sync.AfterOutcome, MaxWaitMS: sync.MaxWait.Milliseconds()}
	for _, id := range sync.Acknowledge {
		request.Acknowledge = append(request.Acknowledge, AttemptID{id.Task.String(), uint64(id.Attempt)})
	}
	var reply SyncReply
	if err := c.call(ctx, sync.MaxWait+syncGrace, PathSync, request, &reply); err != nil {
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
	request := TaskRequest{Epoch: uint64(epoch), Task: task.String(), Limit: limit}
	return c.call(ctx, callTimeout, PathThrottle, request, nil)
}

// Reset implements port.WorkerClient.
func (c *client) Reset() { c.http.Reset() }

// Close implements port.WorkerClient.
func (c *client) Close() error { return c.http.Close() }
