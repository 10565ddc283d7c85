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

// protocolVersion changes when processes of two versions cannot work together.
const protocolVersion = 1

func sessionConfig() *yamux.Config {
	config := yamux.DefaultConfig()
	config.EnableKeepAlive = false // heartbeats find silent connections sooner
	config.AcceptBacklog = ackBacklog
	config.ConnectionWriteTimeout = HeartbeatTimeout
	config.StreamOpenTimeout = 0 // yamux would close the session of a peer that is only late
	config.LogOutput = io.Discard
	return config
}

// session is one connection to a peer.
type session struct {
	peer        ident.ProcessID
	incarnation uint64
	conn        net.Conn // below TLS and yamux
	mux         *frame.Mux
	log         *slog.Logger
	calling     chan struct{} // one element for each call to the peer in progress
	serving     chan struct{} // one element for each call of the peer in progress
	reading     chan struct{} // one element for each call of the peer that is being read
	ended       sync.Once
}

func newSession(hello *peerpb.Hello, conn net.Conn, mux *frame.Mux, log *slog.Logger) *session {
	id := ident.ProcessID(hello.GetPeer().GetId())
	return &session{
		peer: id, incarnation: hello.GetPeer().GetIncarnation(), conn: conn, mux: mux, log: log.With("peer", id),
		calling: make(chan struct{}, maxStreams), serving: make(chan struct{}, maxStreams),
		reading: make(chan struct{}, maxReading),
	}
}

// end closes the session and logs the first reason. The connection is closed below yamux and TLS first, because both
// would try to send a last message on a connection that may be stuck.
func (s *session) end(err error) {
	s.ended.Do(func() {
		if frame.IsMalformed(err) {
			s.log.Warn("malformed message; peer session ended", "error", err)
		} else {
			s.log.Info("peer session ended", "error", err)
		}
		_ = s.conn.Close()
		_ = s.mux.Close()
	})
}

// roundTrip sends a call on a stream of its own and reads the reply. It fails with Unavailable when nothing was sent,
// Overloaded when too many calls to the peer are in progress, and Interrupted when the reply did not arrive.
func (s *session) roundTrip(ctx context.Context, call *peerpb.Call) (*peerpb.Reply, error) {
	select {
	case s.calling <- struct{}{}:
		defer func() { <-s.calling }()
	default:
		return nil, fault.New(fault.Overloaded, "%d calls to %s are in progress; that is the limit", maxStreams, s.peer)
	}
	reply := &peerpb.Reply{}
	if err := s.mux.RoundTrip(ctx, string(s.peer), call, reply); err != nil {
		if frame.IsMalformed(err) {
			s.end(err)
		}
		return nil, err
	}
	return reply, nil
}

// handshake exchanges hello messages on the first stream.
func handshake(conn net.Conn, reader *bufio.Reader, self *peerpb.Hello) (*peerpb.Hello, error) {
	if err := conn.SetDeadline(time.Now().Add(dialTimeout)); err != nil {
		return nil, fault.WrapAs(fault.Unavailable, err, "handshake")
	}
	if err := frame.Write(conn, self); err != nil {
		return nil, fault.WrapAs(fault.Unavailable, err, "handshake")
	}
	hello := &peerpb.Hello{}
	if err := frame.Read(reader, hello); err != nil {
		return nil, fault.WrapAs(fault.Unavailable, err, "handshake")
	}
	if hello.GetVersion() != protocolVersion {
		return nil, fault.New(fault.Invalid, "peer %q speaks protocol version %d, not %d",
			hello.GetPeer().GetId(), hello.GetVersion(), protocolVersion)
	}
	if err := ident.Validate("process id", hello.GetPeer().GetId()); err != nil {
		return nil, err
	}
	return hello, conn.SetDeadline(time.Time{})
}
