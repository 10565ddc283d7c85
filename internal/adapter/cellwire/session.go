package cellwire

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"time"

	"github.com/hashicorp/yamux"

	"skylarkstall/internal/adapter/cellwire/cellpb"
	"skylarkstall/internal/adapter/frame"
	"skylarkstall/internal/domain/fitness"
	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/fault"
)

// session is a multiplexed connection to another process.
type session struct {
	peer        ident.ProcessID
	incarnation uint64
	address     string        // listen address of the peer
	share       fitness.Share // of a processor, as far as the peer can use it
	conn        net.Conn
	mux         *frame.Mux
}

// handshake exchanges hello messages and starts a multiplexed session. The session ends when the peer sends nothing for
// silenceTimeout, unless that is 0.
func (t *Transport) handshake(
	conn net.Conn, newSession frame.SessionFunc, silenceTimeout time.Duration,
) (*session, error) {
	if err := conn.SetDeadline(time.Now().Add(dialTimeout)); err != nil {
		return nil, fault.WrapAs(fault.Unavailable, err, "open a session")
	}
	ownHello := &cellpb.Hello{
		Version: protocolVersion, Process: string(t.self.Process), Incarnation: t.self.Incarnation,
		Address: t.self.Address, CpuMillicores: t.self.Share.Millicores(),
	}
	if err := frame.Write(conn, ownHello); err != nil {
		return nil, fault.WrapAs(fault.Unavailable, err, "open a session")
	}
	reader := bufio.NewReader(conn)
	peerHello := &cellpb.Hello{}
	if err := frame.Read(reader, peerHello); err != nil {
		return nil, fault.WrapAs(fault.Unavailable, err, "open a session")
	}
	if peerHello.GetVersion() != protocolVersion {
		return nil, fault.New(fault.Invalid, "process %q uses protocol version %d, want %d",
			peerHello.GetProcess(), peerHello.GetVersion(), protocolVersion)
	}
	if err := conn.SetDeadline(time.Time{}); err != nil {
		return nil, fault.WrapAs(fault.Unavailable, err, "open a session")
	}
	mux, err := frame.NewMux(newSession, bufferedConn{conn, reader, silenceTimeout}, sessionConfig())
	if err != nil {
		return nil, fault.WrapAs(fault.Unavailable, err, "open a session")
	}
	return &session{
		peer: ident.ProcessID(peerHello.GetProcess()), incarnation: peerHello.GetIncarnation(), address: peerHello.GetAddress(),
		share: fitness.ShareOf(peerHello.GetCpuMillicores()), conn: conn, mux: mux,
	}, nil
}

// bufferedConn reads through the buffer of the handshake, which may contain data that follows the hello message. If it has a
// silence timeout, a read fails once nothing has arrived for that long: a connection whose other end was lost may stay open
// without a reset.
type bufferedConn struct {
	net.Conn
	reader         *bufio.Reader
	silenceTimeout time.Duration
}

// Read waits twice for half of the timeout: a process that was paused itself finds the first deadline expired, and data that
// arrived meanwhile unread.
func (c bufferedConn) Read(p []byte) (int, error) {
	if c.silenceTimeout == 0 {
		return c.reader.Read(p)
	}
	n, err := c.readWithin(p, c.silenceTimeout/2)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		n, err = c.readWithin(p, c.silenceTimeout/2)
	}
	return n, err
}

func (c bufferedConn) readWithin(p []byte, timeout time.Duration) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return 0, err
	}
	return c.reader.Read(p)
}

func sessionConfig() *yamux.Config {
	config := yamux.DefaultConfig()
	config.EnableKeepAlive = false // the dialing side pings; the other side ends a session on which no pings arrive
	config.ConnectionWriteTimeout = pingTimeout
	config.StreamOpenTimeout = 0 // otherwise yamux closes the session if the peer accepts a stream late
	config.LogOutput = io.Discard
	return config
}

// call makes one call on a new stream. It fails with Unavailable or TooLarge if nothing was sent, with Interrupted if no
// reply arrived, and otherwise with the error that the peer returned.
func (s *session) call(ctx context.Context, call *cellpb.Call) (*cellpb.Reply, error) {
	reply := &cellpb.Reply{}
	if err := s.mux.RoundTrip(ctx, string(s.peer), call, reply); err != nil {
		return nil, err
	}
	if f := reply.GetFailure(); f != nil {
		return nil, fault.New(fault.Kind(f.GetKind()), "%s: %s", s.peer, f.GetMessage())
	}
	return reply, nil
}
