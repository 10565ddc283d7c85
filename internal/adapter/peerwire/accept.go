package peerwire

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"time"

	"github.com/hashicorp/yamux"

	"skylarkstall/internal/adapter/frame"
	"skylarkstall/internal/adapter/peerwire/peerpb"
	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/fault"
)

// serveConn serves a connection that a peer has opened, until its session ends. The first stream of the session carries
// the heartbeats.
func (t *Transport) serveConn(ctx context.Context, conn net.Conn) {
	defer conn.Close()
	s, heartbeatStream, err := t.acceptSession(ctx, conn)
	<-t.handshakeSlots
	if err != nil {
		t.log.Warn("peer connection refused", "remote", conn.RemoteAddr().String(), "error", err)
		return
	}
	defer s.mux.Close()
	if err := t.register(s); err != nil {
		s.closeWithReason(err)
		return
	}
	defer t.unregister(s)
	t.goroutines.Go(func() { t.serveCalls(ctx, s) })
	s.closeWithReason(t.serveHeartbeats(s, heartbeatStream))
}

// acceptSession performs the handshakes on an accepted connection and returns its session and heartbeat stream.
func (t *Transport) acceptSession(ctx context.Context, conn net.Conn) (*session, *frame.Stream, error) {
	secured, err := t.secure(ctx, conn, "")
	if err != nil {
		return nil, nil, err
	}
	reader := bufio.NewReader(secured)
	hello, err := handshake(secured, reader, t.hello())
	if err != nil {
		return nil, nil, err
	}
	if err := verifyPeerID(secured, ident.ProcessID(hello.GetPeer().GetId())); err != nil {
		return nil, nil, err
	}
	if id := ident.ProcessID(hello.GetPeer().GetId()); id >= t.self {
		return nil, nil, fault.New(fault.Invalid,
			"process %q dialed %q, but of two processes only the one with the lower id may dial", id, t.self)
	}
	mux, err := frame.NewMux(yamux.Server, bufferedConn{secured, reader}, sessionConfig())
	if err != nil {
		return nil, nil, fault.WrapAs(fault.Unavailable, err, "create the yamux session")
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	heartbeatStream, err := mux.AcceptStreamWithContext(ctx)
	if err != nil {
		_ = mux.Close() // the session was not used
		return nil, nil, fault.WrapAs(fault.Unavailable, err, "accept the heartbeat stream")
	}
	return newSession(hello, conn, mux, t.log), heartbeatStream, nil
}

// serveHeartbeats replies to heartbeats until the stream fails or the peer sends none for heartbeatReadTimeout.
func (t *Transport) serveHeartbeats(s *session, stream *frame.Stream) error {
	reader := bufio.NewReader(stream)
	for {
		if err := t.serveHeartbeat(s, stream, reader); err != nil {
			return err
		}
	}
}

func (t *Transport) serveHeartbeat(s *session, stream *frame.Stream, reader *bufio.Reader) error {
	defer t.interruptAfter(context.Background(), stream, heartbeatReadTimeout)()
	call := &peerpb.Call{}
	if err := frame.Read(reader, call); err != nil {
		return err
	}
	if err := t.heartbeatReceived(s, call.GetStamp(), call.GetHeartbeat()); err != nil {
		return err
	}
	return frame.Write(stream, &peerpb.Reply{
		Stamp: t.timestamp(),
		Body:  &peerpb.Reply_Heartbeat{Heartbeat: encodeHeartbeat(t.local.Heartbeat(time.Now()))},
	})
}

// serveCalls serves each stream that the peer opens in its own goroutine.
func (t *Transport) serveCalls(ctx context.Context, s *session) {
	for {
		stream, err := s.mux.AcceptStreamWithContext(ctx)
		if err != nil {
			return
		}
		select {
		case s.incomingSlots <- struct{}{}:
			t.goroutines.Go(func() { t.serveCall(ctx, s, stream) })
		default:
			_ = stream.Close() // the call fails with Interrupted at the peer
			s.log.Warn("call refused: too many calls from the peer in progress", "limit", maxCallsPerPeer)
		}
	}
}

func (t *Transport) serveCall(ctx context.Context, s *session, stream *frame.Stream) {
	defer func() { <-s.incomingSlots }()
	defer stream.Close()
	call, err := readCall(s, stream)
	if err != nil {
		if frame.IsMalformed(err) {
			s.closeWithReason(err)
		}
		return
	}
	t.counters.messagesIn.Add(1)
	t.recorder.Observe(time.Now(), decodeTimestamp(call.GetStamp()))
	reply, err := t.dispatch(ctx, call)
	if err != nil {
		reply = &peerpb.Reply{Failure: &peerpb.Failure{Kind: uint32(fault.KindOf(err)), Message: err.Error()}}
	}
	reply.Stamp = t.timestamp()
	if err := t.writeReply(stream, reply); err != nil && !errors.Is(err, io.EOF) {
		s.log.Info("reply not sent", "error", err)
	}
}

// readCall reads a call. At most maxConcurrentReads calls of a session are read concurrently.
func readCall(s *session, stream *frame.Stream) (*peerpb.Call, error) {
	s.readSlots <- struct{}{}
	defer func() { <-s.readSlots }()
	if err := stream.SetReadDeadline(time.Now().Add(callReadTimeout)); err != nil {
		return nil, err
	}
	call := &peerpb.Call{}
	return call, frame.Read(bufio.NewReader(stream), call)
}

// writeReply sends a reply. A reply that is too large is replaced by a failure, so that the peer gets the reason.
func (t *Transport) writeReply(stream *frame.Stream, reply *peerpb.Reply) error {
	if err := stream.SetWriteDeadline(time.Now().Add(replyWriteTimeout)); err != nil {
		return err
	}
	t.counters.messagesOut.Add(1)
	err := frame.Write(stream, reply)
	if fault.Is(err, fault.TooLarge) {
		failure := &peerpb.Failure{Kind: uint32(fault.Interrupted), Message: err.Error()}
		return frame.Write(stream, &peerpb.Reply{Stamp: reply.GetStamp(), Failure: failure})
	}
	return err
}
