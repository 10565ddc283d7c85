package port

import (
	"context"
	"time"

	"skylarkstall/internal/domain/account"
	"skylarkstall/internal/domain/admission"
	"skylarkstall/internal/domain/fitness"
	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/objective"
	"skylarkstall/internal/domain/permit"
	"skylarkstall/internal/domain/pool"
	"skylarkstall/internal/domain/resource"
	"skylarkstall/internal/domain/route"
	"skylarkstall/internal/domain/workflow"
	"skylarkstall/internal/fault"
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

// MaxTxnOps is the maximum number of conditions, writes and deletions in a transaction.
const MaxTxnOps = 32

// CommitResult is the result of a transaction.
type CommitResult struct {
	Revision ident.Revision
	Current  []Entry // with Conflict: the current entries of the keys in the conditions, without absent keys
}

// Page is a part of the entries below a prefix, in the order of their keys.
type Page struct {
	Entries []Entry
	AsOf    ident.Revision // revision of the store when the page was read
	More    bool           // further entries follow the last one
}

// TxnStore is a key-value store with transactions. Calls that fail with Unavailable or Overloaded have no effect. Calls that
// fail with Interrupted may have taken effect, or may take effect seconds later if their conditions are true then.
type TxnStore interface {
	// Get fails with NotFound if the key does not exist.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns the entries below prefix, and a revision from which a watch delivers every later change.
	List(ctx context.Context, prefix string) ([]Entry, ident.Revision, error)
	// ListPage returns the entries below prefix that follow the key after, as many as the store sends at once.
	ListPage(ctx context.Context, prefix, after string) (Page, error)
	// Watch waits up to the given time for changes below prefix after the revision. It returns the revision from which to
	// continue, and fails with Compacted if the history after the given revision has been compacted.
	Watch(
		ctx context.Context, prefix string, after ident.Revision, wait time.Duration,
	) ([]Entry, ident.Revision, error)
	// Commit fails with Conflict if a condition is false, and with NotFound if a lease has expired.
	Commit(ctx context.Context, txn Txn) (CommitResult, error)
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive fails with NotFound if the lease has expired.
	KeepAlive(ctx context.Context, lease LeaseID) error
	// EndLease deletes the keys that are bound to the lease. It fails with NotFound if the lease has ended before.
	EndLease(ctx context.Context, lease LeaseID) error
}

// Target identifies a worker and its address.
type Target struct {
	Worker  ident.WorkerID
	Address string
}

// StartRequest is a request to start a run.
type StartRequest struct {
	workflow.RunRef
	Payload     string
	Checkpoint  string
	Ticket      string
	Token       ident.Epoch
	LeaseExpiry time.Duration // end of the lease on the worker's clock
}

// SyncRequest is a request to renew the lease of all runs on a worker, to acknowledge ended runs, and to list the runs.
type SyncRequest struct {
	Token       ident.Epoch
	LeaseExpiry time.Duration // end of the lease on the worker's clock; 0 does not renew it
	AckThrough  uint64        // acknowledges ended runs up to this number, so that the worker drops them
	ListedAt    time.Time     // when the latest answered sync was sent; nothing is acknowledged on a connection opened since, unless zero
	Wait        time.Duration // maximum time to wait for a run to end
}

// RunningRun is a run that a worker reports as running.
type RunningRun struct {
	workflow.RunRef
	Checkpoint  string
	Progress    int   // percentage of work done; of a long-running task, 100 while it is working
	Measurement int64 // long-running tasks: tail latency of responses in ms; others: CPU in millicores
}

// EndedRun is a run that a worker reports as ended.
type EndedRun struct {
	Number uint64 // sequence number; the first run that ends after the start of the worker has 1
	workflow.End
}

// SyncReply is a worker's reply to a SyncRequest.
type SyncReply struct {
	WorkerClock time.Duration // time since the worker started, by its own clock
	Incarnation int64         // start time of the worker in Unix milliseconds; changes when it restarts
	Running     []RunningRun
	Ended       []EndedRun
	MoreEnds    bool // further runs may have ended; they are listed once the first ones are acknowledged
	Withheld    bool // nothing was acknowledged, because the connection was opened after ListedAt
}

// RunClient sends requests to workers. The following errors mean that the request had no effect: StaleEpoch (the worker has
// seen a higher token), Superseded (a run of the task with the same or a higher number has ended there), DeadlineExceeded
// (the lease has expired), NoCapacity, Unauthorized (the ticket is invalid), Invalid, Unavailable, and NotFound (another
// worker responds at the address, so the requested one no longer exists). Interrupted means that the request may have taken
// effect, or may take effect later.
type RunClient interface {
	// Start returns the time on the worker's clock.
	Start(ctx context.Context, to Target, request StartRequest) (time.Duration, error)
	Stop(ctx context.Context, to Target, run workflow.RunRef, token ident.Epoch) error
	// Sync returns the running and ended runs of the worker.
	Sync(ctx context.Context, to Target, request SyncRequest) (SyncReply, error)
	// Throttle limits the speed of a run to a percentage.
	Throttle(ctx context.Context, to Target, throttle pool.Throttle, token ident.Epoch) error
}

// PermitClient calls the permit service to determine which workers may run a step. It returns a ticket for each permitted
// worker. The validity of the tickets is counted from before the call was sent.
type PermitClient interface {
	RequestPermits(
		ctx context.Context, step workflow.StepRef, workers []ident.WorkerID,
	) (map[ident.WorkerID]permit.Ticket, error)
}

// AcceptedJob is a job that has been accepted from a caller.
type AcceptedJob struct {
	Spec       workflow.Spec
	Queue      route.Queue // the queue's policy when the job was accepted
	Account    account.ID  // to which the job belongs; empty if it belongs to none
	Excess     bool        // the account had used up its share when the job was accepted, and there was no room for all
	AcceptedAt time.Time   // time of acceptance
	// Tombstone marks an id that was cancelled before a job was stored under it. A write of the job that is still on its way
	// must not take effect. A tombstone has no steps.
	Tombstone bool
	// KnownRefusal is the revision of the latest refusal of the id that was known when the caller's request arrived, or 0. The job is not
	// stored if the id was refused since. It is not part of the record.
	KnownRefusal ident.Revision
}

// MayBeRefused reports whether jobs like this one are refused when there is no room.
func (j *AcceptedJob) MayBeRefused() bool { return j.Account != "" || j.Queue.Objective.IsSet() }

// NewTombstone returns the tombstone of an id.
func NewTombstone(id workflow.ID, now time.Time) AcceptedJob {
	return AcceptedJob{Spec: workflow.Spec{ID: id}, AcceptedAt: now, Tombstone: true}
}

// Leader identifies the leader of the cell and its term.
type Leader struct {
	Process     ident.ProcessID
	Address     string // host:port for other processes
	Incarnation uint64
	Term        uint64
	// ElectionDelay is how long the process waits before it takes the vacant key as long as it does not know the shares of the others.
	// Processes that do not tell their share are compared by it.
	ElectionDelay time.Duration
	Share         fitness.Share // of a processor, as far as the process can use it
}

// FollowResult is the reason why Follow returned.
type FollowResult uint8

// Reasons why Follow returned.
const (
	LeaderUnreachable FollowResult = iota // no response; the leader may be running
	LeaderDead                            // most likely: its address refuses connections, or another process responds there
	LeaderSessionLost                     // an open session broke
	LeaderReplaced                        // it responds, but does not lead any more
)

// Follower connects to the leader.
type Follower interface {
	// Follow keeps a session to the leader until it breaks or the context ends.
	Follow(ctx context.Context, leader Leader) FollowResult
	// LargestShare returns the largest share of a processor among the processes that follow the leader, as this process last learned
	// it, and 0 if it knows of none.
	LargestShare() fitness.Share
	// DiscoverLeader queries other processes for the current leader, and returns false if none knows it.
	DiscoverLeader(ctx context.Context) (Leader, bool)
}

// FinishedJob is what remains of a job some time after it has finished.
type FinishedJob struct {
	Queue   route.QueueRef
	Account account.ID
	State   workflow.State
}

// RecordCodec encodes and decodes the records of a cell in the store. Decoding fails with Invalid.
type RecordCodec interface {
	EncodeJob(job AcceptedJob) []byte
	DecodeJob(raw []byte) (AcceptedJob, error)
	EncodeProgress(p workflow.Progress) []byte
	DecodeProgress(raw []byte) (workflow.Progress, error)
	EncodeFinished(job FinishedJob) []byte
	DecodeFinished(raw []byte) (FinishedJob, error)
	EncodeLeader(l Leader) []byte
	DecodeLeader(raw []byte) (Leader, error)
	EncodeWorkers(workers []WorkerRecord) []byte
	// DecodeWorkers decodes the record of workers, given its revision.
	DecodeWorkers(raw []byte, revision ident.Revision) ([]WorkerRecord, error)
}

// JobRef is a job as its caller names it.
type JobRef struct {
	Queue   route.QueueRef
	Account account.ID // of the caller; empty if the queue is public or the configuration has no accounts
	ID      workflow.ID
}

// Reaches reports whether the reference is to the stored job with its id: the job is in the queue, and its owner lets the caller reach it.
func (r JobRef) Reaches(queue route.QueueRef, owner account.ID) bool {
	return queue.Matches(r.Queue) && r.Account.CanReach(owner)
}

// StoredJob is what the store holds of a job.
type StoredJob struct {
	AcceptedJob
	Revision ident.Revision
	Finished *FinishedJob // set if only this remains of the job; the other fields are not set then
}

// CheckSubmission returns the outcome for a caller who submitted the job and finds this in the store. It fails with Conflict if the id is
// taken by a job of another account, and with Canceled if the job was cancelled before it was stored.
func (s StoredJob) CheckSubmission(job AcceptedJob) error {
	owner := s.Account
	if s.Finished != nil {
		owner = s.Finished.Account
	}
	switch {
	case !job.Account.CanReach(owner):
		return fault.New(fault.Conflict, "the id %s is taken by another job", job.Spec.ID)
	case s.Finished == nil && s.Tombstone:
		return fault.New(fault.Canceled, "job %s was cancelled before it was stored", job.Spec.ID)
	default:
		return nil
	}
}

// Keys and key prefixes of a cell's records in the store.
const (
	JobPrefix      = "job/"              // followed by the job's id: the accepted job
	ProgressPrefix = "run/"              // followed by the job's id: the progress of the job
	RefusedPrefix  = "refused/"          // followed by a job's id: the id was refused, bound to a lease
	FinishedPrefix = "done/"             // followed by the job's id: what remains of a finished job, in place of both
	LeaderKey      = "cell/leader"       // the leader, bound to a lease
	SuccessorKey   = "cell/successor"    // a process that is better suited to lead, bound to a lease
	TermKey        = "cell/term"         // number of the latest term
	EarlierTermKey = "cell/term/earlier" // for how long after the start of a term earlier leaders may have been active
	WorkersKey     = "cell/workers"      // workers to which the leader may have sent requests
)

// WorkerRecord is an entry of the record of workers to which the leader may have sent requests.
type WorkerRecord struct {
	pool.WorkerInfo
	Cordoned   bool           // the worker gets no new runs
	CordonedAt ident.Revision // revision of the record that first marked it so
	Fenced     bool           // no request to an earlier life has left a lease that lasts longer than one of the usual length granted now
}

// ProcessState is the state of a process for its metrics. Fields about workers, runs and jobs are set only on the leader.
type ProcessState struct {
	IsLeader          bool
	ConfigVersion     uint64
	ConfigAge         time.Duration // since the configuration was last confirmed as the newest; 0 if it never was
	DroppedLogLines   int64
	Workers           int                         // workers that the leader controls
	Runs              int                         // runs on these workers
	UnconfirmedStarts int                         // starts that the worker has not confirmed
	UnrecordedJobs    int                         // jobs with progress that is not stored yet
	WaitingTasks      map[int]int                 // tasks that are ready to start, by priority
	Queues            map[string]QueueState       // queues with tasks that are ready to start, by name
	PlacementBehind   bool                        // passes of placement leave waiting steps untried, or do not run
	LateFor           time.Duration               // for how long the leader has been late; 0 if it keeps up
	StartLimit        int                         // starts that may be in progress
	StartsInProgress  int                         // starts that were decided and whose request has not ended
	DroppedStarts     int                         // decisions of the term that were too old to be sent
	RoomWaits         map[int]time.Duration       // expected waits for room of new jobs, by priority; priorities with room may be missing
	StartRate         float64                     // starts per second that the leader is able to send, as far as it had to
	AskedRate         float64                     // tasks per second of the jobs that are submitted
	Shedding          map[int]admission.Shedding  // how new jobs are treated while the leader starts less than is asked, by priority
	Accounts          map[account.ID]AccountState // accounts with a limit of what they may run at once
	RackWaits         RackWaits
}

// RackWaits counts the waits of steps for the racks with their data that have ended in the term.
type RackWaits struct {
	Paid  int           // all tasks of the step have started
	Vain  int           // tasks of the step went elsewhere after all
	Saved time.Duration // by which the tasks of the waits that paid are done earlier than elsewhere, as predicted
	Lost  time.Duration // length of the waits in vain
}

// AccountState is what an account with a limit runs.
type AccountState struct {
	Used  resource.Vector // of all its runs, also of those that may have ended unnoticed
	Limit resource.Vector // a component of 0 is no limit
	Aside int             // steps that wait until something of the account ends
}

// QueueState is what waits in a queue.
type QueueState struct {
	WaitingTasks int                  // tasks that are ready to start
	OldestWait   time.Duration        // longest time for which tasks of a step have been ready to start
	Standings    [objective.Count]int // jobs with such tasks by what can still be had of them; none if the queue has no objective
	ExcessSteps  int                  // steps with such tasks that are behind others because their jobs are beyond the shares of their accounts
}

// PlacementPass describes one pass in which the leader tried to place waiting tasks.
type PlacementPass struct {
	Took  time.Duration
	Tried int // steps that the pass came to, also those of which nothing has changed since the last try
	Left  int // steps with tasks to start for which no time was left
}

// Scheduler is the leader's interface for jobs. Calls fail with NotReady if there is no leader.
type Scheduler interface {
	// StoreJob stores a job on behalf of a process that cannot reach the store. It fails with Conflict if the id is taken by a job of
	// another account, and with Canceled if the job was cancelled before.
	StoreJob(ctx context.Context, job AcceptedJob) error
	// Notify announces a stored job, so that it can start before the leader next reads the store.
	Notify(ctx context.Context, job AcceptedJob) error
	// State fails with NotFound if the leader does not know the job.
	State(ctx context.Context, job JobRef) (workflow.State, error)
	// Cancel returns when the cancellation is stored. It fails with NotFound if the job does not exist.
	Cancel(ctx context.Context, job JobRef) error
	// PendingJobs returns the number of jobs in the queue of which no task has started.
	PendingJobs(ctx context.Context, queue route.QueueRef) (int, error)
	// Admit decides whether a job may be stored. A job that is known is not refused.
	Admit(ctx context.Context, request admission.Request) (admission.Verdict, error)
}

// ConfigStatus describes the active configuration of a process.
type ConfigStatus struct {
	Version   uint64    // 0 if there is none
	Confirmed time.Time // when it was last confirmed as the newest, by the clock of the replica; zero if it never was
}

// Clock returns the present time. Values of one clock are comparable: it counts the time for which the machine is suspended, and does not
// follow steps of the time of day.
type Clock func() time.Time

// ConfigReplica is the copy of the configuration that a process exchanges with its peers.
type ConfigReplica interface {
	// Now returns the time of the clock by which evidence is dated.
	Now() time.Time
	// Current returns the status of the active configuration, and its source, which holds no keys.
	Current() (ConfigStatus, []byte)
	// Apply activates the configuration if it is newer than the active one.
	Apply(source []byte, from string)
	// Confirm records evidence of another process.
	Confirm(status ConfigStatus, from string)
}
