package peerwire

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"

	"skylarkstall/internal/adapter/frame"
	"skylarkstall/internal/adapter/peerwire/peerpb"
	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/fault"
)

// protocolVersion is incremented by incompatible changes of the protocol.
const protocolVersion = 1

func sessionConfig() *yamux.Config {
	config := yamux.DefaultConfig()
	config.EnableKeepAlive = false // heartbeats detect unresponsive connections sooner
	config.AcceptBacklog = acceptBacklog
	config.ConnectionWriteTimeout = HeartbeatTimeout
	config.StreamOpenTimeout = 0 // with a timeout, yamux closes the session of a peer that is merely slow
	config.LogOutput = io.Discard
	return config
}

// session is one connection to a peer.
type session struct {
	peer          ident.ProcessID
	incarnation   uint64
	conn          net.Conn // the connection below TLS and yamux
	mux           *frame.Mux
	log           *slog.Logger
	outgoingSlots chan struct{} // one element for each call to the peer in progress
	incomingSlots chan struct{} // one element for each call from the peer in progress
	readSlots     chan struct{} // one element for each call from the peer that is being read
	closeOnce     sync.Once
}

func newSession(hello *peerpb.Hello, conn net.Conn, mux *frame.Mux, log *slog.Logger) *session {
	id := ident.ProcessID(hello.GetPeer().GetId())
	return &session{
		peer: id, incarnation: hello.GetPeer().GetIncarnation(), conn: conn, mux: mux, log: log.With("peer", id),
		outgoingSlots: make(chan struct{}, maxCallsPerPeer), incomingSlots: make(chan struct{}, maxCallsPerPeer),
		readSlots: make(chan struct{}, maxConcurrentReads),
	}
}

// closeWithReason closes the session and logs the reason; further calls have no effect. The underlying connection is
// closed first, because yamux and TLS would send a final message on a connection that may be stuck.
func (s *session) closeWithReason(err error) {
	s.closeOnce.Do(func() {
		if frame.IsMalformed(err) {
			s.log.Warn("malformed message; peer session ended", "error", err)
		} else {
			s.log.Info("peer session ended", "error", err)
		}
		_ = s.conn.Close()
		_ = s.mux.Close()
	})
}

// roundTrip sends a call on its own stream and reads the reply. It fails with Unavailable if nothing was sent, with
// Overloaded if too many calls to the peer are in progress, and with Interrupted if no complete reply arrived.
func (s *session) roundTrip(ctx context.Context, call *peerpb.Call) (*peerpb.Reply, error) {
	select {
	case s.outgoingSlots <- struct{}{}:
		defer func() { <-s.outgoingSlots }()
	default:
		return nil, fault.New(fault.Overloaded, "limit of %d calls in progress to process %s reached", maxCallsPerPeer, s.peer)
	}
	reply := &peerpb.Reply{}
	if err := s.mux.RoundTrip(ctx, string(s.peer), call, reply); err != nil {
		if frame.IsMalformed(err) {
			s.closeWithReason(err)
		}
		return nil, err
	}
	return reply, nil
}

// handshake exchanges hello messages before the yamux session is created, and checks that of the peer.
func handshake(conn net.Conn, reader *bufio.Reader, self *peerpb.Hello) (*peerpb.Hello, error) {
	if err := conn.SetDeadline(time.Now().Add(dialTimeout)); err != nil {
		return nil, fault.WrapAs(fault.Unavailable, err, "handshake")
	}
	if err := frame.Write(conn, self); err != nil {
		return nil, fault.WrapAs(fault.Unavailable, err, "handshake: send the hello message")
	}
	hello := &peerpb.Hello{}
	if err := frame.Read(reader, hello); err != nil {
		return nil, fault.WrapAs(fault.Unavailable, err, "handshake: read the hello message")
	}
	if hello.GetVersion() != protocolVersion {
		return nil, fault.New(fault.Invalid, "peer %q uses protocol version %d, want %d",
			hello.GetPeer().GetId(), hello.GetVersion(), protocolVersion)
	}
	if err := ident.Validate("process id", hello.GetPeer().GetId()); err != nil {
		return nil, err
	}
	return hello, conn.SetDeadline(time.Time{})
}
