// Package local connects the processes of a cell, their workers and the store within one process without sockets, so
// that a test of a whole cell can run on a fake clock.
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

// linkLatency returns the one-way latency between two processes, or a process and a worker. It differs from link to
// link, so that messages on different links do not arrive at the same instant and the order of events is deterministic.
func linkLatency(from, to string) time.Duration {
	const base, steps = time.Millisecond, 997
	return base + time.Duration(xxhash.Sum64String(from+">"+to)%steps)*time.Microsecond
}

// HeartbeatInterval is the interval at which two processes exchange heartbeats.
const HeartbeatInterval = time.Second

// Heartbeater creates heartbeats to send and processes received ones.
type Heartbeater interface {
	Heartbeat(now time.Time) port.Heartbeat
	HeartbeatReceived(now time.Time, heartbeat port.Heartbeat)
}

// Network delivers calls between processes.
type Network struct {
	mu           sync.Mutex
	processes    map[ident.ProcessID]*process
	disconnected map[[2]ident.ProcessID]bool
}

type process struct {
	ctx         context.Context // canceled when the process stops
	handler     port.PeerHandler
	heartbeater Heartbeater
	killed      chan struct{} // closed when the process is killed
}

// NewNetwork returns an empty network.
func NewNetwork() *Network {
	return &Network{processes: map[ident.ProcessID]*process{}, disconnected: map[[2]ident.ProcessID]bool{}}
}

// Join connects a process and exchanges heartbeats with each process that joined earlier, until the context ends.
func (n *Network) Join(ctx context.Context, id ident.ProcessID, handler port.PeerHandler, heartbeater Heartbeater) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.processes[id] = &process{ctx: ctx, handler: handler, heartbeater: heartbeater, killed: make(chan struct{})}
	for other := range n.processes {
		if other != id {
			go n.exchangeHeartbeats(ctx, id, other)
		}
	}
}

// Kill removes a process from the network: calls to and from it are interrupted, and new ones fail.
func (n *Network) Kill(id ident.ProcessID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	close(n.processes[id].killed)
	delete(n.processes, id)
}

// SetDisconnected interrupts the connection of two processes or restores it. Calls in progress are not affected.
func (n *Network) SetDisconnected(a, b ident.ProcessID, disconnect bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.disconnected[[2]ident.ProcessID{a, b}] = disconnect
	n.disconnected[[2]ident.ProcessID{b, a}] = disconnect
}

// route returns the two processes of a call. It fails with Unavailable if they are not connected.
func (n *Network) route(from, to ident.ProcessID) (caller, callee *process, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	caller, callee = n.processes[from], n.processes[to]
	if caller == nil || callee == nil || n.disconnected[[2]ident.ProcessID{from, to}] {
		return nil, nil, fault.New(fault.Unavailable, "no session to process %s", to)
	}
	return caller, callee, nil
}

func (n *Network) exchangeHeartbeats(ctx context.Context, from, to ident.ProcessID) {
	for {
		a, b, err := n.route(from, to)
		if err == nil {
			time.Sleep(linkLatency(string(from), string(to)))
			b.heartbeater.HeartbeatReceived(time.Now(), a.heartbeater.Heartbeat(time.Now()))
			time.Sleep(linkLatency(string(to), string(from)))
			a.heartbeater.HeartbeatReceived(time.Now(), b.heartbeater.Heartbeat(time.Now()))
		}
		if !pause.For(ctx, HeartbeatInterval) {
			return
		}
	}
}

// call delivers a call and its response. It fails with Interrupted if either process is killed or the context ends.
func call[T any](
	ctx context.Context, n *Network, from, to ident.ProcessID, handle func(context.Context, port.PeerHandler) (T, error),
) (T, error) {
	var zero T
	caller, callee, err := n.route(from, to)
	if err != nil {
		return zero, err
	}
	type response struct {
		value T
		err   error
	}
	responses := make(chan response, 1)
	go func() {
		time.Sleep(linkLatency(string(from), string(to)))
		value, err := handle(callee.ctx, callee.handler)
		time.Sleep(linkLatency(string(to), string(from)))
		responses <- response{value, err}
	}()
	select {
	case r := <-responses:
		return r.value, r.err
	case <-callee.killed:
	case <-caller.killed:
	case <-ctx.Done():
	}
	return zero, fault.New(fault.Interrupted, "call to process %s was interrupted", to)
}

// Peers returns the client for calls from the given process to others.
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
