// Package peerwire carries calls between the processes of a cell: one yamux session for each pair of processes, one
// stream for each call, protobuf messages with a length before them.
package peerwire

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"time"

	"skylarkstall/internal/adapter/peerwire/peerpb"
	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/timeline"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/port"
)

// LocalProcess is what the transport needs of its own process.
type LocalProcess interface {
	// Heartbeat returns what the process tells its peers.
	Heartbeat(now time.Time) port.Heartbeat
	// HeartbeatReceived notes what a peer tells.
	HeartbeatReceived(now time.Time, beat port.Heartbeat)
	// SchedulingDelay returns for how long the process got no processor since its start.
	SchedulingDelay() time.Duration
}

// Transport holds the sessions to the peers. It implements port.Peers.
type Transport struct {
	self     ident.ProcessID
	local    LocalProcess
	handler  port.PeerHandler
	clock    *timeline.Recorder
	log      *slog.Logger
	listener net.Listener
	traffic  traffic

	credentials *Credentials // nil for plain connections

	handshakes chan struct{} // one element for each accepted connection without a session

	mu       sync.Mutex
	sessions map[ident.ProcessID]*session
	running  sync.WaitGroup
}

// New returns a transport that accepts sessions on the listener once Run is called. Without credentials connections are
// plain.
func New(
	self ident.ProcessID, listener net.Listener, credentials *Credentials, local LocalProcess, handler port.PeerHandler,
	clock *timeline.Recorder, log *slog.Logger,
) *Transport {
	return &Transport{
		self: self, credentials: credentials, local: local, handler: handler, clock: clock, log: log, listener: listener,
		handshakes: make(chan struct{}, maxHandshakes), sessions: map[ident.ProcessID]*session{},
	}
}

// Run accepts sessions until the context ends, then closes all of them.
func (t *Transport) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = t.listener.Close() })
	defer stop()
	for {
		conn, err := t.listener.Accept()
		if err != nil {
			t.closeAll()
			t.running.Wait()
			if ctx.Err() != nil {
				return nil
			}
			return fault.WrapAs(fault.Unavailable, err, "accept a peer")
		}
		select {
		case t.handshakes <- struct{}{}:
			t.running.Go(func() { t.accept(ctx, conn) })
		default:
			t.log.Warn("peer connection refused: too many handshakes", "limit", maxHandshakes)
			_ = conn.Close()
		}
	}
}

func (t *Transport) closeAll() {
	t.mu.Lock()
	open := make([]*session, 0, len(t.sessions))
	for _, s := range t.sessions {
		open = append(open, s)
	}
	t.mu.Unlock()
	for _, s := range open {
		s.end(fault.New(fault.Draining, "the process is ending"))
	}
}

func (t *Transport) hello() *peerpb.Hello {
	beat := t.local.Heartbeat(time.Now())
	return &peerpb.Hello{Peer: encodePeer(beat.Peer), Version: protocolVersion}
}

func (t *Transport) stamp() *peerpb.Stamp { return encodeStamp(t.clock.Now(time.Now())) }

// add makes the session the one that calls use and ends an older one to the same peer. It fails with StaleEpoch when a
// session to a later incarnation of the peer is open, and with Overloaded when too many peers have sessions.
func (t *Transport) add(s *session) error {
	old, err := t.replace(s)
	if err != nil {
		return err
	}
	if old != nil {
		old.end(fault.New(fault.Interrupted, "replaced by a new connection"))
		t.traffic.replaced.Add(1)
		t.clock.Record(time.Now(), timeline.Event{Kind: timeline.ConnectionReplaced, Detail: "peer " + string(s.peer)})
	}
	return nil
}

func (t *Transport) replace(s *session) (*session, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.sessions[s.peer]
	if old != nil && s.incarnation < old.incarnation {
		return nil, fault.New(fault.StaleEpoch, "a later incarnation of %s is connected", s.peer)
	}
	if old == nil && len(t.sessions) >= maxSessions {
		return nil, fault.New(fault.Overloaded, "%d peers are connected; that is the limit", maxSessions)
	}
	t.sessions[s.peer] = s
	return old, nil
}

func (t *Transport) remove(s *session) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.sessions[s.peer] == s {
		delete(t.sessions, s.peer)
	}
}

func (t *Transport) session(to ident.ProcessID) (*session, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.sessions[to]
	if !ok {
		return nil, fault.New(fault.Unavailable, "no session to process %s", to)
	}
	return s, nil
}
