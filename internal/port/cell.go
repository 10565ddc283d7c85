package port

import (
	"context"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/permit"
	"skylarkstall/internal/domain/pool"
	"skylarkstall/internal/domain/route"
	"skylarkstall/internal/domain/workflow"
)

// Condition holds when the key has the revision; revision 0 means that the key does not exist.
type Condition struct {
	Key      string
	Revision ident.Revision
}

// Write is one change of a transaction. The key is deleted when the lease ends.
type Write struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// Txn is done as a whole or not at all. It has at most MaxTxn conditions, writes and deletions together.
type Txn struct {
	If      []Condition
	Writes  []Write
	Deletes []string
}

// MaxTxnOps bounds the parts of a transaction.
const MaxTxnOps = 32

// CommitResult is the answer to a transaction.
type CommitResult struct {
	Revision ident.Revision
	Current  []Entry // with Conflict: the keys of the conditions as they are; absent keys are left out
}

// TxnStore is a key-value service with transactions. Calls that fail with Unavailable or Overloaded have done nothing.
// Those that fail with Interrupted may have taken effect, or may take effect seconds later if their conditions hold then.
type TxnStore interface {
	// Get fails with NotFound when the key is absent.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns the entries below prefix, with a revision from which a watch misses nothing.
	List(ctx context.Context, prefix string) ([]Entry, ident.Revision, error)
	// Watch waits up to the given time for changes below prefix after the revision. It returns the revision to go on from
	// and fails with Compacted when the history is gone.
	Watch(
		ctx context.Context, prefix string, after ident.Revision, wait time.Duration,
	) ([]Entry, ident.Revision, error)
	// Commit fails with Conflict when a condition does not hold and with NotFound when a lease has ended.
	Commit(ctx context.Context, txn Txn) (CommitResult, error)
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive fails with NotFound when the lease has ended.
	KeepAlive(ctx context.Context, lease LeaseID) error
}

// Target names one worker at an address.
type Target struct {
	Worker  ident.WorkerID
	Address string
}

// StartRequest starts a run.
type StartRequest struct {
	workflow.RunRef
	Payload    string
	Checkpoint string
	Ticket     string
	Token      ident.Epoch
	LeaseUntil time.Duration // on the worker's clock
}

// SyncRequest prolongs the hold of everything that runs on a worker, and looks at it.
type SyncRequest struct {
	Token      ident.Epoch
	LeaseUntil time.Duration // on the worker's clock; 0 leaves the hold as it is
	AckThrough uint64        // ends up to this number are forgotten
	Wait       time.Duration // for an end
}

// RunningRun is a run that a worker lists as running.
type RunningRun struct {
	workflow.RunRef
	Checkpoint string
	Progress   int   // percent of the work that is done; of a long-running task 100 while it is at work
	Reading    int64 // of a run that serves: the tail of its response times in ms; of others: thousandths of a core
}

// EndedRun is an end that a worker lists.
type EndedRun struct {
	Number uint64 // counts from 1 in each life of the worker
	workflow.End
}

// SyncReply is a worker's answer to a look.
type SyncReply struct {
	WorkerClock time.Duration // since the worker's start, by its clock
	Incarnation int64         // Unix milliseconds of the worker's start
	Running     []RunningRun
	Ended       []EndedRun
}

// RunClient gives orders to workers. Refusals mean that nothing was done: StaleEpoch for a lower token than the worker
// has seen, Superseded for a run that is not higher than one that ended there, DeadlineExceeded for a hold that has run
// out, NoCapacity, Unauthorized for a ticket, Invalid, Unavailable, and NotFound when another worker answers at the
// address, so that this one is over. Interrupted means that the order may have been
// carried out, or may be carried out later.
type RunClient interface {
	// Start returns the reading of the worker's clock.
	Start(ctx context.Context, to Target, order StartRequest) (time.Duration, error)
	Stop(ctx context.Context, to Target, run workflow.RunRef, token ident.Epoch) error
	Sync(ctx context.Context, to Target, order SyncRequest) (SyncReply, error)
	Throttle(ctx context.Context, to Target, pace pool.Throttle, token ident.Epoch) error
}

// PermitClient asks the service for permits which workers may run a step. The tickets of the answer are valid from before
// the call was sent.
type PermitClient interface {
	RequestPermits(ctx context.Context, step workflow.StepRef, workers []ident.WorkerID) (map[ident.WorkerID]permit.Ticket, error)
}

// AcceptedJob is a job that the store holds.
type AcceptedJob struct {
	Spec       workflow.Spec
	Queue      route.Queue // as it was when the job was accepted
	AcceptedAt time.Time
}

// Leader is who leads the cell.
type Leader struct {
	Process     ident.ProcessID
	Address     string // host:port for other processes
	Incarnation uint64
	Term        uint64
}

// FollowResult tells what a try to reach the leader has shown.
type FollowResult uint8

// What a try to reach the leader has shown.
const (
	LeaderUnreachable FollowResult = iota // no answer: it may live
	LeaderDead                            // nothing listens at its address, or another process answers there
	LeaderSessionLost                     // a session was open and broke off
)

// Follower keeps a session to the leader until it breaks.
type Follower interface {
	Follow(ctx context.Context, leader Leader) FollowResult
	// DiscoverLeader asks other processes who leads, and reports false when none knows.
	DiscoverLeader(ctx context.Context) (Leader, bool)
}

// RecordCodec encodes what a cell keeps in the store. Decoding fails with Invalid.
type RecordCodec interface {
	EncodeJob(job AcceptedJob) []byte
	DecodeJob(raw []byte) (AcceptedJob, error)
	EncodeProgress(p workflow.Progress) []byte
	DecodeProgress(raw []byte) (workflow.Progress, error)
	EncodeLeader(l Leader) []byte
	DecodeLeader(raw []byte) (Leader, error)
	EncodeWorkers(workers []WorkerRecord) []byte
	// DecodeWorkers reads the record that has the revision.
	DecodeWorkers(raw []byte, revision ident.Revision) ([]WorkerRecord, error)
}

// CreateJobTxn returns the transaction that stores a job unless it is there.
func CreateJobTxn(records RecordCodec, job AcceptedJob) Txn {
	key := JobPrefix + string(job.Spec.ID)
	return Txn{If: []Condition{{Key: key}}, Writes: []Write{{Key: key, Value: records.EncodeJob(job)}}}
}

// Keys and prefixes of what a cell keeps in the store.
const (
	JobPrefix      = "job/"         // and the job's id: what the caller submitted
	ProgressPrefix = "run/"         // and the job's id: what has ended of it
	LeaderKey      = "cell/leader"  // who leads, under a lease
	TermKey        = "cell/term"    // number of the last term
	WorkersKey     = "cell/workers" // workers that the leader gives orders to
)

// WorkerRecord is a worker of the record of workers that the leader gives orders to.
type WorkerRecord struct {
	pool.WorkerInfo
	Cordoned   bool           // it gets no further orders
	CordonedAt ident.Revision // of the record that closed it
}

// ProcessState is what a process shows of itself.
type ProcessState struct {
	IsLeader          bool
	ConfigVersion     uint64
	DroppedLogLines   int64
	Workers           int         // that the leader holds
	Runs              int         // on them
	UnconfirmedStarts int         // starts whose fate is open
	UnrecordedJobs    int         // jobs whose progress is not recorded
	WaitingTasks      map[int]int // tasks to start, by priority
}

// Scheduler answers for the jobs of the cell. Calls that fail with NotReady found no leader.
type Scheduler interface {
	// StoreJob stores a job on behalf of a process that does not reach the store itself.
	StoreJob(ctx context.Context, job AcceptedJob) error
	// Notify tells of a job that the store holds, so that it starts before the next reading of the store.
	Notify(ctx context.Context, job AcceptedJob) error
	// State fails with NotFound for a job that the leader does not know.
	State(ctx context.Context, queue string, id workflow.ID) (workflow.State, error)
	// Cancel returns once the cancellation is stored. It fails with NotFound for a job that does not exist.
	Cancel(ctx context.Context, queue string, id workflow.ID) error
	// PendingJobs returns the number of a queue's jobs of which no task has started.
	PendingJobs(ctx context.Context, queue string) (int, error)
	// Config returns the newest configuration that the leader knows, as the operator wrote it.
	Config(ctx context.Context) ([]byte, error)
}
