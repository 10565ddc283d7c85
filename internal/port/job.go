package port

import (
	"context"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/job"
	"skylarkstall/internal/domain/journal"
	"skylarkstall/internal/domain/work"
)

// Submit requests the home of a job's id to accept the job.
type Submit struct {
	Work   ident.WorkID
	Digest uint64 // digest of the caller's request, to distinguish a retry from a reused id
	Job    journal.JobSpec
}

// QueryJob requests the status of a job from its home.
type QueryJob struct {
	Work    ident.WorkID
	Version uint64        // with Wait: the last version that the caller has seen
	Wait    time.Duration // maximum time to wait for a different version; 0 to return at once
	From    uint32        // index of the first task whose result is returned; 0 for none
}

// Reserve requests an owner to reserve capacity for tasks of a gang. The tasks differ only in their index.
type Reserve struct {
	Partition ident.PartitionID
	Home      ident.HomeEpoch
	Spec      work.Spec // specification of every task; the payload is not needed
	Indexes   []uint32  // tasks to reserve for; the owner reserves for as many as fit, in this order
}

// Release requests an owner to cancel its reservations for attempts of a gang up to the given one.
type Release struct {
	Gang    ident.WorkID
	Attempt ident.Attempt
}

// JobPeers contains the calls of Peers for jobs.
type JobPeers interface {
	// Submit returns when the job is recorded. It is idempotent: submitting the same job again returns its status.
	Submit(ctx context.Context, to ident.ProcessID, call Submit) (job.Status, error)
	QueryJob(ctx context.Context, to ident.ProcessID, call QueryJob) (job.Status, error)
	// CancelWork cancels a job or a request. It returns when the cancellation is recorded.
	CancelWork(ctx context.Context, to ident.ProcessID, id ident.WorkID) (job.Status, error)
	// Reserve returns the indexes for which capacity is reserved. Reservations expire.
	Reserve(ctx context.Context, to ident.ProcessID, call Reserve) ([]uint32, error)
	Release(ctx context.Context, to ident.ProcessID, call Release) error
}

// JobHandler contains the handlers of PeerHandler for jobs.
type JobHandler interface {
	HandleSubmit(ctx context.Context, call Submit) (job.Status, error)
	HandleQueryJob(ctx context.Context, call QueryJob) (job.Status, error)
	HandleCancelWork(ctx context.Context, id ident.WorkID) (job.Status, error)
	HandleReserve(ctx context.Context, call Reserve) ([]uint32, error)
	HandleRelease(ctx context.Context, call Release) error
}
