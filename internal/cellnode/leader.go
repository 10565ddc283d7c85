package cellnode

import (
	"context"
	"sync/atomic"

	"skylarkstall/internal/app/scheduler"
	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/permit"
	"skylarkstall/internal/domain/workflow"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/port"
)

// leader answers for the jobs of the cell: this process does while it leads, and another one otherwise. It implements
// port.Scheduler.
type leader struct {
	own    atomic.Pointer[scheduler.Scheduler] // nil while this process does not lead
	remote port.Scheduler
}

func (l *leader) now() port.Scheduler {
	if own := l.own.Load(); own != nil {
		return own
	}
	return l.remote
}

func (l *leader) StoreJob(ctx context.Context, job port.AcceptedJob) error {
	return l.now().StoreJob(ctx, job)
}

func (l *leader) Notify(ctx context.Context, job port.AcceptedJob) error {
	return l.now().Notify(ctx, job)
}

func (l *leader) State(ctx context.Context, queue string, id workflow.ID) (workflow.State, error) {
	return l.now().State(ctx, queue, id)
}

func (l *leader) Cancel(ctx context.Context, queue string, id workflow.ID) error {
	return l.now().Cancel(ctx, queue, id)
}

func (l *leader) PendingJobs(ctx context.Context, queue string) (int, error) {
	return l.now().PendingJobs(ctx, queue)
}

func (l *leader) Config(ctx context.Context) ([]byte, error) { return l.now().Config(ctx) }

// local answers the calls of other processes: it never passes them on.
type local struct {
	leader
	adviser port.PermitClient
	self    port.Leader // without a term
	term    atomic.Uint64
}

// OwnTerm implements cellwire.Handler.
func (l *local) OwnTerm() (port.Leader, bool) {
	if l.own.Load() == nil {
		return port.Leader{}, false
	}
	self := l.self
	self.Term = l.term.Load()
	return self, true
}

// notLeading refuses calls for the leader.
type notLeading struct{}

func (notLeading) err() error { return fault.New(fault.NotReady, "this process does not lead") }

func (n notLeading) StoreJob(context.Context, port.AcceptedJob) error { return n.err() }

func (n notLeading) Notify(context.Context, port.AcceptedJob) error { return n.err() }

func (n notLeading) State(context.Context, string, workflow.ID) (workflow.State, error) {
	return 0, n.err()
}

func (n notLeading) Cancel(context.Context, string, workflow.ID) error { return n.err() }

func (n notLeading) PendingJobs(context.Context, string) (int, error) { return 0, n.err() }

func (n notLeading) Config(context.Context) ([]byte, error) { return nil, n.err() }

// RequestPermits implements port.Adviser for the leader.
func (l *local) RequestPermits(
	ctx context.Context, step workflow.StepRef, workers []ident.WorkerID,
) (map[ident.WorkerID]permit.Ticket, error) {
	return l.adviser.RequestPermits(ctx, step, workers)
}
