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

// MaxTxn bounds the parts of a transaction.
const MaxTxn = 32

// Committed is the answer to a transaction.
type Committed struct {
	Revision ident.Revision
	Current  []Entry // with Conflict: the keys of the conditions as they are; absent keys are left out
}

// Ledger is a key-value service with transactions. Calls that fail with Unavailable or Overloaded have done nothing.
// Those that fail with Interrupted may have taken effect, or may take effect seconds later if their conditions hold then.
type Ledger interface {
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
	Commit(ctx context.Context, txn Txn) (Committed, error)
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive fails with NotFound when the lease has ended.
	KeepAlive(ctx context.Context, lease LeaseID) error
}

// Target names one worker at an address.
type Target struct {
	Worker  ident.WorkerID
	Address string
}

// StartOrder starts a run.
type StartOrder struct {
	workflow.RunRef
	Payload    string
	Checkpoint string
	Ticket     string
	Token      ident.Epoch
	HoldUntil  time.Duration // on the worker's clock
}

// HoldOrder prolongs the hold of everything that runs on a worker, and looks at it.
type HoldOrder struct {
	Token     ident.Epoch
	HoldUntil time.Duration // on the worker's clock; 0 leaves the hold as it is
	LastSeen  uint64        // ends up to this number are forgotten
	Wait      time.Duration // for an end
}

// RunReport is a run that a worker lists as running.
type RunReport struct {
	workflow.RunRef
	Checkpoint string
	Progress   int   // percent of the work that is done; of a long-running task 100 while it is at work
	Reading    int64 // of a run that serves: the tail of its response times in ms; of others: thousandths of a core
}

// EndReport is an end that a worker lists.
type EndReport struct {
	Number uint64 // counts from 1 in each life of the worker
	workflow.End
}

// HoldReport is a worker's answer to a look.
type HoldReport struct {
	Clock   time.Duration // since the worker's start, by its clock
	Born    int64         // Unix milliseconds of the worker's start
	Running []RunReport
	Ended   []EndReport
}

// Runner gives orders to workers. Refusals mean that nothing was done: StaleEpoch for a lower token than the worker
// has seen, Superseded for a run that is not higher than one that ended there, DeadlineExceeded for a hold that has run
// out, NoCapacity, Unauthorized for a ticket, Invalid, Unavailable, and NotFound when another worker answers at the
// address, so that this one is over. Interrupted means that the order may have been
// carried out, or may be carried out later.
type Runner interface {
	// Start returns the reading of the worker's clock.
	Start(ctx context.Context, to Target, order StartOrder) (time.Duration, error)
	Stop(ctx context.Context, to Target, run workflow.RunRef, token ident.Epoch) error
	Hold(ctx context.Context, to Target, order HoldOrder) (HoldReport, error)
	Pace(ctx context.Context, to Target, pace pool.Throttle, token ident.Epoch) error
}

// Adviser asks the service for permits which workers may run a step. The tickets of the answer are valid from before
// the call was sent.
type Adviser interface {
	Advise(ctx context.Context, step workflow.StepRef, workers []ident.WorkerID) (map[ident.WorkerID]permit.Ticket, error)
}

// Accepted is a job that the store holds.
type Accepted struct {
	Spec  workflow.Spec
	Queue route.Queue // as it was when the job was accepted
	At    time.Time
}

// Leader is who leads the cell.
type Leader struct {
	Process     ident.ProcessID
	Address     string // host:port for other processes
	Incarnation uint64
	Term        uint64
}

// Liveness tells what a try to reach the leader has shown.
type Liveness uint8

// What a try to reach the leader has shown.
const (
	LeaderUnclear Liveness = iota // no answer: it may live
	LeaderGone                    // nothing listens at its address, or another process answers there
	LeaderLeft                    // a session was open and broke off
)

// Follower keeps a session to the leader until it breaks.
type Follower interface {
	Follow(ctx context.Context, leader Leader) Liveness
	// AskLeader asks other processes who leads, and reports false when none knows.
	AskLeader(ctx context.Context) (Leader, bool)
}

// Records encodes what a cell keeps in the store. Decoding fails with Invalid.
type Records interface {
	EncodeJob(job Accepted) []byte
	DecodeJob(raw []byte) (Accepted, error)
	EncodeProgress(p workflow.Progress) []byte
	DecodeProgress(raw []byte) (workflow.Progress, error)
	EncodeLeader(l Leader) []byte
	DecodeLeader(raw []byte) (Leader, error)
	EncodeWorkers(workers []Enlisted) []byte
	// DecodeWorkers reads the record that has the revision.
	DecodeWorkers(raw []byte, revision ident.Revision) ([]Enlisted, error)
}

// StoreJob returns the transaction that stores a job unless it is there.
func StoreJob(records Records, job Accepted) Txn {
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

// Enlisted is a worker of the record of workers that the leader gives orders to.
type Enlisted struct {
	pool.WorkerInfo
	Closed   bool           // it gets no further orders
	ClosedAt ident.Revision // of the record that closed it
}

// CellState is what a process shows of itself.
type CellState struct {
	Leads           bool
	ConfigVersion   uint64
	LogLinesDropped int64
	Workers         int         // that the leader holds
	Runs            int         // on them
	Doubtful        int         // starts whose fate is open
	Unrecorded      int         // jobs whose progress is not recorded
	Waiting         map[int]int // tasks to start, by priority
}

// Scheduler answers for the jobs of the cell. Calls that fail with NotReady found no leader.
type Scheduler interface {
	// Record stores a job on behalf of a process that does not reach the store itself.
	Record(ctx context.Context, job Accepted) error
	// Notify tells of a job that the store holds, so that it starts before the next reading of the store.
	Notify(ctx context.Context, job Accepted) error
	// State fails with NotFound for a job that the leader does not know.
	State(ctx context.Context, queue string, id workflow.ID) (workflow.State, error)
	// Cancel returns once the cancellation is stored. It fails with NotFound for a job that does not exist.
	Cancel(ctx context.Context, queue string, id workflow.ID) error
	// Waiting returns the number of a queue's jobs of which no task has started.
	Waiting(ctx context.Context, queue string) (int, error)
	// Config returns the newest configuration that the leader knows, as the operator wrote it.
	Config(ctx context.Context) ([]byte, error)
}
