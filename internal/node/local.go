package node

import (
	"context"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/job"
	"skylarkstall/internal/domain/timeline"
	"skylarkstall/internal/domain/work"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/port"
)

// localPeers decorates port.Peers: it passes calls to this process directly to the handler, without a connection.
type localPeers struct {
	port.Peers
	self     ident.ProcessID
	handler  port.PeerHandler
	lifetime context.Context // of the process
}

// callDetached makes a local call behave like a remote one: when ctx ends, callDetached returns, but the call goes on
// until the process ends.
func callDetached[T any](ctx, lifetime context.Context, call func(context.Context) (T, error)) (T, error) {
	type result struct {
		value T
		err   error
	}
	done := make(chan result, 1)
	go func() {
		value, err := call(lifetime)
		done <- result{value, err}
	}()
	select {
	case r := <-done:
		return r.value, r.err
	case <-ctx.Done():
		var zero T
		return zero, fault.WrapAs(fault.Interrupted, ctx.Err(), "call to this process")
	}
}

// Execute implements port.Peers.
func (l *localPeers) Execute(ctx context.Context, to ident.ProcessID, call port.Execute) (work.Outcome, error) {
	if to == l.self {
		return callDetached(ctx, l.lifetime, func(ctx context.Context) (work.Outcome, error) {
			return l.handler.HandleExecute(ctx, call)
		})
	}
	return l.Peers.Execute(ctx, to, call)
}

// Place implements port.Peers.
func (l *localPeers) Place(ctx context.Context, to ident.ProcessID, call port.Place) (work.Outcome, error) {
	if to == l.self {
		return callDetached(ctx, l.lifetime, func(ctx context.Context) (work.Outcome, error) {
			return l.handler.HandlePlace(ctx, call)
		})
	}
	return l.Peers.Place(ctx, to, call)
}

// TakeHome implements port.Peers.
func (l *localPeers) TakeHome(ctx context.Context, to ident.ProcessID, call port.TakeHome) (port.TakeHomeReply, error) {
	if to == l.self {
		return l.handler.HandleTakeHome(ctx, call)
	}
	return l.Peers.TakeHome(ctx, to, call)
}

// Report implements port.Peers.
func (l *localPeers) Report(ctx context.Context, to ident.ProcessID, call port.AttemptReport) error {
	if to == l.self {
		return l.handler.HandleReport(ctx, call)
	}
	return l.Peers.Report(ctx, to, call)
}

// Cancel implements port.Peers.
func (l *localPeers) Cancel(
	ctx context.Context, to ident.ProcessID, tasks []ident.TaskID,
) ([]ident.TaskID, error) {
	if to == l.self {
		return l.handler.HandleCancel(ctx, tasks)
	}
	return l.Peers.Cancel(ctx, to, tasks)
}

// AckOutcomes implements port.Peers.
func (l *localPeers) AckOutcomes(ctx context.Context, to ident.ProcessID, tasks []ident.TaskID) error {
	if to == l.self {
		return l.handler.HandleAckOutcomes(ctx, tasks)
	}
	return l.Peers.AckOutcomes(ctx, to, tasks)
}

// Events implements port.Peers.
func (l *localPeers) Events(
	ctx context.Context, to ident.ProcessID, filter timeline.Filter,
) ([]timeline.Event, error) {
	if to == l.self {
		return l.handler.HandleEvents(ctx, filter)
	}
	return l.Peers.Events(ctx, to, filter)
}

// Status implements port.Peers.
func (l *localPeers) Status(ctx context.Context, to ident.ProcessID) (port.Status, error) {
	if to == l.self {
		return l.handler.HandleStatus(ctx)
	}
	return l.Peers.Status(ctx, to)
}

// Submit implements port.Peers.
func (l *localPeers) Submit(ctx context.Context, to ident.ProcessID, call port.Submit) (job.Status, error) {
	if to == l.self {
		return callDetached(ctx, l.lifetime, func(ctx context.Context) (job.Status, error) {
			return l.handler.HandleSubmit(ctx, call)
		})
	}
	return l.Peers.Submit(ctx, to, call)
}

// QueryJob implements port.Peers.
func (l *localPeers) QueryJob(ctx context.Context, to ident.ProcessID, call port.QueryJob) (job.Status, error) {
	if to == l.self {
		return l.handler.HandleQueryJob(ctx, call)
	}
	return l.Peers.QueryJob(ctx, to, call)
}

// CancelWork implements port.Peers.
func (l *localPeers) CancelWork(ctx context.Context, to ident.ProcessID, id ident.WorkID) (job.Status, error) {
	if to == l.self {
		return callDetached(ctx, l.lifetime, func(ctx context.Context) (job.Status, error) {
			return l.handler.HandleCancelWork(ctx, id)
		})
	}
	return l.Peers.CancelWork(ctx, to, id)
}

// Reserve implements port.Peers.
func (l *localPeers) Reserve(ctx context.Context, to ident.ProcessID, call port.Reserve) ([]uint32, error) {
	if to == l.self {
		return l.handler.HandleReserve(ctx, call)
	}
	return l.Peers.Reserve(ctx, to, call)
}

// Release implements port.Peers.
func (l *localPeers) Release(ctx context.Context, to ident.ProcessID, call port.Release) error {
	if to == l.self {
		return l.handler.HandleRelease(ctx, call)
	}
	return l.Peers.Release(ctx, to, call)
}
