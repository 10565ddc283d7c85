package peerwire

import (
	"bufio"
	"context"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"

	"skylarkstall/internal/adapter/peerwire/peerpb"
	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/timeline"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/notify"
	"skylarkstall/internal/pause"
	"skylarkstall/internal/port"
)

// Local is what the transport needs of its own process.
type Local interface {
	// Heartbeat returns what the process tells its peers.
	Heartbeat(now time.Time) port.Heartbeat
	// HeartbeatReceived notes what a peer tells.
	HeartbeatReceived(now time.Time, beat port.Heartbeat)
}

// Transport holds the sessions to the peers. It implements port.Peers.
type Transport struct {
	self     ident.ProcessID
	local    Local
	handler  port.PeerHandler
	clock    *timeline.Recorder
	log      *slog.Logger
	listener net.Listener

	mu       sync.Mutex
	sessions map[ident.ProcessID]*session
	changed  notify.Broadcast
	running  sync.WaitGroup
}

// New returns a transport that accepts sessions on the listener once Run is called.
func New(
	self ident.ProcessID, listener net.Listener, local Local, handler port.PeerHandler,
	clock *timeline.Recorder, log *slog.Logger,
) *Transport {
	return &Transport{
		self: self, local: local, handler: handler, clock: clock, log: log, listener: listener,
		sessions: map[ident.ProcessID]*session{},
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
			return fault.As(fault.Unavailable, err, "accept a peer")
		}
		t.running.Go(func() { t.accept(ctx, conn) })
	}
}

func (t *Transport) closeAll() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.sessions {
		_ = s.mux.Close() // the process is ending
	}
}

// bufferedConn reads first what the handshake read too much.
type bufferedConn struct {
	net.Conn
	reader *bufio.Reader
}

func (c bufferedConn) Read(p []byte) (int, error) { return c.reader.Read(p) }

// accept serves one session that a peer opened. Its first stream carries heartbeats.
func (t *Transport) accept(ctx context.Context, conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	hello, err := handshake(conn, reader, t.hello())
	if err != nil {
		t.log.Warn("peer refused", "remote", conn.RemoteAddr().String(), "error", err)
		return
	}
	mux, err := yamux.Server(bufferedConn{conn, reader}, sessionConfig())
	if err != nil {
		t.log.Warn("peer session failed", "peer", hello.GetPeer().GetId(), "error", err)
		return
	}
	defer mux.Close()
	s := &session{peer: ident.ProcessID(hello.GetPeer().GetId()), mux: mux}
	beats, err := mux.AcceptStreamWithContext(ctx)
	if err != nil {
		return
	}
	t.add(s)
	defer t.remove(s)
	t.running.Go(func() { t.serveCalls(ctx, s) })
	t.answerHeartbeats(s, beats)
}

func (t *Transport) hello() *peerpb.Hello {
	beat := t.local.Heartbeat(time.Now())
	return &peerpb.Hello{Peer: encodePeer(beat.Peer), Version: protocolVersion}
}

// answerHeartbeats answers until the peer is silent for three intervals.
func (t *Transport) answerHeartbeats(s *session, stream *yamux.Stream) {
	reader := bufio.NewReader(stream)
	for {
		if err := stream.SetDeadline(time.Now().Add(3 * HeartbeatInterval)); err != nil {
			return
		}
		call := &peerpb.Call{}
		if err := readFrame(reader, call); err != nil {
			t.log.Info("peer session ended", "peer", s.peer, "error", err)
			return
		}
		t.heartbeatReceived(s, call.GetStamp(), call.GetHeartbeat())
		reply := &peerpb.Reply{
			Stamp: t.stamp(),
			Body:  &peerpb.Reply_Heartbeat{Heartbeat: encodeHeartbeat(t.local.Heartbeat(time.Now()))},
		}
		if err := writeFrame(stream, reply); err != nil {
			return
		}
	}
}

func (t *Transport) heartbeatReceived(s *session, stamp *peerpb.Stamp, beat *peerpb.Heartbeat) {
	now := time.Now()
	t.clock.Observe(now, decodeStamp(stamp))
	decoded := decodeHeartbeat(beat)
	decoded.Peer.ID = s.peer
	t.local.HeartbeatReceived(now, decoded)
}

func (t *Transport) stamp() *peerpb.Stamp { return encodeStamp(t.clock.Now(time.Now())) }

// Connect keeps a session to the peer at the address until the context ends. Exactly one process of a pair calls it.
func (t *Transport) Connect(ctx context.Context, peer ident.ProcessID, address string) {
	for ctx.Err() == nil {
		if err := t.connectOnce(ctx, peer, address); err != nil && ctx.Err() == nil {
			t.log.Info("peer session ended", "peer", peer, "error", err)
		}
		pause.For(ctx, HeartbeatInterval)
	}
}

func (t *Transport) connectOnce(ctx context.Context, peer ident.ProcessID, address string) error {
	conn, err := (&net.Dialer{Timeout: HeartbeatTimeout}).DialContext(ctx, "tcp", address)
	if err != nil {
		return fault.As(fault.Unavailable, err, "dial")
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	hello, err := handshake(conn, reader, t.hello())
	if err != nil {
		return err
	}
	if id := hello.GetPeer().GetId(); id != string(peer) {
		return fault.New(fault.Invalid, "process %q answers at the address of %q", id, peer)
	}
	mux, err := yamux.Client(bufferedConn{conn, reader}, sessionConfig())
	if err != nil {
		return fault.As(fault.Unavailable, err, "session")
	}
	defer mux.Close()
	beats, err := mux.OpenStream()
	if err != nil {
		return fault.As(fault.Unavailable, err, "heartbeat stream")
	}
	s := &session{peer: peer, mux: mux}
	t.add(s)
	defer t.remove(s)
	t.running.Go(func() { t.serveCalls(ctx, s) })
	return t.sendHeartbeats(ctx, s, beats)
}

// sendHeartbeats sends one heartbeat each interval until one stays unanswered.
func (t *Transport) sendHeartbeats(ctx context.Context, s *session, stream *yamux.Stream) error {
	stop := context.AfterFunc(ctx, func() { _ = stream.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	reader := bufio.NewReader(stream)
	for ctx.Err() == nil {
		if err := stream.SetDeadline(time.Now().Add(HeartbeatTimeout)); err != nil {
			return fault.As(fault.Unavailable, err, "heartbeat")
		}
		call := &peerpb.Call{
			Stamp: t.stamp(),
			Body:  &peerpb.Call_Heartbeat{Heartbeat: encodeHeartbeat(t.local.Heartbeat(time.Now()))},
		}
		if err := writeFrame(stream, call); err != nil {
			return fault.As(fault.Unavailable, err, "heartbeat")
		}
		reply := &peerpb.Reply{}
		if err := readFrame(reader, reply); err != nil {
			return fault.As(fault.Unavailable, err, "heartbeat")
		}
		t.heartbeatReceived(s, reply.GetStamp(), reply.GetHeartbeat())
		pause.For(ctx, HeartbeatInterval)
	}
	return nil
}

// add makes the session the one that calls use. An older session to the same peer is closed.
func (t *Transport) add(s *session) {
	t.mu.Lock()
	old := t.sessions[s.peer]
	t.sessions[s.peer] = s
	t.mu.Unlock()
	t.changed.Signal()
	if old != nil {
		_ = old.mux.Close() // replaced
		t.clock.Record(time.Now(), timeline.Event{Kind: timeline.ConnectionReplaced, Detail: "peer " + string(s.peer)})
	}
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

// serveCalls serves each stream that the peer opens in a goroutine of its own.
func (t *Transport) serveCalls(ctx context.Context, s *session) {
	for {
		stream, err := s.mux.AcceptStreamWithContext(ctx)
		if err != nil {
			return
		}
		t.running.Go(func() { t.serveCall(ctx, s, stream) })
	}
}

func (t *Transport) serveCall(ctx context.Context, s *session, stream *yamux.Stream) {
	defer stream.Close()
	call := &peerpb.Call{}
	if err := readFrame(bufio.NewReader(stream), call); err != nil {
		t.log.Warn("malformed call", "peer", s.peer, "error", err)
		return
	}
	t.clock.Observe(time.Now(), decodeStamp(call.GetStamp()))
	reply, err := t.dispatch(ctx, call)
	if err != nil {
		reply = &peerpb.Reply{Failure: &peerpb.Failure{Kind: uint32(fault.KindOf(err)), Message: err.Error()}}
	}
	reply.Stamp = t.stamp()
	if err := writeFrame(stream, reply); err != nil {
		t.log.Info("reply not sent", "peer", s.peer, "error", err)
	}
}
