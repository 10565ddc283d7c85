// Package local connects the processes of a cell, their workers and the store inside one process without sockets, so
// that a whole session can run on a fake clock.
package local

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/timeline"
	"skylarkstall/internal/domain/work"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/pause"
	"skylarkstall/internal/port"
)

// latency is the one-way time between two ends. It differs from link to link, so that no two messages of different
// links arrive in the same instant and a session has one order of events.
func latency(from, to string) time.Duration {
	const least, steps = time.Millisecond, 997
	return least + time.Duration(xxhash.Sum64String(from+">"+to)%steps)*time.Microsecond
}

// HeartbeatInterval is how often two processes exchange heartbeats.
const HeartbeatInterval = time.Second

// Heartbeater sends and takes heartbeats.
type Heartbeater interface {
	Heartbeat(now time.Time) port.Heartbeat
	HeartbeatReceived(now time.Time, beat port.Heartbeat)
}

// Network carries the calls between processes.
type Network struct {
	mu    sync.Mutex
	nodes map[ident.ProcessID]*member
	cuts  map[[2]ident.ProcessID]bool
}

type member struct {
	ctx     context.Context // ends with the process
	handler port.PeerHandler
	heart   Heartbeater
	dead    chan struct{} // closed when the process is killed
}

// NewNetwork returns a network without processes.
func NewNetwork() *Network {
	return &Network{nodes: map[ident.ProcessID]*member{}, cuts: map[[2]ident.ProcessID]bool{}}
}

// Join connects a process and runs its heartbeats with each process that joined before, until the context ends.
func (n *Network) Join(ctx context.Context, id ident.ProcessID, handler port.PeerHandler, heart Heartbeater) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nodes[id] = &member{ctx: ctx, handler: handler, heart: heart, dead: make(chan struct{})}
	for other := range n.nodes {
		if other != id {
			go n.beat(ctx, id, other)
		}
	}
}

// Kill takes a process off the network: calls to it break off and none of its own arrive.
func (n *Network) Kill(id ident.ProcessID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	close(n.nodes[id].dead)
	delete(n.nodes, id)
}

// SetDisconnected breaks the connection of two processes, or restores it.
func (n *Network) SetDisconnected(a, b ident.ProcessID, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[[2]ident.ProcessID{a, b}] = cut
	n.cuts[[2]ident.ProcessID{b, a}] = cut
}

// route returns the two ends of a call, or Unavailable.
func (n *Network) route(from, to ident.ProcessID) (caller, callee *member, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	caller, callee = n.nodes[from], n.nodes[to]
	if caller == nil || callee == nil || n.cuts[[2]ident.ProcessID{from, to}] {
		return nil, nil, fault.New(fault.Unavailable, "no session to process %s", to)
	}
	return caller, callee, nil
}

func (n *Network) beat(ctx context.Context, from, to ident.ProcessID) {
	for {
		a, b, err := n.route(from, to)
		if err == nil {
			time.Sleep(latency(string(from), string(to)))
			b.heart.HeartbeatReceived(time.Now(), a.heart.Heartbeat(time.Now()))
			time.Sleep(latency(string(to), string(from)))
			a.heart.HeartbeatReceived(time.Now(), b.heart.Heartbeat(time.Now()))
		}
		if !pause.For(ctx, HeartbeatInterval) {
			return
		}
	}
}

// call carries one call and its answer. It breaks off when either end is killed.
func call[T any](
	ctx context.Context, n *Network, from, to ident.ProcessID, ask func(context.Context, port.PeerHandler) (T, error),
) (T, error) {
	var none T
	caller, callee, err := n.route(from, to)
	if err != nil {
		return none, err
	}
	type answer struct {
		value T
		err   error
	}
	answers := make(chan answer, 1)
	go func() {
		time.Sleep(latency(string(from), string(to)))
		value, err := ask(callee.ctx, callee.handler)
		time.Sleep(latency(string(to), string(from)))
		answers <- answer{value, err}
	}()
	select {
	case a := <-answers:
		return a.value, a.err
	case <-callee.dead:
	case <-caller.dead:
	case <-ctx.Done():
	}
	return none, fault.New(fault.Interrupted, "the call to %s broke off", to)
}

// Peers returns the calls of a process.
func (n *Network) Peers(self ident.ProcessID) port.Peers { return &peers{n, self} }

type peers struct {
	network *Network
	self    ident.ProcessID
}

// Execute implements port.Peers.
func (p *peers) Execute(ctx context.Context, to ident.ProcessID, c port.Execute) (work.Outcome, error) {
	return call(ctx, p.network, p.self, to, func(ctx context.Context, h port.PeerHandler) (work.Outcome, error) {
		return h.HandleExecute(ctx, c)
	})
}

// Place implements port.Peers.
func (p *peers) Place(ctx context.Context, to ident.ProcessID, c port.Place) (work.Outcome, error) {
	return call(ctx, p.network, p.self, to, func(ctx context.Context, h port.PeerHandler) (work.Outcome, error) {
		return h.HandlePlace(ctx, c)
	})
}

// TakeHome implements port.Peers.
func (p *peers) TakeHome(ctx context.Context, to ident.ProcessID, c port.TakeHome) (port.TakeHomeReply, error) {
	return call(ctx, p.network, p.self, to, func(ctx context.Context, h port.PeerHandler) (port.TakeHomeReply, error) {
		return h.HandleTakeHome(ctx, c)
	})
}

// Report implements port.Peers.
func (p *peers) Report(ctx context.Context, to ident.ProcessID, c port.AttemptReport) error {
	_, err := call(ctx, p.network, p.self, to, func(ctx context.Context, h port.PeerHandler) (struct{}, error) {
		return struct{}{}, h.HandleReport(ctx, c)
	})
	return err
}

// Cancel implements port.Peers.
func (p *peers) Cancel(
	ctx context.Context, to ident.ProcessID, tasks []ident.TaskID,
) ([]ident.TaskID, error) {
	return call(ctx, p.network, p.self, to, func(ctx context.Context, h port.PeerHandler) ([]ident.TaskID, error) {
		return h.HandleCancel(ctx, tasks)
	})
}

// AckOutcomes implements port.Peers.
func (p *peers) AckOutcomes(ctx context.Context, to ident.ProcessID, tasks []ident.TaskID) error {
	_, err := call(ctx, p.network, p.self, to, func(ctx context.Context, h port.PeerHandler) (struct{}, error) {
		return struct{}{}, h.HandleAckOutcomes(ctx, tasks)
	})
	return err
}

// Documents implements port.Peers.
func (p *peers) Documents(
	ctx context.Context, to ident.ProcessID, after ident.Revision,
) (port.DocumentPage, error) {
	return call(ctx, p.network, p.self, to, func(ctx context.Context, h port.PeerHandler) (port.DocumentPage, error) {
		return h.HandleDocuments(ctx, after)
	})
}

// Events implements port.Peers.
func (p *peers) Events(
	ctx context.Context, to ident.ProcessID, filter timeline.Filter,
) ([]timeline.Event, error) {
	return call(ctx, p.network, p.self, to, func(ctx context.Context, h port.PeerHandler) ([]timeline.Event, error) {
		return h.HandleEvents(ctx, filter)
	})
}

// Status implements port.Peers.
func (p *peers) Status(ctx context.Context, to ident.ProcessID) (port.Status, error) {
	return call(ctx, p.network, p.self, to, func(ctx context.Context, h port.PeerHandler) (port.Status, error) {
		return h.HandleStatus(ctx)
	})
}
