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

// Condition is true if the key has the revision. Revision 0 means that the key does not exist.
type Condition struct {
	Key      string
	Revision ident.Revision
}

// Write sets a key in a transaction. If it names a lease, the key is deleted when the lease expires.
type Write struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// Txn is an atomic transaction. It has at most MaxTxnOps conditions, writes and deletions in total.
type Txn struct {
	If      []Condition
	Writes  []Write
	Deletes []string
}

// MaxTxn is the maximum number of conditions, writes and deletions in a transaction.
const MaxTxn = 32

// Committed is the result of a transaction.
type Committed struct {
	Revision ident.Revision
	Current  []Entry // with Conflict: the current entries of the keys in the conditions, without absent keys
}

// Ledger is a key-value store with transactions. Calls that fail with Unavailable or Overloaded have no effect. Calls that
// fail with Interrupted may have taken effect, or may take effect seconds later if their conditions are true then.
type Ledger interface {
	// Get fails with NotFound if the key does not exist.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns the entries below prefix, and a revision from which a watch delivers every later change.
	List(ctx context.Context, prefix string) ([]Entry, ident.Revision, error)
	// Watch waits up to the given time for changes below prefix after the revision. It returns the revision from which to
	// continue, and fails with Compacted if the history after the given revision has been compacted.
	Watch(
		ctx context.Context, prefix string, after ident.Revision, wait time.Duration,
	) ([]Entry, ident.Revision, error)
	// Commit fails with Conflict if a condition is false, and with NotFound if a lease has expired.
	Commit(ctx context.Context, txn Txn) (Committed, error)
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive fails with NotFound if the lease has expired.
	KeepAlive(ctx context.Context, lease LeaseID) error
}

// Target identifies a worker and its address.
type Target struct {
	Worker  ident.WorkerID
	Address string
}

// StartOrder is a request to start a run.
type StartOrder struct {
	workflow.RunRef
	Payload    string
	Checkpoint string
	Ticket     string
	Token      ident.Epoch
	HoldUntil  time.Duration // end of the lease on the worker's clock
}

// HoldOrder is a request to renew the lease of all runs on a worker, to acknowledge ended runs, and to list the runs.
type HoldOrder struct {
	Token     ident.Epoch
	HoldUntil time.Duration // end of the lease on the worker's clock; 0 does not renew it
	LastSeen  uint64        // acknowledges ended runs up to this number, so that the worker drops them
	Wait      time.Duration // maximum time to wait for a run to end
}

// RunReport is a run that a worker reports as running.
type RunReport struct {
	workflow.RunRef
	Checkpoint string
	Progress   int   // percentage of work done; of a long-running task, 100 while it is working
	Reading    int64 // long-running tasks: tail latency of responses in ms; others: CPU in millicores
}

// EndReport is a run that a worker reports as ended.
type EndReport struct {
	Number uint64 // starts at 1 when the worker starts
	workflow.End
}

// HoldReport is a worker's reply to a HoldOrder.
type HoldReport struct {
	Clock   time.Duration // time since the worker started, by its own clock
	Born    int64         // start time of the worker in Unix milliseconds; changes when it restarts
	Running []RunReport
	Ended   []EndReport
}

// Runner sends requests to workers. The following errors mean that the request had no effect: StaleEpoch (the worker has
// seen a higher token), Superseded (a run of the task with the same or a higher number has ended there), DeadlineExceeded
// (the lease has expired), NoCapacity, Unauthorized (the ticket is invalid), Invalid, Unavailable, and NotFound (another
// worker responds at the address, so the requested one no longer exists). Interrupted means that the request may have taken
// effect, or may take effect later.
type Runner interface {
	// Start returns the time on the worker's clock.
	Start(ctx context.Context, to Target, request StartOrder) (time.Duration, error)
	Stop(ctx context.Context, to Target, run workflow.RunRef, token ident.Epoch) error
	// Hold returns the running and ended runs of the worker.
	Hold(ctx context.Context, to Target, request HoldOrder) (HoldReport, error)
	// Pace limits the speed of a run to a percentage.
	Pace(ctx context.Context, to Target, pace pool.Pace, token ident.Epoch) error
}

// Adviser calls the permit service to determine which workers may run a step. It returns a ticket for each permitted
// worker. The validity of the tickets is counted from before the call was sent.
type Adviser interface {
	Advise(ctx context.Context, step workflow.StepRef, workers []ident.WorkerID) (map[ident.WorkerID]permit.Ticket, error)
}

// Accepted is a job that has been accepted from a caller.
type Accepted struct {
	Spec  workflow.Spec
	Queue route.Queue // the queue's policy when the job was accepted
	At    time.Time   // time of acceptance
}

// Leader identifies the leader of the cell and its term.
type Leader struct {
	Process     ident.ProcessID
	Address     string // host:port for other processes
	Incarnation uint64
	Term        uint64
}

// Liveness is the reason why Follow returned.
type Liveness uint8

// Reasons why Follow returned.
const (
	LeaderUnclear Liveness = iota // no response; the leader may be running
	LeaderGone                    // connections to its address are refused, or another process responds there
	LeaderLeft                    // an open session broke
)

// Follower connects to the leader.
type Follower interface {
	// Follow keeps a session to the leader until it breaks or the context ends.
	Follow(ctx context.Context, leader Leader) Liveness
	// AskLeader queries other processes for the current leader, and returns false if none knows it.
	AskLeader(ctx context.Context) (Leader, bool)
}

// Records encodes and decodes the records of a cell in the store. Decoding fails with Invalid.
type Records interface {
	EncodeJob(job Accepted) []byte
	DecodeJob(raw []byte) (Accepted, error)
	EncodeProgress(p workflow.Progress) []byte
	DecodeProgress(raw []byte) (workflow.Progress, error)
	EncodeLeader(l Leader) []byte
	DecodeLeader(raw []byte) (Leader, error)
	EncodeWorkers(workers []Enlisted) []byte
	// DecodeWorkers decodes the record of workers, given its revision.
	DecodeWorkers(raw []byte, revision ident.Revision) ([]Enlisted, error)
}

// StoreJob returns a transaction that stores a job if its id is not stored yet.
func StoreJob(records Records, job Accepted) Txn {
	key := JobPrefix + string(job.Spec.ID)
	return Txn{If: []Condition{{Key: key}}, Writes: []Write{{Key: key, Value: records.EncodeJob(job)}}}
}

// Keys and key prefixes of a cell's records in the store.
const (
	JobPrefix      = "job/"         // followed by the job's id: the accepted job
	ProgressPrefix = "run/"         // followed by the job's id: the progress of the job
	LeaderKey      = "cell/leader"  // the leader, bound to a lease
	TermKey        = "cell/term"    // number of the latest term
	WorkersKey     = "cell/workers" // workers to which the leader may have sent requests
)

// Enlisted is an entry of the record of workers to which the leader may have sent requests.
type Enlisted struct {
	pool.Entry
	Closed   bool           // the worker gets no new runs
	ClosedAt ident.Revision // revision of the record that first marked it so
}

// CellState is the state of a process for its metrics. Fields about workers, runs and jobs are set only on the leader.
type CellState struct {
	Leads           bool
	ConfigVersion   uint64
	LogLinesDropped int64
	Workers         int         // workers that the leader controls
	Runs            int         // runs on these workers
	Doubtful        int         // starts that the worker has not confirmed
	Unrecorded      int         // jobs with progress that is not stored yet
	Waiting         map[int]int // tasks that are ready to start, by priority
}

// Scheduler is the leader's interface for jobs. Calls fail with NotReady if there is no leader.
type Scheduler interface {
	// Record stores a job on behalf of a process that cannot reach the store.
	Record(ctx context.Context, job Accepted) error
	// Notify announces a stored job, so that it can start before the leader next reads the store.
	Notify(ctx context.Context, job Accepted) error
	// State fails with NotFound if the leader does not know the job.
	State(ctx context.Context, queue string, id workflow.ID) (workflow.State, error)
	// Cancel returns when the cancellation is stored. It fails with NotFound if the job does not exist.
	Cancel(ctx context.Context, queue string, id workflow.ID) error
	// Waiting returns the number of jobs in the queue of which no task has started.
	Waiting(ctx context.Context, queue string) (int, error)
	// Config returns the newest configuration known to the leader, as the operator wrote it.
	Config(ctx context.Context) ([]byte, error)
}
