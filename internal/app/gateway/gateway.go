// Package gateway answers callers: it stores the jobs that it accepts, and asks the leader about the others.
package gateway

import (
	"context"
	"log/slog"
	"time"

	"skylarkstall/internal/domain/route"
	"skylarkstall/internal/domain/workflow"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/pause"
	"skylarkstall/internal/port"
)

// Times of a call.
const (
	storeTimeout  = 500 * time.Millisecond
	leaderTimeout = 700 * time.Millisecond
	retryPause    = 50 * time.Millisecond
	// answerReserve is kept of a caller's time for sending the answer.
	answerReserve = 150 * time.Millisecond
)

// Gateway is one process's service for callers.
type Gateway struct {
	ledger  port.TxnStore
	records port.RecordCodec
	leader  port.Scheduler
	log     *slog.Logger
}

// New returns a gateway.
func New(ledger port.TxnStore, records port.RecordCodec, leader port.Scheduler, log *slog.Logger) *Gateway {
	return &Gateway{ledger: ledger, records: records, leader: leader, log: log}
}

// Submit returns once the store holds the job; the same id submitted again is the same job. Unavailable means that the
// job was not stored and never runs, Interrupted that it is not known whether it was.
func (g *Gateway) Submit(ctx context.Context, queue route.Queue, spec workflow.Spec) error {
	if err := spec.Validate(); err != nil {
		return err
	}
	job := port.AcceptedJob{Spec: spec, Queue: queue, AcceptedAt: time.Now()}
	err := g.store(ctx, job)
	g.log.Info("job submitted", "job", spec.ID, "queue", queue.Name, "steps", len(spec.Steps),
		"took_ms", time.Since(job.AcceptedAt).Milliseconds(), "kind", outcome(err), "error", err)
	return err
}

func outcome(err error) string {
	if err == nil {
		return "accepted"
	}
	return fault.KindOf(err).String()
}

// store writes the job, itself or through the leader. A write without an answer is repeated under the same condition
// until it is known, because it may still be carried out.
func (g *Gateway) store(ctx context.Context, job port.AcceptedJob) error {
	uncertain := false
	for tries := 0; ; tries++ {
		err := g.storeItself(ctx, job)
		if err == nil {
			go g.notify(job)
			return nil
		}
		uncertain = uncertain || fault.Is(err, fault.Interrupted)
		err = g.storeByLeader(ctx, job)
		if err == nil {
			return nil
		}
		uncertain = uncertain || fault.Is(err, fault.Interrupted)
		if !uncertain {
			return fault.WrapAs(fault.StoreUnavailable, err, "the job was not accepted")
		}
		if !hasTime(ctx) || !pause.For(ctx, retryPause) {
			return fault.WrapAs(fault.Interrupted, err, "it is not known whether the job was accepted")
		}
	}
}

func hasTime(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()
	return !ok || time.Until(deadline) > storeTimeout
}

func (g *Gateway) storeItself(ctx context.Context, job port.AcceptedJob) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	_, err := g.ledger.Commit(ctx, port.CreateJobTxn(g.records, job))
	if fault.Is(err, fault.Conflict) {
		return nil // it is there already
	}
	return err
}

func (g *Gateway) storeByLeader(ctx context.Context, job port.AcceptedJob) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return g.leader.StoreJob(ctx, job)
}

func (g *Gateway) notify(job port.AcceptedJob) {
	ctx, cancel := context.WithTimeout(context.Background(), leaderTimeout)
	defer cancel()
	if err := g.leader.Notify(ctx, job); err != nil {
		g.log.Info("leader not told of a job; it will read of it", "job", job.Spec.ID, "error", err)
	}
}

// State returns the state of a job. It fails with NotFound when no such job exists.
func (g *Gateway) State(ctx context.Context, queue route.Queue, id workflow.ID) (workflow.State, error) {
	asking, cancel := context.WithTimeout(ctx, leaderTimeout)
	state, err := g.leader.State(asking, queue.Name, id)
	cancel()
	if err == nil {
		return state, nil
	}
	return g.stateInStore(ctx, queue, id, err)
}

// stateInStore reads a state that the leader did not tell: it may not have heard of the job yet.
func (g *Gateway) stateInStore(
	ctx context.Context, queue route.Queue, id workflow.ID, cause error,
) (workflow.State, error) {
	reading, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	item, err := g.ledger.Get(reading, port.JobPrefix+string(id))
	if err != nil {
		return 0, err
	}
	job, err := g.records.DecodeJob(item.Value)
	if err != nil {
		return 0, err
	}
	if job.Queue.Name != queue.Name {
		return 0, fault.New(fault.NotFound, "job %s is of another queue", id)
	}
	if fault.Is(cause, fault.NotFound) {
		return workflow.Pending, nil
	}
	item, err = g.ledger.Get(reading, port.ProgressPrefix+string(id))
	if fault.Is(err, fault.NotFound) {
		return workflow.Pending, nil
	}
	if err != nil {
		return 0, err
	}
	progress, err := g.records.DecodeProgress(item.Value)
	return progress.State, err
}

// Cancel returns once the cancellation is stored. It waits for a leader while there is none.
func (g *Gateway) Cancel(ctx context.Context, queue route.Queue, id workflow.ID) error {
	for {
		err := g.leader.Cancel(ctx, queue.Name, id)
		if err == nil || fault.Is(err, fault.NotFound) {
			g.log.Info("job cancelled by its caller", "job", id, "queue", queue.Name, "kind", outcome(err))
			return err
		}
		if !hasTime(ctx) || !pause.For(ctx, 2*retryPause) {
			g.log.Warn("cancellation not stored", "job", id, "queue", queue.Name, "error", err)
			return fault.WrapAs(fault.Interrupted, err, "the cancellation may not be stored")
		}
	}
}

// PendingJobs returns the number of a queue's jobs of which no task has started.
func (g *Gateway) PendingJobs(ctx context.Context, queue route.Queue) (int, error) {
	for {
		asking, cancel := context.WithTimeout(ctx, leaderTimeout)
		n, err := g.leader.PendingJobs(asking, queue.Name)
		cancel()
		if err == nil || !hasTime(ctx) || !pause.For(ctx, 2*retryPause) {
			return n, err
		}
	}
}

// WithResponseMargin returns a context that ends early enough for the answer to reach the caller.
func WithResponseMargin(ctx context.Context, patience time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, max(patience-answerReserve, patience/2))
}
