package cellwire

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net"
	"os"
	"runtime/debug"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/hashicorp/yamux"

	"skylarkstall/internal/adapter/cellwire/cellpb"
	"skylarkstall/internal/adapter/frame"
	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/pause"
	"skylarkstall/internal/port"
)

// protocolVersion is incremented by incompatible changes. Processes with different versions refuse sessions.
const protocolVersion = 1

// Timeouts and intervals of a session.
const (
	dialTimeout  = 400 * time.Millisecond
	redialDelay  = 100 * time.Millisecond
	pingInterval = 500 * time.Millisecond
	pingTimeout  = 1500 * time.Millisecond
	replyTimeout = 5 * time.Second
	// silenceTimeout is how long the process that opened a session may send nothing. Its pings are at most pingInterval and
	// pingTimeout apart.
	silenceTimeout = 2 * pingTimeout
)

// maxSessions is the maximum number of sessions that other processes open to this one.
const maxSessions = 256

// maxCalls is the maximum number of calls of one session that are handled at the same time. Further ones wait.
const maxCalls = 1024

// Handler handles calls from other processes.
type Handler interface {
	port.Scheduler
	port.PermitClient
	// OwnTerm returns this process as leader with its term, or false if it is not the leader.
	OwnTerm() (port.Leader, bool)
}

// Transport manages the session to the leader and the sessions that other processes opened to this one.
type Transport struct {
	self     port.Leader // Term is not set
	listener net.Listener
	handler  Handler
	replica  port.ConfigReplica
	log      *slog.Logger

	mu             sync.Mutex
	leaderSession  *session
	followedLeader port.Leader                  // leader at the other end of leaderSession
	inbound        map[ident.ProcessID]*session // sessions opened by other processes
	addresses      map[string]bool              // known addresses of processes, including outdated ones
	ending         bool                         // the context of Run has ended; no goroutine is started any more
	goroutines     sync.WaitGroup
}

// session is a multiplexed connection to another process.
type session struct {
	peer        ident.ProcessID
	incarnation uint64
	address     string // listen address of the peer
	conn        net.Conn
	mux         *frame.Mux
}

// New returns a transport that accepts sessions on the listener when Run is called. Seeds are possible addresses of other
// processes.
func New(
	self port.Leader, listener net.Listener, seeds []string, handler Handler, replica port.ConfigReplica, log *slog.Logger,
) *Transport {
	t := &Transport{
		self: self, listener: listener, handler: handler, replica: replica, log: log, inbound: map[ident.ProcessID]*session{},
		addresses: map[string]bool{},
	}
	t.addAddresses(seeds...)
	return t
}

// maxAddresses is the maximum number of addresses learned from seeds and peers.
const maxAddresses = 256

// addAddresses adds addresses of processes, up to the maximum number.
func (t *Transport) addAddresses(addresses ...string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, address := range addresses {
		t.learnAddress(address)
	}
}

// learnAddress adds the address of a process unless the maximum number is reached. The lock is held.
func (t *Transport) learnAddress(address string) {
	if address != "" && address != t.self.Address && len(t.addresses) < maxAddresses {
		t.addresses[address] = true
	}
}

func (t *Transport) knownAddresses() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Sorted(maps.Keys(t.addresses))
}

// Run accepts sessions until the context ends.
func (t *Transport) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = t.listener.Close() })
	defer stop()
	for {
		conn, err := frame.Accept(ctx, t.listener, func(err error) { t.log.Warn("session not accepted", "error", err) })
		if err != nil {
			t.mu.Lock()
			t.ending = ctx.Err() != nil
			t.mu.Unlock()
			t.goroutines.Wait()
			if ctx.Err() != nil {
				return nil
			}
			return fault.WrapAs(fault.Unavailable, err, "accept a session")
		}
		t.goroutines.Go(func() { t.accept(ctx, conn) })
	}
}

// start runs f in a goroutine that Run waits for. It returns false if Run waits already: it may have found none left.
func (t *Transport) start(f func()) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.ending {
		t.goroutines.Go(f)
	}
	return !t.ending
}

// accept serves a session that another process opens, until it breaks.
func (t *Transport) accept(ctx context.Context, conn net.Conn) {
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	s, err := t.handshake(conn, yamux.Server, silenceTimeout)
	if err != nil {
		t.log.Warn("session refused", "remote", conn.RemoteAddr().String(), "error", err)
		return
	}
	defer s.mux.Close()
	if !t.addInbound(s) {
		t.log.Warn("session refused: too many processes", "peer", s.peer, "limit", maxSessions)
		return
	}
	defer t.removeInbound(s)
	t.log.Info("session opened", "peer", s.peer, "by", "peer")
	err = t.serve(ctx, s)
	t.log.Info("session ended", "peer", s.peer, "error", err)
}

func (t *Transport) addInbound(s *session) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.inbound) >= maxSessions {
		return false
	}
	if previous := t.inbound[s.peer]; previous != nil {
		_ = previous.conn.Close() // the peer has replaced this session
	}
	t.inbound[s.peer] = s
	t.learnAddress(s.address)
	return true
}

func (t *Transport) removeInbound(s *session) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.inbound[s.peer] == s {
		delete(t.inbound, s.peer)
	}
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
		Address: t.self.Address,
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
		conn: conn, mux: mux,
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

// Follow keeps a session to the leader until the session breaks or the context ends, and returns the reason.
func (t *Transport) Follow(ctx context.Context, leader port.Leader) port.FollowResult {
	conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", leader.Address)
	if errors.Is(err, syscall.ECONNREFUSED) {
		t.log.Info("leader refuses connections", "leader", leader.Process, "address", leader.Address)
		return port.LeaderDead
	}
	if err != nil {
		t.log.Info("leader not reached", "leader", leader.Process, "error", err)
		pause.For(ctx, redialDelay)
		return port.LeaderUnreachable
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	s, err := t.handshake(conn, yamux.Client, 0)
	if err != nil {
		t.log.Info("leader not reached", "leader", leader.Process, "error", err)
		pause.For(ctx, redialDelay)
		return port.LeaderUnreachable
	}
	defer s.mux.Close()
	if s.peer != leader.Process || s.incarnation != leader.Incarnation {
		t.log.Info("another process answers for the leader", "leader", leader.Process, "answers", s.peer)
		return port.LeaderDead
	}
	t.setLeaderSession(s, leader)
	defer t.setLeaderSession(nil, port.Leader{})
	t.log.Info("session opened", "peer", s.peer, "by", "self")
	if !t.start(func() { _ = t.serve(ctx, s) }) { // ends with the session
		return port.LeaderSessionLost
	}
	err = t.monitorLeader(ctx, s)
	t.log.Info("session to the leader ended", "leader", s.peer, "error", err)
	if fault.Is(err, fault.NotReady) {
		return port.LeaderReplaced
	}
	return port.LeaderSessionLost
}

func (t *Transport) setLeaderSession(s *session, leader port.Leader) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leaderSession, t.followedLeader = s, leader
}

// DiscoverLeader queries all known processes for the leader. It returns the one with the highest term, or false if no process
// knows a leader.
func (t *Transport) DiscoverLeader(ctx context.Context) (port.Leader, bool) {
	queryCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	addresses := t.knownAddresses()
	replies := make(chan port.Leader, len(addresses))
	for _, address := range addresses {
		if !t.start(func() { replies <- t.queryLeaderAt(queryCtx, address) }) {
			return port.Leader{}, false
		}
	}
	var latest port.Leader
	for range addresses {
		if reply := <-replies; reply.Term > latest.Term {
			latest = reply
		}
	}
	return latest, latest.Term > 0
}

// queryLeaderAt returns the leader that the process at the address knows. The term is 0 if it knows none.
func (t *Transport) queryLeaderAt(ctx context.Context, address string) port.Leader {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return port.Leader{} // the address may be outdated
	}
	defer conn.Close()
	s, err := t.handshake(conn, yamux.Client, 0)
	if err != nil {
		return port.Leader{}
	}
	defer s.mux.Close()
	reply, err := s.call(ctx, &cellpb.Call{Body: &cellpb.Call_Leader{Leader: true}})
	if err != nil {
		t.log.Info("process did not tell who leads", "peer", s.peer, "error", err)
		return port.Leader{}
	}
	return decodeLeader(reply.GetLeader())
}

// knownLeader returns the leader that this process knows. The term is 0 if it knows none.
func (t *Transport) knownLeader() port.Leader {
	if leader, ok := t.handler.OwnTerm(); ok {
		return leader
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.followedLeader
}

// notLeadingGrace is how long the elected process may report that it is not the leader before it has reported that it is,
// because it may still be starting its term.
const notLeadingGrace = time.Second

// monitorLeader sends pings, which carry the version of the configuration, until one fails or the peer is no longer the
// leader, in which case it fails with NotReady.
func (t *Transport) monitorLeader(ctx context.Context, s *session) error {
	graceEnd := time.Now().Add(notLeadingGrace)
	for ctx.Err() == nil {
		reply, err := t.ping(ctx, s)
		if err != nil {
			return err
		}
		if err := t.exchangeConfig(ctx, s, reply); err != nil {
			return err
		}
		t.addAddresses(reply.GetPeers()...)
		leads := reply.GetLeads()
		if !leads && !time.Now().Before(graceEnd) {
			return fault.New(fault.NotReady, "%s is no longer the leader", s.peer)
		}
		if leads {
			graceEnd = time.Now()
		}
		select {
		case <-s.mux.CloseChan():
			return fault.New(fault.Unavailable, "connection lost")
		case <-time.After(pingInterval):
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

func (t *Transport) ping(ctx context.Context, s *session) (*cellpb.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	status, _ := t.replica.Current()
	return s.call(ctx, &cellpb.Call{Body: &cellpb.Call_Ping{Ping: true}, ConfigStatus: encodeConfigStatus(status)})
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

// serve handles each call of the peer in a separate goroutine, until the session breaks.
func (t *Transport) serve(ctx context.Context, s *session) error {
	calls := make(chan struct{}, maxCalls)
	for {
		calls <- struct{}{} // each call ends within replyTimeout
		stream, err := s.mux.AcceptStreamWithContext(ctx)
		if err != nil {
			return err
		}
		handle := func() {
			defer func() { <-calls }()
			t.handleCall(ctx, s, stream)
		}
		if !t.start(handle) {
			_ = stream.Close() // no reply is owed at the end
			return fault.New(fault.Draining, "the process is shutting down")
		}
	}
}

func (t *Transport) handleCall(ctx context.Context, s *session, stream *frame.Stream) {
	defer stream.Close()
	defer func() {
		if r := recover(); r != nil {
			t.log.Error("panic in a call of a peer", "peer", s.peer, "panic", fmt.Sprint(r), "stack", string(debug.Stack()))
			_ = s.conn.Close() // the peer opens another session
		}
	}()
	if err := stream.SetDeadline(time.Now().Add(replyTimeout)); err != nil {
		return
	}
	call := &cellpb.Call{}
	if err := frame.Read(bufio.NewReader(stream), call); err != nil {
		t.log.Info("call not read", "peer", s.peer, "error", err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, replyTimeout)
	defer cancel()
	reply, err := t.dispatch(ctx, s, call)
	if err != nil {
		reply = &cellpb.Reply{Failure: &cellpb.Failure{Kind: uint32(fault.KindOf(err)), Message: err.Error()}}
	}
	if err := frame.Write(stream, reply); err != nil {
		t.log.Info("reply not sent", "peer", s.peer, "error", err)
	}
}
