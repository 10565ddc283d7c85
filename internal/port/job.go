package port

import (
	"context"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/job"
	"skylarkstall/internal/domain/journal"
	"skylarkstall/internal/domain/work"
)

// Submit asks the home of a job's id to accept the job.
type Submit struct {
	Work   ident.WorkID
	Digest uint64 // of the caller's content, to tell a retry from a reused id
	Job    journal.JobSpec
}

// QueryJob asks the home for the status of a job.
type QueryJob struct {
	Work    ident.WorkID
	Version uint64        // with a Wait: the version that the caller knows
	Wait    time.Duration // how long to wait for another version; 0 to return at once
	From    uint32        // index of the first task to return the result of; 0 for none
}

// Reserve asks an owner to hold room for tasks of a gang, which differ only in their index.
type Reserve struct {
	Partition ident.PartitionID
	Home      ident.HomeEpoch
	Spec      work.Spec // of every task; the payload is not needed
	Indexes   []uint32  // the owner holds room for as many as fit, from the first one on
}

// Release asks an owner to give up the room that it holds for a gang, up to the attempt.
type Release struct {
	Gang    ident.WorkID
	Attempt ident.Attempt
}

// JobPeers is the part of Peers for jobs.
type JobPeers interface {
	// Submit returns once the job is recorded. The same job submitted again returns its status.
	Submit(ctx context.Context, to ident.ProcessID, call Submit) (job.Status, error)
	QueryJob(ctx context.Context, to ident.ProcessID, call QueryJob) (job.Status, error)
	// CancelWork cancels a job or a request. It returns once the cancellation is recorded.
	CancelWork(ctx context.Context, to ident.ProcessID, id ident.WorkID) (job.Status, error)
	// Reserve returns the indexes for which room is held until the expiry of reservations.
	Reserve(ctx context.Context, to ident.ProcessID, call Reserve) ([]uint32, error)
	Release(ctx context.Context, to ident.ProcessID, call Release) error
}

// JobHandler is the part of PeerHandler for jobs.
type JobHandler interface {
	HandleSubmit(ctx context.Context, call Submit) (job.Status, error)
	HandleQueryJob(ctx context.Context, call QueryJob) (job.Status, error)
	HandleCancelWork(ctx context.Context, id ident.WorkID) (job.Status, error)
	HandleReserve(ctx context.Context, call Reserve) ([]uint32, error)
	HandleRelease(ctx context.Context, call Release) error
}
