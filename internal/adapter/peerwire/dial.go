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

// Connect keeps a session to the peer at the address until the context ends. Exactly one process of a pair calls it.
// Attempts are at least one interval apart. A session that went silent has lasted longer and is replaced at once, so
// that the peer does not count as dead meanwhile.
func (t *Transport) Connect(ctx context.Context, peer ident.ProcessID, address string) {
	for ctx.Err() == nil {
		began := time.Now()
		if err := t.connectOnce(ctx, peer, address); err != nil && ctx.Err() == nil {
			t.log.Info("peer not connected", "peer", peer, "error", err)
		}
		pause.For(ctx, HeartbeatInterval-time.Since(began))
	}
}

// connectOnce returns an error when no session came about, and nil when the session has ended.
func (t *Transport) connectOnce(ctx context.Context, peer ident.ProcessID, address string) error {
	conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", address)
	if err != nil {
		return fault.WrapAs(fault.Unavailable, err, "dial")
	}
	defer conn.Close()
	s, beats, err := t.open(ctx, conn, peer)
	if err != nil {
		return err
	}
	defer s.mux.Close()
	if err := t.add(s); err != nil {
		return err
	}
	defer t.remove(s)
	t.running.Go(func() { t.serveCalls(ctx, s) })
	s.end(t.sendHeartbeats(ctx, s, beats))
	return nil
}

// open makes a session of a connection that this process dialed.
func (t *Transport) open(
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
		return nil, nil, fault.New(fault.Invalid, "process %q answers at the address of %q", id, peer)
	}
	mux, err := frame.NewMux(yamux.Client, bufferedConn{secured, reader}, sessionConfig())
	if err != nil {
		return nil, nil, fault.WrapAs(fault.Unavailable, err, "session")
	}
	beats, err := mux.OpenStream()
	if err != nil {
		_ = mux.Close() // not used
		return nil, nil, fault.WrapAs(fault.Unavailable, err, "heartbeat stream")
	}
	return newSession(hello, conn, mux, t.log), beats, nil
}

// sendHeartbeats sends one heartbeat each interval until one stays unanswered.
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

// exchangeHeartbeats sends a heartbeat and reads the peer's.
func (t *Transport) exchangeHeartbeats(
	ctx context.Context, s *session, stream *frame.Stream, reader *bufio.Reader,
) error {
	defer t.expireAfter(ctx, stream, HeartbeatTimeout)()
	call := &peerpb.Call{
		Stamp: t.stamp(),
		Body:  &peerpb.Call_Heartbeat{Heartbeat: encodeHeartbeat(t.local.Heartbeat(time.Now()))},
	}
	if err := frame.Write(stream, call); err != nil {
		return fault.WrapAs(fault.Unavailable, err, "heartbeat")
	}
	reply := &peerpb.Reply{}
	if err := frame.Read(reader, reply); err != nil {
		return err
	}
	return t.heartbeatReceived(s, reply.GetStamp(), reply.GetHeartbeat())
}

// expireAfter ends the reads and writes of a stream after a time, to which the time is added in which this process got
// no processor: what the peer sent may wait unread. The returned function calls it off.
func (t *Transport) expireAfter(ctx context.Context, stream *frame.Stream, limit time.Duration) context.CancelFunc {
	ctx, cancel := context.WithCancel(ctx)
	lag := t.local.SchedulingDelay()
	go func() {
		for wait := limit; pause.For(ctx, wait); {
			now := t.local.SchedulingDelay()
			if now <= lag {
				stream.Interrupt()
				return
			}
			wait, lag = now-lag, now
		}
	}()
	return cancel
}

func (t *Transport) heartbeatReceived(s *session, stamp *peerpb.Stamp, beat *peerpb.Heartbeat) error {
	if beat == nil {
		return frame.MarkMalformed(fault.New(fault.Invalid, "a message without a heartbeat on the stream of heartbeats"))
	}
	t.traffic.messagesIn.Add(1)
	t.traffic.messagesOut.Add(1)
	now := time.Now()
	t.clock.Observe(now, decodeStamp(stamp))
	decoded := decodeHeartbeat(beat)
	decoded.Peer.ID = s.peer
	t.local.HeartbeatReceived(now, decoded)
	return nil
}
