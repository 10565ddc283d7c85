// Package port holds the interfaces to everything outside a process: the platform, workers and time.
package port

import (
	"context"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/resource"
	"skylarkstall/internal/domain/work"
)

// Entry is one key of the store.
type Entry struct {
	Key      string
	Value    []byte // nil when the key was deleted
	Revision ident.Revision
}

// LeaseID names a lease of the store; zero is no lease.
type LeaseID uint64

// Store is the platform's key-value service. A call that fails with fault.StoreUnavailable may have taken effect.
type Store interface {
	// Get fails with NotFound when the key is absent.
	Get(ctx context.Context, key string) (Entry, error)
	// Put writes value if the key's revision is expect; expect 0 means the key must be absent. It fails with Conflict.
	Put(ctx context.Context, key string, value []byte, expect ident.Revision, lease LeaseID) (ident.Revision, error)
	// Delete removes the key if its revision is expect. It fails with Conflict or NotFound.
	Delete(ctx context.Context, key string, expect ident.Revision) error
	// List returns the entries below prefix in key order, with the revision of the store they were read at.
	List(ctx context.Context, prefix string) ([]Entry, ident.Revision, error)
	// Watch waits until a key below prefix changes after the revision and returns the changes in revision order.
	Watch(ctx context.Context, prefix string, after ident.Revision) ([]Entry, error)
	// Grant returns a lease; keys put with it are deleted when it lapses.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews the lease. It fails with NotFound when the lease has lapsed.
	KeepAlive(ctx context.Context, lease LeaseID) error
}

// VMRole tells what a VM of the list runs.
type VMRole string

// Roles of VMs.
const (
	RoleWorker VMRole = "worker"
	RoleEntry  VMRole = "entry"
)

// VM is a row of the platform's VM list.
type VM struct {
	ID      string
	Role    VMRole
	Address string // host:port of the worker service or of the peer listener
	Zone    ident.Zone
	Rack    ident.Rack
	Leaving bool
}

// VMList is the platform's list of VMs. It lags.
type VMList interface {
	List(ctx context.Context) ([]VM, error)
}

// WorkerClient reaches one worker. Refusals have kind StaleEpoch, NoCapacity, Draining, DeadlineExceeded or NotFound
// and mean that nothing was done, as does Unavailable. Interrupted means that the call may have taken effect.
type WorkerClient interface {
	// Claim asks for the control lease. On StaleEpoch the returned inventory has only the highest epoch granted and the
	// holder.
	Claim(ctx context.Context, claim work.Claim) (work.Inventory, error)
	// Sync renews the control lease, acknowledges outcomes and waits up to the given time for further outcomes.
	Sync(ctx context.Context, sync work.Sync) (work.SyncReply, error)
	// Release gives the control lease back.
	Release(ctx context.Context, epoch ident.Epoch) error
	// Start starts an attempt, or does nothing if that attempt was started before.
	Start(ctx context.Context, start work.Start) error
	// Stop returns once the task certainly does not run. An outcome that it reached before is delivered by Sync.
	Stop(ctx context.Context, epoch ident.Epoch, task ident.TaskID) error
	// Checkpoint stops the task after saving its progress, and returns what it needs to resume.
	Checkpoint(ctx context.Context, epoch ident.Epoch, task ident.TaskID) ([]byte, error)
	// Throttle limits a task to the given size.
	Throttle(ctx context.Context, epoch ident.Epoch, task ident.TaskID, limit resource.Vector) error
	// Reset closes a connection that went silent; the next call opens another.
	Reset()
	// Close closes the connections.
	Close() error
}

// WorkerDialer returns a client for the worker at an address. It does not connect yet.
type WorkerDialer interface {
	Dial(worker ident.WorkerID, address string) WorkerClient
}
