package peerwire

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"time"

	"github.com/hashicorp/yamux"

	"skylarkstall/internal/adapter/peerwire/peerpb"
	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/fault"
)

// Times of a session.
const (
	// HeartbeatInterval is how often the dialing side sends a heartbeat; the reply is the other side's.
	HeartbeatInterval = time.Second
	// HeartbeatTimeout is how long a heartbeat may stay unanswered. A silent connection is replaced within three
	// intervals.
	HeartbeatTimeout = 2 * time.Second
	// handshakeTimeout bounds the exchange of the first messages.
	handshakeTimeout = 3 * time.Second
	// ackBacklog is how many streams may wait to be accepted.
	ackBacklog = 1024
)

// protocolVersion changes when processes of two versions cannot work together.
const protocolVersion = 1

func sessionConfig() *yamux.Config {
	config := yamux.DefaultConfig()
	config.EnableKeepAlive = false // heartbeats find silent connections sooner
	config.AcceptBacklog = ackBacklog
	config.ConnectionWriteTimeout = HeartbeatTimeout
	config.StreamOpenTimeout = HeartbeatTimeout
	config.LogOutput = io.Discard
	return config
}

// session is one connection to a peer.
type session struct {
	peer ident.ProcessID
	mux  *yamux.Session
}

// roundTrip sends a call on a stream of its own and reads the reply. It fails with Unavailable when nothing was sent and
// with Interrupted when the reply did not arrive.
func (s *session) roundTrip(ctx context.Context, call *peerpb.Call) (*peerpb.Reply, error) {
	stream, err := s.mux.OpenStream()
	if err != nil {
		return nil, fault.As(fault.Unavailable, err, "open a stream to "+string(s.peer))
	}
	defer stream.Close()
	stop := context.AfterFunc(ctx, func() { _ = stream.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if err := writeFrame(stream, call); err != nil {
		return nil, callError(ctx, err, s.peer)
	}
	reply := &peerpb.Reply{}
	if err := readFrame(bufio.NewReader(stream), reply); err != nil {
		return nil, callError(ctx, err, s.peer)
	}
	return reply, nil
}

func callError(ctx context.Context, err error, peer ident.ProcessID) error {
	if fault.Is(err, fault.TooLarge) {
		return err
	}
	if cause := ctx.Err(); cause != nil {
		err = errors.Join(cause, err)
	}
	return fault.As(fault.Interrupted, err, "call to "+string(peer))
}

// handshake exchanges hello messages on the first stream.
func handshake(conn net.Conn, reader *bufio.Reader, self *peerpb.Hello) (*peerpb.Hello, error) {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return nil, fault.As(fault.Unavailable, err, "handshake")
	}
	if err := writeFrame(conn, self); err != nil {
		return nil, fault.As(fault.Unavailable, err, "handshake")
	}
	hello := &peerpb.Hello{}
	if err := readFrame(reader, hello); err != nil {
		return nil, fault.As(fault.Unavailable, err, "handshake")
	}
	if hello.GetVersion() != protocolVersion {
		return nil, fault.New(fault.Invalid, "peer %q speaks protocol version %d, not %d",
			hello.GetPeer().GetId(), hello.GetVersion(), protocolVersion)
	}
	if err := ident.Check("process id", hello.GetPeer().GetId()); err != nil {
		return nil, err
	}
	return hello, conn.SetDeadline(time.Time{})
}
