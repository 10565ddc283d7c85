package peerwire

import (
	"bufio"
	"context"
	"net"
	"time"

	"github.com/hashicorp/yamux"

	"skylarkstall/internal/adapter/frame"
	"skylarkstall/internal/adapter/peerwire/peerpb"
	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/pause"
)

// Connect maintains a session to the peer at the address until the context ends. Only one process of a pair calls it:
// the one with the lower id. Connection attempts start at least one heartbeat interval apart. A session that stopped
// responding has lasted longer than that and is therefore replaced at once, before the peer counts as dead.
func (t *Transport) Connect(ctx context.Context, peer ident.ProcessID, address string) {
	for ctx.Err() == nil {
		started := time.Now()
		if err := t.connectOnce(ctx, peer, address); err != nil && ctx.Err() == nil {
			t.log.Info("connecting to peer failed", "peer", peer, "error", err)
		}
		pause.For(ctx, HeartbeatInterval-time.Since(started))
	}
}

// connectOnce opens a session and serves it until it ends. It returns an error if no session could be opened.
func (t *Transport) connectOnce(ctx context.Context, peer ident.ProcessID, address string) error {
	conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", address)
	if err != nil {
		return fault.WrapAs(fault.Unavailable, err, "dial peer")
	}
	defer conn.Close()
	s, heartbeatStream, err := t.openSession(ctx, conn, peer)
	if err != nil {
		return err
	}
	defer s.mux.Close()
	if err := t.register(s); err != nil {
		return err
	}
	defer t.unregister(s)
	t.goroutines.Go(func() { t.serveCalls(ctx, s) })
	s.closeWithReason(t.sendHeartbeats(ctx, s, heartbeatStream))
	return nil
}

// openSession performs the handshakes on a dialed connection and returns its session and heartbeat stream.
func (t *Transport) openSession(
	ctx context.Context, conn net.Conn, peer ident.ProcessID,
) (*session, *frame.Stream, error) {
	secured, err := t.secure(ctx, conn, peer)
	if err != nil {
		return nil, nil, err
	}
	reader := bufio.NewReader(secured)
	hello, err := handshake(secured, reader, t.hello())
	if err != nil {
		return nil, nil, err
	}
	if id := hello.GetPeer().GetId(); id != string(peer) {
		return nil, nil, fault.New(fault.Invalid, "process %q responded at the address of %q", id, peer)
	}
	mux, err := frame.NewMux(yamux.Client, bufferedConn{secured, reader}, sessionConfig())
	if err != nil {
		return nil, nil, fault.WrapAs(fault.Unavailable, err, "create the yamux session")
	}
	openCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	heartbeatStream, err := mux.OpenStream(openCtx)
	if err != nil {
		_ = mux.Close() // the session was not used
		return nil, nil, fault.WrapAs(fault.Unavailable, err, "open the heartbeat stream")
	}
	return newSession(hello, conn, mux, t.log), heartbeatStream, nil
}

// sendHeartbeats sends a heartbeat at each interval until one gets no reply or the context ends.
func (t *Transport) sendHeartbeats(ctx context.Context, s *session, stream *frame.Stream) error {
	stop := context.AfterFunc(ctx, stream.Interrupt)
	defer stop()
	reader := bufio.NewReader(stream)
	for ctx.Err() == nil {
		if err := t.exchangeHeartbeats(ctx, s, stream, reader); err != nil {
			return err
		}
		pause.For(ctx, HeartbeatInterval)
	}
	return ctx.Err()
}

// exchangeHeartbeats sends a heartbeat and reads that of the peer.
func (t *Transport) exchangeHeartbeats(
	ctx context.Context, s *session, stream *frame.Stream, reader *bufio.Reader,
) error {
	defer t.interruptAfter(ctx, stream, HeartbeatTimeout)()
	call := &peerpb.Call{
		Stamp: t.timestamp(),
		Body:  &peerpb.Call_Heartbeat{Heartbeat: encodeHeartbeat(t.local.Heartbeat(time.Now()))},
	}
	if err := frame.Write(stream, call); err != nil {
		return fault.WrapAs(fault.Unavailable, err, "send heartbeat")
	}
	reply := &peerpb.Reply{}
	if err := frame.Read(reader, reply); err != nil {
		return err
	}
	return t.heartbeatReceived(s, reply.GetStamp(), reply.GetHeartbeat())
}

// interruptAfter interrupts reads and writes on a stream after the limit, extended by the time for which this process
// was not scheduled on a CPU meanwhile: data of the peer may have arrived and not been read yet. The returned function
// cancels the interruption.
func (t *Transport) interruptAfter(ctx context.Context, stream *frame.Stream, limit time.Duration) context.CancelFunc {
	ctx, cancel := context.WithCancel(ctx)
	delay := t.local.SchedulingDelay()
	go func() {
		for wait := limit; pause.For(ctx, wait); {
			newDelay := t.local.SchedulingDelay()
			if newDelay <= delay {
				stream.Interrupt()
				return
			}
			wait, delay = newDelay-delay, newDelay
		}
	}()
	return cancel
}

// heartbeatReceived passes a heartbeat to the local process. It counts it and the heartbeat sent in the same exchange.
func (t *Transport) heartbeatReceived(s *session, timestamp *peerpb.Stamp, heartbeat *peerpb.Heartbeat) error {
	if heartbeat == nil {
		return frame.MarkMalformed(fault.New(fault.Invalid, "message without a heartbeat on the heartbeat stream"))
	}
	t.counters.messagesIn.Add(1)
	t.counters.messagesOut.Add(1)
	now := time.Now()
	t.recorder.Observe(now, decodeTimestamp(timestamp))
	decoded := decodeHeartbeat(heartbeat)
	decoded.Peer.ID = s.peer
	t.local.HeartbeatReceived(now, decoded)
	return nil
}
