package port

import (
	"context"
	"time"

	"skylarkstall/internal/domain/fleet"
	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/membership"
	"skylarkstall/internal/domain/timeline"
	"skylarkstall/internal/domain/work"
)

// Execute asks the home of a request id to run the request and return its outcome.
type Execute struct {
	Spec   work.Spec
	Digest uint64 // of the caller's content, to tell a retry from a reused id
}

// Place asks an owner to run one attempt on one of its workers and to return its outcome.
type Place struct {
	Attach    bool // only wait for an attempt that the owner holds; NotFound when it holds none
	Reserved  bool // start in the room that a Reserve of the same attempt holds; NoCapacity when it has expired
	Partition ident.PartitionID
	Home      ident.HomeEpoch
	Spec      work.Spec
}

// TakeHome tells an owner that the sender is the home of a partition from now on.
type TakeHome struct {
	Partition ident.PartitionID
	Home      ident.HomeEpoch
}

// TakeHomeReply is what an owner knows of a partition. It is empty but for Highest when the owner has seen a higher home epoch
// than the caller's.
type TakeHomeReply struct {
	HighestEpoch ident.HomeEpoch
	Tasks        []HeldAttempt
	Workers      []ident.WorkerID // owned by the process
	Unreachable  []ident.WorkerID // not reached by the process for the task lease bound
}

// HeldAttempt is an attempt that waits or runs at an owner.
type HeldAttempt struct {
	Task    ident.TaskID
	Attempt ident.Attempt
	Worker  ident.WorkerID // empty while the task waits
}

// AttemptReport tells a home of an attempt that no call of the home waits for.
type AttemptReport struct {
	Process ident.ProcessID
	Running []HeldAttempt
	Ended   []work.Outcome
}

// Heartbeat is what processes tell each other every second.
type Heartbeat struct {
	Peer   membership.Peer
	Digest fleet.Digest
}

// Document is a change of a document as the store holds it. It may be one that the sender refused.
type Document struct {
	Name     string // of its team, or of the document of cell quotas
	Source   []byte
	Revision ident.Revision
	Deleted  bool
}

// DocumentPage is a page of the answer to a request for documents.
type DocumentPage struct {
	Documents []Document     // in the order of their revisions
	Names     []string       // of all documents that exist at the revision
	Revision  ident.Revision // the store's revision up to which the sender is complete
	Complete  bool           // no further page follows
}

// Status is one process's part of the cell report.
type Status struct {
	Heartbeat  Heartbeat
	Ready      bool
	Started    time.Time
	Partitions []ident.PartitionID
	Workers    []WorkerStatus
}

// WorkerStatus is a worker in a cell report.
type WorkerStatus struct {
	Row     fleet.WorkerView
	Epoch   ident.Epoch
	Running int
	Usable  bool
}

// Peers calls other processes of the cell. Calls fail with Unavailable when nothing was sent and with Interrupted
// when a call broke off; otherwise with the error that the peer returned.
type Peers interface {
	Execute(ctx context.Context, to ident.ProcessID, call Execute) (work.Outcome, error)
	Place(ctx context.Context, to ident.ProcessID, call Place) (work.Outcome, error)
	TakeHome(ctx context.Context, to ident.ProcessID, call TakeHome) (TakeHomeReply, error)
	Report(ctx context.Context, to ident.ProcessID, call AttemptReport) error
	// Cancel stops tasks and returns those that the owner does not hold: they have ended, or are still on their way
	// to it.
	Cancel(ctx context.Context, to ident.ProcessID, tasks []ident.TaskID) ([]ident.TaskID, error)
	AckOutcomes(ctx context.Context, to ident.ProcessID, tasks []ident.TaskID) error
	Documents(ctx context.Context, to ident.ProcessID, after ident.Revision) (DocumentPage, error)
	Events(ctx context.Context, to ident.ProcessID, filter timeline.Filter) ([]timeline.Event, error)
	Status(ctx context.Context, to ident.ProcessID) (Status, error)
	JobPeers
}

// PeerHandler answers the calls of other processes.
type PeerHandler interface {
	HandleExecute(ctx context.Context, call Execute) (work.Outcome, error)
	HandlePlace(ctx context.Context, call Place) (work.Outcome, error)
	HandleTakeHome(ctx context.Context, call TakeHome) (TakeHomeReply, error)
	HandleReport(ctx context.Context, call AttemptReport) error
	HandleCancel(ctx context.Context, tasks []ident.TaskID) ([]ident.TaskID, error)
	HandleAckOutcomes(ctx context.Context, tasks []ident.TaskID) error
	HandleDocuments(ctx context.Context, after ident.Revision) (DocumentPage, error)
	HandleEvents(ctx context.Context, filter timeline.Filter) ([]timeline.Event, error)
	HandleStatus(ctx context.Context) (Status, error)
	JobHandler
}
