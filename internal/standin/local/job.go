package local

import (
	"context"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/job"
	"skylarkstall/internal/port"
)

// Submit implements port.Peers.
func (p *peers) Submit(ctx context.Context, to ident.ProcessID, c port.Submit) (job.Status, error) {
	return call(ctx, p.network, p.self, to, func(ctx context.Context, h port.PeerHandler) (job.Status, error) {
		return h.HandleSubmit(ctx, c)
	})
}

// QueryJob implements port.Peers.
func (p *peers) QueryJob(ctx context.Context, to ident.ProcessID, c port.QueryJob) (job.Status, error) {
	return call(ctx, p.network, p.self, to, func(ctx context.Context, h port.PeerHandler) (job.Status, error) {
		return h.HandleQueryJob(ctx, c)
	})
}

// CancelWork implements port.Peers.
func (p *peers) CancelWork(ctx context.Context, to ident.ProcessID, id ident.WorkID) (job.Status, error) {
	return call(ctx, p.network, p.self, to, func(ctx context.Context, h port.PeerHandler) (job.Status, error) {
		return h.HandleCancelWork(ctx, id)
	})
}

// Reserve implements port.Peers.
func (p *peers) Reserve(ctx context.Context, to ident.ProcessID, c port.Reserve) ([]uint32, error) {
	return call(ctx, p.network, p.self, to, func(ctx context.Context, h port.PeerHandler) ([]uint32, error) {
		return h.HandleReserve(ctx, c)
	})
}

// Release implements port.Peers.
func (p *peers) Release(ctx context.Context, to ident.ProcessID, c port.Release) error {
	_, err := call(ctx, p.network, p.self, to, func(ctx context.Context, h port.PeerHandler) (struct{}, error) {
		return struct{}{}, h.HandleRelease(ctx, c)
	})
	return err
}
