package cellnode

import (
	"context"
	"sync/atomic"
	"time"

	"skylarkstall/internal/app/scheduler"
	"skylarkstall/internal/domain/admission"
	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/permit"
	"skylarkstall/internal/domain/route"
	"skylarkstall/internal/domain/workflow"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/port"
)

// leaderClient forwards calls to the leader: to the local scheduler while this process leads, and to the leader's process
// otherwise. It implements port.Scheduler.
type leaderClient struct {
	local  atomic.Pointer[scheduler.Scheduler] // nil while this process is not the leader
	remote port.Scheduler
}

func (c *leaderClient) target() port.Scheduler {
	if local := c.local.Load(); local != nil {
		return local
	}
	return c.remote
}

func (c *leaderClient) StoreJob(ctx context.Context, job port.AcceptedJob) error {
	return c.target().StoreJob(ctx, job)
}

func (c *leaderClient) Notify(ctx context.Context, job port.AcceptedJob) error {
	return c.target().Notify(ctx, job)
}

func (c *leaderClient) State(ctx context.Context, job port.JobRef) (workflow.State, error) {
	return c.target().State(ctx, job)
}

func (c *leaderClient) Cancel(ctx context.Context, job port.JobRef) error {
	return c.target().Cancel(ctx, job)
}

func (c *leaderClient) PendingJobs(ctx context.Context, queue route.QueueRef) (int, error) {
	return c.target().PendingJobs(ctx, queue)
}

func (c *leaderClient) Admit(ctx context.Context, request admission.Request) (admission.Verdict, error) {
	return c.target().Admit(ctx, request)
}

// peerHandler serves calls from other processes. It never forwards them.
type peerHandler struct {
	leaderClient
	permits port.PermitClient
	self    port.Leader // Term is not set
	term    atomic.Uint64
	gate    *admission.Gate
}

// Room implements cellwire.Handler.
func (h *peerHandler) Room() admission.Statement {
	if local := h.local.Load(); local != nil {
		return local.Room()
	}
	return admission.Statement{}
}

// ObserveRoom implements cellwire.Handler.
func (h *peerHandler) ObserveRoom(s admission.Statement, sent time.Time) { h.gate.Observe(s, sent) }

// OwnTerm implements cellwire.Handler.
func (h *peerHandler) OwnTerm() (port.Leader, bool) {
	if h.local.Load() == nil {
		return port.Leader{}, false
	}
	self := h.self
	self.Term = h.term.Load()
	return self, true
}

// notLeader rejects calls to the leader with NotReady.
type notLeader struct{}

func (notLeader) err() error { return fault.New(fault.NotReady, "this process is not the leader") }

func (n notLeader) StoreJob(context.Context, port.AcceptedJob) error { return n.err() }

func (n notLeader) Notify(context.Context, port.AcceptedJob) error { return n.err() }

func (n notLeader) State(context.Context, port.JobRef) (workflow.State, error) { return 0, n.err() }

func (n notLeader) Cancel(context.Context, port.JobRef) error { return n.err() }

func (n notLeader) PendingJobs(context.Context, route.QueueRef) (int, error) { return 0, n.err() }

func (n notLeader) Admit(context.Context, admission.Request) (admission.Verdict, error) {
	return admission.Verdict{}, n.err()
}

// RequestPermits implements port.PermitClient on behalf of the leader.
func (h *peerHandler) RequestPermits(
	ctx context.Context, step workflow.StepRef, workers []ident.WorkerID,
) (map[ident.WorkerID]permit.Ticket, error) {
	return h.permits.RequestPermits(ctx, step, workers)
}
