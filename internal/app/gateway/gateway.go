// Package gateway serves the requests of callers: it stores submitted jobs, and forwards cancellations and queries to the
// leader.
package gateway

import (
	"context"
	"fmt"
	"log/slog"
	"runtime/debug"
	"time"

	"skylarkstall/internal/domain/account"
	"skylarkstall/internal/domain/route"
	"skylarkstall/internal/domain/workflow"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/pause"
	"skylarkstall/internal/port"
)

// Timeouts and retries of a caller's request.
const (
	storeTimeout  = 500 * time.Millisecond
	leaderTimeout = 700 * time.Millisecond
	retryInterval = 50 * time.Millisecond
	// notifyTimeout is how long the leader is told of a job. It covers a change of leaders.
	notifyTimeout       = 4 * time.Second
	notifyRetryInterval = 250 * time.Millisecond
	// responseMargin is the part of a caller's timeout that is reserved for sending the response.
	responseMargin = 150 * time.Millisecond
)

// Gateway serves the callers of one process.
type Gateway struct {
	store  port.TxnStore
	codec  port.RecordCodec
	leader port.Scheduler
	table  *route.Table
	log    *slog.Logger

	refusals   refusals
	withdrawal account.WithdrawalPolicy
	clock      port.Clock // by which the evidence of the table is dated
}

// New returns a Gateway that stores jobs with the codec and reaches the leader through the scheduler.
func New(
	store port.TxnStore, codec port.RecordCodec, leader port.Scheduler, table *route.Table, log *slog.Logger,
) *Gateway {
	return &Gateway{store: store, codec: codec, leader: leader, table: table, log: log, clock: time.Now}
}

// WithWithdrawal sets the bounds for withdrawn keys, and the clock by which the evidence of the table is dated. It is called before the
// first request.
func (g *Gateway) WithWithdrawal(policy account.WithdrawalPolicy, clock port.Clock) *Gateway {
	g.withdrawal, g.clock = policy, clock
	return g
}

// Route returns the queue that a request belongs to. It fails with NotReady before the first configuration is active, and
// with NotFound if the active one has no route for the request.
func (g *Gateway) Route(host, path string) (route.Queue, error) {
	queue, ok := g.table.Match(host, path)
	if ok {
		return queue, nil
	}
	config, confirmed := g.table.Active()
	version := config.Version
	if version == 0 {
		return route.Queue{}, fault.New(fault.NotReady, "no configuration is active yet")
	}
	age, _ := confirmed.Age(g.clock())
	g.log.Info("request without a route", "host", host, "path", path, "version", version,
		"confirmed_ms", age.Milliseconds(), "from", confirmed.Source)
	return route.Queue{}, fault.New(fault.NotFound, "configuration %d has no route for %s%s", version, host, path)
}

// Caller is who calls, and the queue that the call is for.
type Caller struct {
	Queue   route.Queue
	Account account.ID // empty if the queue is public, or the configuration has no accounts
}

func (c *Caller) jobRef(id workflow.ID) port.JobRef {
	return port.JobRef{Queue: c.Queue.Ref(), Account: c.Account, ID: id}
}

// Authenticate returns the caller who presents a key. It is called after the whole call has been read, because the call may have been
// sent until then. It fails with Unauthorized if the queue needs a key and no account of the active configuration has this one, and with
// NotReady while the configuration may be too old to tell.
func (g *Gateway) Authenticate(queue route.Queue, key string) (Caller, error) {
	config, evidence := g.table.Active()
	if queue.Public || config.Accounts.Len() == 0 && !g.withdrawal.IsSet() {
		return Caller{Queue: queue}, nil
	}
	id, known := config.Accounts.ByKey(key)
	now := g.clock()
	verdict := g.withdrawal.Decide(known, evidence, now)
	if verdict == account.Accepted {
		return Caller{Queue: queue, Account: id}, nil
	}
	age, _ := evidence.Age(now)
	g.log.Info("call refused", "kind", verdict.String(), "queue", queue.Name, "account", id, "version", config.Version,
		"confirmed_ms", age.Milliseconds(), "from", evidence.Source)
	if verdict == account.EvidenceTooOld {
		return Caller{}, fault.New(fault.NotReady, "configuration %d may be outdated", config.Version)
	}
	return Caller{}, fault.New(fault.Unauthorized, "no account of configuration %d has the key", config.Version)
}

// MaxBodyBytes returns the limit of a request body in the active configuration, or 0 if it sets none.
func (g *Gateway) MaxBodyBytes() int64 { return g.table.Config().MaxBodyBytes }

// Submit returns when the job is stored. Submitting the same id again is idempotent. StoreUnavailable means that the job
// was not stored and never runs, and so do QuotaExceeded and Overloaded, for want of room. Canceled means that it was cancelled and never
// runs, Interrupted that it is unknown whether it was stored, and Conflict that the id is taken by a job of another account.
func (g *Gateway) Submit(ctx context.Context, caller Caller, spec workflow.Spec) error {
	if err := spec.Validate(); err != nil {
		return err
	}
	job := port.AcceptedJob{Spec: spec, Queue: caller.Queue, Account: caller.Account, AcceptedAt: time.Now()}
	err := g.admit(ctx, &job)
	if err == nil {
		err = g.storeJob(ctx, job)
		g.noteRefusal(job, err)
	}
	g.log.Info("job submitted", "job", spec.ID, "queue", caller.Queue.Name, "account", caller.Account, "steps", len(spec.Steps), "version", g.table.Config().Version,
		"took_ms", time.Since(job.AcceptedAt).Milliseconds(), "kind", outcomeLabel(err), "error", err)
	return err
}

func outcomeLabel(err error) string {
	if err == nil {
		return "accepted"
	}
	return fault.KindOf(err).String()
}

// storeJob writes the job, either directly or through the leader. A write without a response may still take effect, so it
// is repeated under the same condition until its outcome is known.
func (g *Gateway) storeJob(ctx context.Context, job port.AcceptedJob) error {
	maybeStored := false
	for tries := 0; ; tries++ {
		err := g.storeDirectly(ctx, job)
		if err == nil {
			go g.notifyLeader(job)
			return nil
		}
		if isFinal(err) {
			return err
		}
		maybeStored = maybeStored || fault.Is(err, fault.Interrupted)
		err = g.storeThroughLeader(ctx, job)
		if err == nil || isFinal(err) {
			return err
		}
		maybeStored = maybeStored || fault.Is(err, fault.Interrupted)
		if !maybeStored {
			return fault.WrapAs(fault.StoreUnavailable, err, "job not stored")
		}
		if !hasTimeToRetry(ctx) || !pause.For(ctx, retryInterval) {
			return fault.WrapAs(fault.Interrupted, err, "unknown whether the job was stored")
		}
	}
}

// isFinal reports whether another attempt to store the job cannot end differently: it was cancelled, its id was refused, or its id is
// another account's.
func isFinal(err error) bool {
	return fault.Is(err, fault.Canceled) || fault.Is(err, fault.QuotaExceeded) || fault.Is(err, fault.Conflict)
}

func hasTimeToRetry(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()
	return !ok || time.Until(deadline) > storeTimeout
}

func (g *Gateway) storeDirectly(ctx context.Context, job port.AcceptedJob) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	stored, err := port.CreateJob(ctx, g.store, g.codec, job)
	if err != nil {
		return err
	}
	return stored.CheckSubmission(job)
}

func (g *Gateway) storeThroughLeader(ctx context.Context, job port.AcceptedJob) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return g.leader.StoreJob(ctx, job)
}

// notifyLeader tells the leader of a stored job. It repeats the call while there is no leader or no session to it, because
// a leader that has to read of the job from the store may do so seconds later.
func (g *Gateway) notifyLeader(job port.AcceptedJob) {
	ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
	defer cancel()
	defer func() {
		if r := recover(); r != nil { // of the leader in this process, which has ended its term
			g.log.Error("panic while the leader is told of a job", "job", job.Spec.ID, "panic", fmt.Sprint(r), "stack", string(debug.Stack()))
		}
	}()
	for {
		err := g.notifyOnce(ctx, job)
		if err == nil {
			return
		}
		if !pause.For(ctx, notifyRetryInterval) {
			g.log.Info("leader not told of a job; it will read of it", "job", job.Spec.ID, "error", err)
			return
		}
	}
}

func (g *Gateway) notifyOnce(ctx context.Context, job port.AcceptedJob) error {
	ctx, cancel := context.WithTimeout(ctx, leaderTimeout)
	defer cancel()
	return g.leader.Notify(ctx, job)
}

// State returns the state of a job. It fails with NotFound if the queue has no such job, or if it belongs to another account.
func (g *Gateway) State(ctx context.Context, caller Caller, id workflow.ID) (workflow.State, error) {
	leaderCtx, cancel := context.WithTimeout(ctx, leaderTimeout)
	state, err := g.leader.State(leaderCtx, caller.jobRef(id))
	cancel()
	if err == nil {
		return state, nil
	}
	return g.stateFromStore(ctx, caller.jobRef(id), err)
}

// stateFromStore reads the state of a job from the store after the leader failed with cause. NotFound is such a cause: the
// leader may not have read a stored job yet.
func (g *Gateway) stateFromStore(ctx context.Context, ref port.JobRef, cause error) (workflow.State, error) {
	storeCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	entry, err := g.store.Get(storeCtx, port.JobPrefix+string(ref.ID))
	if fault.Is(err, fault.NotFound) {
		return g.finishedState(storeCtx, ref)
	}
	if err != nil {
		return 0, err
	}
	job, err := g.codec.DecodeJob(entry.Value)
	if err != nil {
		return 0, err
	}
	if job.Tombstone || !ref.Reaches(job.Queue.Ref(), job.Account) {
		return 0, errNoSuchJob(ref)
	}
	if fault.Is(cause, fault.NotFound) {
		return workflow.Pending, nil
	}
	entry, err = g.store.Get(storeCtx, port.ProgressPrefix+string(ref.ID))
	if fault.Is(err, fault.NotFound) {
		state, err := g.finishedState(storeCtx, ref) // the job may have been archived since its record was read
		if fault.Is(err, fault.NotFound) {
			return workflow.Pending, nil
		}
		return state, err
	}
	if err != nil {
		return 0, err
	}
	progress, err := g.codec.DecodeProgress(entry.Value)
	return progress.State, err
}

func errNoSuchJob(ref port.JobRef) error {
	return fault.New(fault.NotFound, "job %s not found in queue %s", ref.ID, ref.Queue.Name)
}

// finishedState reads the state of an archived job from the store. It fails with NotFound if there is none that the caller can reach.
func (g *Gateway) finishedState(ctx context.Context, ref port.JobRef) (workflow.State, error) {
	entry, err := g.store.Get(ctx, port.FinishedPrefix+string(ref.ID))
	if err != nil {
		return 0, err
	}
	job, err := g.codec.DecodeFinished(entry.Value)
	if err == nil && !ref.Reaches(job.Queue, job.Account) {
		err = errNoSuchJob(ref)
	}
	return job.State, err
}

// Cancel returns when the cancellation is stored. It retries while there is no leader. It fails with NotFound if there is no such job, or
// if it belongs to another account.
func (g *Gateway) Cancel(ctx context.Context, caller Caller, id workflow.ID) error {
	queue := caller.Queue
	for {
		err := g.leader.Cancel(ctx, caller.jobRef(id))
		if err == nil || fault.Is(err, fault.NotFound) {
			g.log.Info("job cancelled by its caller", "job", id, "queue", queue.Name, "account", caller.Account, "kind", outcomeLabel(err))
			return err
		}
		if !hasTimeToRetry(ctx) || !pause.For(ctx, 2*retryInterval) {
			g.log.Warn("cancellation not stored", "job", id, "queue", queue.Name, "error", err)
			return fault.WrapAs(fault.Interrupted, err, "unknown whether the cancellation was stored")
		}
	}
}

// PendingJobs returns the number of jobs in the queue of which no task has started.
func (g *Gateway) PendingJobs(ctx context.Context, caller Caller) (int, error) {
	for {
		leaderCtx, cancel := context.WithTimeout(ctx, leaderTimeout)
		n, err := g.leader.PendingJobs(leaderCtx, caller.Queue.Ref())
		cancel()
		if err == nil || !hasTimeToRetry(ctx) || !pause.For(ctx, 2*retryInterval) {
			return n, err
		}
	}
}

// arrivalKey is the key of a context's value: when the call arrived.
type arrivalKey struct{}

// arrivalOf returns when the call of a context arrived, or the given time if the context does not tell.
func arrivalOf(ctx context.Context, otherwise time.Time) time.Time {
	if at, ok := ctx.Value(arrivalKey{}).(time.Time); ok {
		return at
	}
	return otherwise
}

// WithResponseMargin returns a context for a call that arrives now. It ends before the caller's timeout, early enough to send the response.
func WithResponseMargin(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	ctx = context.WithValue(ctx, arrivalKey{}, time.Now())
	return context.WithTimeout(ctx, max(timeout-responseMargin, timeout/2))
}
