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

// accept serves one session that a peer opened. Its first stream carries heartbeats.
func (t *Transport) accept(ctx context.Context, conn net.Conn) {
	defer conn.Close()
	s, beats, err := t.acceptSession(ctx, conn)
	<-t.handshakes
	if err != nil {
		t.log.Warn("peer refused", "remote", conn.RemoteAddr().String(), "error", err)
		return
	}
	defer s.mux.Close()
	if err := t.add(s); err != nil {
		s.end(err)
		return
	}
	defer t.remove(s)
	t.running.Go(func() { t.serveCalls(ctx, s) })
	s.end(t.answerHeartbeats(s, beats))
}

// acceptSession makes a session of an accepted connection.
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
	if err := checkPeer(secured, ident.ProcessID(hello.GetPeer().GetId())); err != nil {
		return nil, nil, err
	}
	if id := ident.ProcessID(hello.GetPeer().GetId()); id >= t.self {
		return nil, nil, fault.New(fault.Invalid, "process %q dials %q; of two processes the one with the lower id dials",
			id, t.self)
	}
	mux, err := frame.NewMux(yamux.Server, bufferedConn{secured, reader}, sessionConfig())
	if err != nil {
		return nil, nil, fault.WrapAs(fault.Unavailable, err, "session")
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	beats, err := mux.AcceptStreamWithContext(ctx)
	if err != nil {
		_ = mux.Close() // not used
		return nil, nil, fault.WrapAs(fault.Unavailable, err, "heartbeat stream")
	}
	return newSession(hello, conn, mux, t.log), beats, nil
}

// answerHeartbeats answers until the peer is silent.
func (t *Transport) answerHeartbeats(s *session, stream *frame.Stream) error {
	reader := bufio.NewReader(stream)
	for {
		if err := t.answerHeartbeat(s, stream, reader); err != nil {
			return err
		}
	}
}

func (t *Transport) answerHeartbeat(s *session, stream *frame.Stream, reader *bufio.Reader) error {
	defer t.expireAfter(context.Background(), stream, silenceLimit)()
	call := &peerpb.Call{}
	if err := frame.Read(reader, call); err != nil {
		return err
	}
	if err := t.heartbeatReceived(s, call.GetStamp(), call.GetHeartbeat()); err != nil {
		return err
	}
	return frame.Write(stream, &peerpb.Reply{
		Stamp: t.stamp(),
		Body:  &peerpb.Reply_Heartbeat{Heartbeat: encodeHeartbeat(t.local.Heartbeat(time.Now()))},
	})
}

// serveCalls serves each stream that the peer opens in a goroutine of its own.
func (t *Transport) serveCalls(ctx context.Context, s *session) {
	for {
		stream, err := s.mux.AcceptStreamWithContext(ctx)
		if err != nil {
			return
		}
		select {
		case s.serving <- struct{}{}:
			t.running.Go(func() { t.serveCall(ctx, s, stream) })
		default:
			_ = stream.Close() // the caller sees the call break off
			s.log.Warn("call refused: too many calls of the peer are in progress", "limit", maxStreams)
		}
	}
}

func (t *Transport) serveCall(ctx context.Context, s *session, stream *frame.Stream) {
	defer func() { <-s.serving }()
	defer stream.Close()
	call, err := readCall(s, stream)
	if err != nil {
		if frame.IsMalformed(err) {
			s.end(err)
		}
		return
	}
	t.traffic.messagesIn.Add(1)
	t.clock.Observe(time.Now(), decodeStamp(call.GetStamp()))
	reply, err := t.dispatch(ctx, call)
	if err != nil {
		reply = &peerpb.Reply{Failure: &peerpb.Failure{Kind: uint32(fault.KindOf(err)), Message: err.Error()}}
	}
	reply.Stamp = t.stamp()
	if err := t.writeReply(stream, reply); err != nil && !errors.Is(err, io.EOF) {
		s.log.Info("reply not sent", "error", err)
	}
}

// readCall reads one call; a bounded number of calls is read at the same time.
func readCall(s *session, stream *frame.Stream) (*peerpb.Call, error) {
	s.reading <- struct{}{}
	defer func() { <-s.reading }()
	if err := stream.SetReadDeadline(time.Now().Add(callReadTimeout)); err != nil {
		return nil, err
	}
	call := &peerpb.Call{}
	return call, frame.Read(bufio.NewReader(stream), call)
}

// writeReply sends a reply. One that is too large is replaced by a failure, so that the caller learns of it.
func (t *Transport) writeReply(stream *frame.Stream, reply *peerpb.Reply) error {
	if err := stream.SetWriteDeadline(time.Now().Add(replyWriteTimeout)); err != nil {
		return err
	}
	t.traffic.messagesOut.Add(1)
	err := frame.Write(stream, reply)
	if fault.Is(err, fault.TooLarge) {
		failure := &peerpb.Failure{Kind: uint32(fault.Interrupted), Message: err.Error()}
		return frame.Write(stream, &peerpb.Reply{Stamp: reply.GetStamp(), Failure: failure})
	}
	return err
}
