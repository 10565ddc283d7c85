package meter

import (
	"context"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/work"
	"skylarkstall/internal/port"
)

// peers counts the calls of this process that carry work; the others are few.
type peers struct {
	port.Peers
	meter *Meter
}

// Peers returns the calls to other processes with those that carry work counted by outcome.
func (m *Meter) Peers(inner port.Peers) port.Peers { return &peers{inner, m} }

// Execute implements port.Peers.
func (p *peers) Execute(ctx context.Context, to ident.ProcessID, call port.Execute) (work.Outcome, error) {
	outcome, err := p.Peers.Execute(ctx, to, call)
	p.meter.peerCall("execute", err, true)
	return outcome, err
}

// Place implements port.Peers.
func (p *peers) Place(ctx context.Context, to ident.ProcessID, call port.Place) (work.Outcome, error) {
	outcome, err := p.Peers.Place(ctx, to, call)
	p.meter.peerCall("place", err, !call.Attach)
	return outcome, err
}

// TakeHome implements port.Peers.
func (p *peers) TakeHome(ctx context.Context, to ident.ProcessID, call port.TakeHome) (port.TakeHomeReply, error) {
	held, err := p.Peers.TakeHome(ctx, to, call)
	p.meter.peerCall("take home", err, false)
	return held, err
}

// handler notes the tasks that wait at this process.
type handler struct {
	port.PeerHandler
	meter *Meter
}

// Handler returns the handler of peers' calls with the wait of the tasks measured that it places.
func (m *Meter) Handler(inner port.PeerHandler) port.PeerHandler { return &handler{inner, m} }

// HandlePlace implements port.PeerHandler.
func (h *handler) HandlePlace(ctx context.Context, call port.Place) (work.Outcome, error) {
	if call.Attach {
		return h.PeerHandler.HandlePlace(ctx, call)
	}
	h.meter.wait(time.Now(), call.Spec)
	defer h.meter.ended(call.Spec.ID)
	return h.PeerHandler.HandlePlace(ctx, call)
}
