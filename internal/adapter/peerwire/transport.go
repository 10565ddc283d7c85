// Package peerwire implements the protocol between the processes of a cell: one yamux session for each pair of
// processes, one stream for each call, and length-prefixed protobuf messages.
package peerwire

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"time"

	"skylarkstall/internal/adapter/frame"
	"skylarkstall/internal/adapter/peerwire/peerpb"
	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/timeline"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/port"
)

// LocalProcess is the process that the transport belongs to.
type LocalProcess interface {
	// Heartbeat returns the heartbeat to send to peers.
	Heartbeat(now time.Time) port.Heartbeat
	// HeartbeatReceived processes the heartbeat of a peer.
	HeartbeatReceived(now time.Time, heartbeat port.Heartbeat)
	// SessionOpened processes a new session, whose peer has sent its hello message.
	SessionOpened(now time.Time, peer ident.ProcessID)
	// SchedulingDelay returns the total time since the start of the process for which it was not scheduled on a CPU.
	SchedulingDelay() time.Duration
}

// Transport manages the sessions to the peers. It implements port.Peers.
type Transport struct {
	self     ident.ProcessID
	local    LocalProcess
	handler  port.PeerHandler
	recorder *timeline.Recorder
	log      *slog.Logger
	listener net.Listener
	counters trafficCounters

	credentials *Credentials // nil for plain connections

	handshakeSlots chan struct{} // one element for each accepted connection without a session

	mu         sync.Mutex
	sessions   map[ident.ProcessID]*session
	goroutines sync.WaitGroup
}

// New returns a transport that accepts sessions on the listener once Run is called. If credentials is nil, connections
// use no TLS.
func New(
	self ident.ProcessID, listener net.Listener, credentials *Credentials, local LocalProcess, handler port.PeerHandler,
	recorder *timeline.Recorder, log *slog.Logger,
) *Transport {
	return &Transport{
		self: self, credentials: credentials, local: local, handler: handler, recorder: recorder, log: log, listener: listener,
		handshakeSlots: make(chan struct{}, maxHandshakes), sessions: map[ident.ProcessID]*session{},
	}
}

// Run accepts sessions until the context ends, then closes all of them.
func (t *Transport) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = t.listener.Close() })
	defer stop()
	for {
		conn, err := frame.Accept(ctx, t.listener, func(err error) { t.log.Warn("peer connection not accepted", "error", err) })
		if err != nil {
			t.closeAll()
			t.goroutines.Wait()
			if ctx.Err() != nil {
				return nil
			}
			return fault.WrapAs(fault.Unavailable, err, "accept a peer connection")
		}
		select {
		case t.handshakeSlots <- struct{}{}:
			t.goroutines.Go(func() { t.serveConn(ctx, conn) })
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
		s.closeWithReason(fault.New(fault.Draining, "the process is shutting down"))
	}
}

func (t *Transport) hello() *peerpb.Hello {
	heartbeat := t.local.Heartbeat(time.Now())
	return &peerpb.Hello{Peer: encodePeer(heartbeat.Peer), Version: protocolVersion}
}

func (t *Transport) timestamp() *peerpb.Stamp { return encodeTimestamp(t.recorder.Now(time.Now())) }

// register makes s the session that calls to its peer use, and closes the previous session to that peer. It fails with
// StaleEpoch if a session to a later incarnation of the peer is open, and with Overloaded if too many peers have
// sessions.
func (t *Transport) register(s *session) error {
	old, err := t.setSession(s)
	if err != nil {
		return err
	}
	t.local.SessionOpened(time.Now(), s.peer)
	if old != nil {
		old.closeWithReason(fault.New(fault.Interrupted, "replaced by a new connection"))
		t.counters.replacedSessions.Add(1)
		t.recorder.Record(time.Now(), timeline.Event{Kind: timeline.ConnectionReplaced, Detail: "peer " + string(s.peer)})
	}
	return nil
}

// setSession stores the session and returns the previous one to the same peer, or nil.
func (t *Transport) setSession(s *session) (*session, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.sessions[s.peer]
	if old != nil && s.incarnation < old.incarnation {
		return nil, fault.New(fault.StaleEpoch, "a later incarnation of %s is connected", s.peer)
	}
	if old == nil && len(t.sessions) >= maxSessions {
		return nil, fault.New(fault.Overloaded, "limit of %d connected peers reached", maxSessions)
	}
	t.sessions[s.peer] = s
	return old, nil
}

func (t *Transport) unregister(s *session) {
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
