package meter

import (
	"context"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/work"
	"skylarkstall/internal/port"
)

// countingPeers counts the calls of this process that concern work. Other calls are rare and are not counted.
type countingPeers struct {
	port.Peers
	meter *Meter
}

// Peers wraps inner so that calls that concern work are counted by outcome.
func (m *Meter) Peers(inner port.Peers) port.Peers { return &countingPeers{inner, m} }

// Execute implements port.Peers.
func (p *countingPeers) Execute(ctx context.Context, to ident.ProcessID, call port.Execute) (work.Outcome, error) {
	outcome, err := p.Peers.Execute(ctx, to, call)
	p.meter.countPeerCall("execute", err, true)
	return outcome, err
}

// Place implements port.Peers.
func (p *countingPeers) Place(ctx context.Context, to ident.ProcessID, call port.Place) (work.Outcome, error) {
	outcome, err := p.Peers.Place(ctx, to, call)
	p.meter.countPeerCall("place", err, !call.Attach)
	return outcome, err
}

// TakeHome implements port.Peers.
func (p *countingPeers) TakeHome(ctx context.Context, to ident.ProcessID, call port.TakeHome) (port.TakeHomeReply, error) {
	reply, err := p.Peers.TakeHome(ctx, to, call)
	p.meter.countPeerCall("take home", err, false)
	return reply, err
}

// waitHandler records the tasks that wait at this process.
type waitHandler struct {
	port.PeerHandler
	meter *Meter
}

// Handler wraps inner so that the wait of placed tasks is measured.
func (m *Meter) Handler(inner port.PeerHandler) port.PeerHandler { return &waitHandler{inner, m} }

// HandlePlace implements port.PeerHandler.
func (h *waitHandler) HandlePlace(ctx context.Context, call port.Place) (work.Outcome, error) {
	if call.Attach {
		return h.PeerHandler.HandlePlace(ctx, call)
	}
	h.meter.beginWait(time.Now(), call.Spec)
	defer h.meter.endWait(call.Spec.ID)
	return h.PeerHandler.HandlePlace(ctx, call)
}
