// Package port defines the interfaces between the application and its environment: the platform's services, the workers and
// the other processes of the cell.
package port

import (
	"context"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/resource"
	"skylarkstall/internal/domain/work"
)

// Entry is a key of the store with its value, or a change of a key.
type Entry struct {
	Key      string
	Value    []byte // nil when the key was deleted
	Revision ident.Revision
	Lease    LeaseID // 0 if the key is bound to none, or if the store does not tell
}

// LeaseID identifies a lease of the store; 0 means no lease.
type LeaseID uint64

// Store is the platform's key-value service. A call that fails with fault.StoreUnavailable may have taken effect.
type Store interface {
	// Get fails with NotFound if the key does not exist.
	Get(ctx context.Context, key string) (Entry, error)
	// Put writes value if the key's revision is expect; expect 0 means that the key must not exist. Otherwise it fails
	// with Conflict.
	Put(ctx context.Context, key string, value []byte, expect ident.Revision, lease LeaseID) (ident.Revision, error)
	// Delete removes the key if its revision is expect. Otherwise it fails with Conflict or NotFound.
	Delete(ctx context.Context, key string, expect ident.Revision) error
	// List returns the entries below prefix in key order, and the revision of the store at which they were read.
	List(ctx context.Context, prefix string) ([]Entry, ident.Revision, error)
	// Watch waits for changes below prefix after the revision, and returns them in revision order.
	Watch(ctx context.Context, prefix string, after ident.Revision) ([]Entry, error)
	// Grant creates a lease. Keys that were written with it are deleted when it expires.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews the lease. It fails with NotFound if the lease has expired.
	KeepAlive(ctx context.Context, lease LeaseID) error
}

// VMRole states what a VM runs.
type VMRole string

// Roles of VMs.
const (
	RoleWorker VMRole = "worker"
	RoleEntry  VMRole = "entry"
)

// VM is an entry of the platform's VM list.
type VM struct {
	ID       string
	Role     VMRole
	Address  string // host:port of the worker service or of the peer listener
	Zone     ident.Zone
	Rack     ident.Rack
	Draining bool // the platform is about to remove the VM
}

// VMList is the platform's list of VMs. It may be out of date.
type VMList interface {
	List(ctx context.Context) ([]VM, error)
}

// WorkerClient calls one worker. If a call fails with StaleEpoch, NoCapacity, Draining, DeadlineExceeded, NotFound or
// Unavailable, it had no effect. If it fails with Interrupted, it may have taken effect.
type WorkerClient interface {
	// Claim requests the control lease. With StaleEpoch, the returned inventory contains only the highest epoch granted
	// and the holder of the lease.
	Claim(ctx context.Context, claim work.ClaimRequest) (work.Inventory, error)
	// Sync renews the control lease, acknowledges outcomes and waits up to the given time for new outcomes.
	Sync(ctx context.Context, sync work.SyncRequest) (work.SyncReply, error)
	// Release gives up the control lease.
	Release(ctx context.Context, epoch ident.Epoch) error
	// Start starts an attempt. It is idempotent.
	Start(ctx context.Context, start work.StartRequest) error
	// Stop returns when the task is certainly not running. An outcome that the task reached before is delivered by Sync.
	Stop(ctx context.Context, epoch ident.Epoch, task ident.TaskID) error
	// Checkpoint saves the progress of the task, stops it, and returns the checkpoint from which it can resume.
	Checkpoint(ctx context.Context, epoch ident.Epoch, task ident.TaskID) ([]byte, error)
	// Throttle limits the resources of a task to the given size.
	Throttle(ctx context.Context, epoch ident.Epoch, task ident.TaskID, limit resource.Vector) error
	// Reset closes an unresponsive connection. The next call opens a new one.
	Reset()
	// Close closes the connections.
	Close() error
}

// WorkerDialer returns a client for the worker at an address, without connecting to it.
type WorkerDialer interface {
	Dial(worker ident.WorkerID, address string) WorkerClient
}
