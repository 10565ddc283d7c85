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

// Mux is a yamux session whose streams end before it does. Once a session is shut down, yamux's Read and Write go round
// without waiting until its Close has reached their stream; with thousands of streams they take the processor that Close
// needs. The streams of a Mux therefore get a deadline in the past before yamux learns that the connection is lost. Only a
// peer that breaks the protocol of yamux makes the session shut down first.
type Mux struct {
	*yamux.Session

	mu    sync.Mutex
	open  map[*yamux.Stream]struct{}
	ended bool
}

// SessionFunc is yamux.Client or yamux.Server.
type SessionFunc func(io.ReadWriteCloser, *yamux.Config) (*yamux.Session, error)

// NewMux makes a session of the connection.
func NewMux(side SessionFunc, conn io.ReadWriteCloser, config *yamux.Config) (*Mux, error) {
	m := &Mux{open: map[*yamux.Stream]struct{}{}}
	session, err := side(watchedConn{conn, m}, config)
	if err != nil {
		return nil, err
	}
	m.Session = session
	return m, nil
}

// watchedConn ends the streams of its session when the connection is lost or closed.
type watchedConn struct {
	io.ReadWriteCloser
	mux *Mux
}

func (c watchedConn) Read(p []byte) (int, error) {
	n, err := c.ReadWriteCloser.Read(p)
	if err != nil {
		c.mux.expire()
	}
	return n, err
}

func (c watchedConn) Write(p []byte) (int, error) {
	n, err := c.ReadWriteCloser.Write(p)
	if err != nil {
		c.mux.expire()
	}
	return n, err
}

func (c watchedConn) Close() error {
	c.mux.expire()
	return c.ReadWriteCloser.Close()
}

// past is a deadline that has expired.
var past = time.Unix(1, 0)

// Close ends the streams, then the session.
func (m *Mux) Close() error {
	m.expire()
	return m.Session.Close()
}

// expire ends the reads and writes of every stream, now and later.
func (m *Mux) expire() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ended = true
	for stream := range m.open {
		_ = stream.SetDeadline(past) // never fails
	}
	m.open = nil
}

// OpenStream opens a stream.
func (m *Mux) OpenStream() (*Stream, error) {
	stream, err := m.Session.OpenStream()
	if err != nil {
		return nil, err
	}
	return m.add(stream), nil
}

// AcceptStreamWithContext takes a stream that the peer has opened.
func (m *Mux) AcceptStreamWithContext(ctx context.Context) (*Stream, error) {
	stream, err := m.Session.AcceptStreamWithContext(ctx)
	if err != nil {
		return nil, err
	}
	return m.add(stream), nil
}

// RoundTrip sends a request on a stream of its own and reads the reply. It fails with Unavailable when no stream could be
// opened, with TooLarge when nothing was sent, and with Interrupted when no whole reply came; see also IsMalformed.
func (m *Mux) RoundTrip(ctx context.Context, peer string, request, reply proto.Message) error {
	stream, err := m.OpenStream()
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
	interrupted := fault.WrapAs(fault.Interrupted, errors.Join(ctx.Err(), err), "call to "+peer)
	if IsMalformed(err) {
		return MarkMalformed(interrupted)
	}
	return interrupted
}

func (m *Mux) add(stream *yamux.Stream) *Stream {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ended {
		_ = stream.SetDeadline(past) // never fails
	} else {
		m.open[stream] = struct{}{}
	}
	return &Stream{Stream: stream, mux: m}
}

// Stream is a stream of a Mux.
type Stream struct {
	*yamux.Stream
	mux *Mux
}

// Interrupt ends reads and writes in progress.
func (s *Stream) Interrupt() { _ = s.Stream.SetDeadline(past) } // never fails

// SetDeadline sets both deadlines, unless the session has ended.
func (s *Stream) SetDeadline(at time.Time) error { return s.set(s.Stream.SetDeadline, at) }

// SetReadDeadline sets the deadline of reads, unless the session has ended.
func (s *Stream) SetReadDeadline(at time.Time) error { return s.set(s.Stream.SetReadDeadline, at) }

// SetWriteDeadline sets the deadline of writes, unless the session has ended.
func (s *Stream) SetWriteDeadline(at time.Time) error { return s.set(s.Stream.SetWriteDeadline, at) }

func (s *Stream) set(deadline func(time.Time) error, at time.Time) error {
	s.mux.mu.Lock()
	defer s.mux.mu.Unlock()
	if s.mux.ended {
		return yamux.ErrSessionShutdown
	}
	return deadline(at)
}

// Close closes the stream.
func (s *Stream) Close() error {
	s.mux.mu.Lock()
	delete(s.mux.open, s.Stream)
	s.mux.mu.Unlock()
	return s.Stream.Close()
}
