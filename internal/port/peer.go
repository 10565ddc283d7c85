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

// Execute requests the home of a request, which is the home of the partition of its id, to run it and return its outcome.
type Execute struct {
	Spec   work.Spec
	Digest uint64 // digest of the caller's request, to distinguish a retry from a reused id
}

// Place requests an owner to run one attempt on one of its workers and to return its outcome.
type Place struct {
	Attach    bool // only wait for an attempt that the owner already holds; fails with NotFound if it holds none
	Reserved  bool // use the reservation of the same attempt; fails with NoCapacity if it has expired
	Partition ident.PartitionID
	Home      ident.HomeEpoch
	Spec      work.Spec
}

// TakeHome informs an owner that the sender has become the home of a partition.
type TakeHome struct {
	Partition ident.PartitionID
	Home      ident.HomeEpoch
}

// TakeHomeReply is an owner's reply to TakeHome: its state of the partition. If the owner has seen a higher home epoch than
// the caller's, only HighestEpoch is set.
type TakeHomeReply struct {
	HighestEpoch ident.HomeEpoch // highest home epoch that the owner has seen
	Tasks        []HeldAttempt
	Workers      []ident.WorkerID // workers owned by the process
	Unreachable  []ident.WorkerID // workers that the process has not reached for the task lease bound
}

// HeldAttempt is an attempt that is queued or running at an owner.
type HeldAttempt struct {
	Task    ident.TaskID
	Attempt ident.Attempt
	Worker  ident.WorkerID // empty while the task is queued
}

// AttemptReport informs a home about attempts for which none of its calls is waiting.
type AttemptReport struct {
	Process ident.ProcessID
	Running []HeldAttempt
	Ended   []work.Outcome
}

// Heartbeat is the state that processes send to each other every second.
type Heartbeat struct {
	Peer   membership.Peer
	Digest fleet.Digest
}

// Document is a version of a document in the store, including one that the sender rejected.
type Document struct {
	Name     string // name of the team, or of the document with the quotas of the cell
	Source   []byte
	Revision ident.Revision
	Deleted  bool
}

// DocumentPage is one page of documents.
type DocumentPage struct {
	Documents []Document     // changed documents in revision order
	Names     []string       // names of all documents that exist at the revision
	Revision  ident.Revision // revision of the store up to which the sender has all changes
	Complete  bool           // this is the last page
}

// Status is the part of one process in the cell report.
type Status struct {
	Heartbeat  Heartbeat
	Ready      bool
	Started    time.Time
	Partitions []ident.PartitionID
	Workers    []WorkerStatus
}

// WorkerStatus is the status of a worker in the cell report.
type WorkerStatus struct {
	View    fleet.WorkerView
	Epoch   ident.Epoch
	Running int
	Usable  bool
}

// Peers calls other processes of the cell. Calls fail with Unavailable if nothing was sent, with Interrupted if the
// connection broke during the call, and otherwise with the error that the peer returned.
type Peers interface {
	Execute(ctx context.Context, to ident.ProcessID, call Execute) (work.Outcome, error)
	Place(ctx context.Context, to ident.ProcessID, call Place) (work.Outcome, error)
	TakeHome(ctx context.Context, to ident.ProcessID, call TakeHome) (TakeHomeReply, error)
	Report(ctx context.Context, to ident.ProcessID, call AttemptReport) error
	// Cancel stops tasks and returns those that the owner does not hold: they have ended, or the call that places them
	// has not arrived yet.
	Cancel(ctx context.Context, to ident.ProcessID, tasks []ident.TaskID) ([]ident.TaskID, error)
	// AckOutcomes informs the owner that the home has processed the outcomes of the tasks, so that the owner can drop them.
	AckOutcomes(ctx context.Context, to ident.ProcessID, tasks []ident.TaskID) error
	Documents(ctx context.Context, to ident.ProcessID, after ident.Revision) (DocumentPage, error)
	Events(ctx context.Context, to ident.ProcessID, filter timeline.Filter) ([]timeline.Event, error)
	Status(ctx context.Context, to ident.ProcessID) (Status, error)
	JobPeers
}

// PeerHandler handles the calls of other processes.
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
