package frame

import (
	"bufio"
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"

	"skylarkstall/internal/fault"
)

// Mux is a yamux session that interrupts its streams before it shuts down. After the shutdown of a session, Read and Write
// of yamux streams spin until the session's Close has reached their stream; with thousands of streams they use the CPU time
// that Close needs. Therefore a Mux sets a past deadline on its streams before yamux notices that the connection is lost.
// Only if the peer violates the yamux protocol does the session shut down first.
type Mux struct {
	*yamux.Session

	mu      sync.Mutex
	streams map[*yamux.Stream]struct{}
	closed  bool
}

// SessionFunc creates the session of one side of a connection: yamux.Client or yamux.Server.
type SessionFunc func(io.ReadWriteCloser, *yamux.Config) (*yamux.Session, error)

// NewMux creates a session on the connection.
func NewMux(newSession SessionFunc, conn io.ReadWriteCloser, config *yamux.Config) (*Mux, error) {
	m := &Mux{streams: map[*yamux.Stream]struct{}{}}
	session, err := newSession(watchedConn{conn, m}, config)
	if err != nil {
		return nil, err
	}
	m.Session = session
	return m, nil
}

// watchedConn interrupts the streams of its session when the connection fails or is closed.
type watchedConn struct {
	io.ReadWriteCloser
	mux *Mux
}

func (c watchedConn) Read(p []byte) (int, error) {
	n, err := c.ReadWriteCloser.Read(p)
	if err != nil {
		c.mux.interruptStreams()
	}
	return n, err
}

func (c watchedConn) Write(p []byte) (int, error) {
	n, err := c.ReadWriteCloser.Write(p)
	if err != nil {
		c.mux.interruptStreams()
	}
	return n, err
}

func (c watchedConn) Close() error {
	c.mux.interruptStreams()
	return c.ReadWriteCloser.Close()
}

// expiredDeadline is a deadline in the past.
var expiredDeadline = time.Unix(1, 0)

// Close interrupts the streams and closes the session.
func (m *Mux) Close() error {
	m.interruptStreams()
	return m.Session.Close()
}

// interruptStreams interrupts current and future reads and writes of all streams.
func (m *Mux) interruptStreams() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closed = true
	for stream := range m.streams {
		_ = stream.SetDeadline(expiredDeadline) // never fails
	}
	m.streams = nil
}

// OpenStream opens a stream to the peer. It returns when the context ends, although yamux waits without a limit once the peer
// has not accepted the last AcceptBacklog streams.
func (m *Mux) OpenStream(ctx context.Context) (*Stream, error) {
	opened, failed := make(chan *yamux.Stream), make(chan error, 1)
	go func() {
		stream, err := m.Session.OpenStream()
		if err != nil {
			failed <- err
			return
		}
		select {
		case opened <- stream:
		case <-ctx.Done():
			_ = stream.Close() // nothing was sent on it
		}
	}()
	select {
	case stream := <-opened:
		return m.track(stream), nil
	case err := <-failed:
		return nil, err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// AcceptStreamWithContext accepts a stream that the peer opened.
func (m *Mux) AcceptStreamWithContext(ctx context.Context) (*Stream, error) {
	stream, err := m.Session.AcceptStreamWithContext(ctx)
	if err != nil {
		return nil, err
	}
	return m.track(stream), nil
}

// RoundTrip sends a request on a new stream and reads the reply. It fails with Unavailable if no stream could be opened,
// with TooLarge if the request exceeds the maximum size, and with Interrupted if no complete reply arrived; see also
// IsMalformed. With Unavailable and TooLarge nothing was sent.
func (m *Mux) RoundTrip(ctx context.Context, peer string, request, reply proto.Message) error {
	stream, err := m.OpenStream(ctx)
	if err != nil {
		return fault.WrapAs(fault.Unavailable, err, "open a stream to "+peer)
	}
	defer stream.Close()
	stop := context.AfterFunc(ctx, stream.Interrupt)
	defer stop()
	if err = Write(stream, request); err == nil {
		err = Read(bufio.NewReader(stream), reply)
	}
	if err == nil || fault.Is(err, fault.TooLarge) {
		return err
	}
	interrupted := fault.WrapAs(fault.Interrupted, errors.Join(ctx.Err(), err), "call "+peer)
	if IsMalformed(err) {
		return MarkMalformed(interrupted)
	}
	return interrupted
}

func (m *Mux) track(stream *yamux.Stream) *Stream {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		_ = stream.SetDeadline(expiredDeadline) // never fails
	} else {
		m.streams[stream] = struct{}{}
	}
	return &Stream{Stream: stream, mux: m}
}

// Stream is a stream of a Mux.
type Stream struct {
	*yamux.Stream
	mux *Mux
}

// Interrupt interrupts reads and writes in progress by setting a past deadline.
func (s *Stream) Interrupt() { _ = s.Stream.SetDeadline(expiredDeadline) } // never fails

// SetDeadline sets the read and write deadlines, unless the Mux is closed.
func (s *Stream) SetDeadline(at time.Time) error { return s.setUnlessClosed(s.Stream.SetDeadline, at) }

// SetReadDeadline sets the read deadline, unless the Mux is closed.
func (s *Stream) SetReadDeadline(at time.Time) error {
	return s.setUnlessClosed(s.Stream.SetReadDeadline, at)
}

// SetWriteDeadline sets the write deadline, unless the Mux is closed.
func (s *Stream) SetWriteDeadline(at time.Time) error {
	return s.setUnlessClosed(s.Stream.SetWriteDeadline, at)
}

func (s *Stream) setUnlessClosed(set func(time.Time) error, at time.Time) error {
	s.mux.mu.Lock()
	defer s.mux.mu.Unlock()
	if s.mux.closed {
		return yamux.ErrSessionShutdown
	}
	return set(at)
}

// Close closes the stream.
func (s *Stream) Close() error {
	s.mux.mu.Lock()
	delete(s.mux.streams, s.Stream)
	s.mux.mu.Unlock()
	return s.Stream.Close()
}
