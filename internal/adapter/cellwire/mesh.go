package cellwire

import (
	"bufio"
	"context"
	"errors"
	"io"
	"log/slog"
	"maps"
	"net"
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

// protocolVersion changes when processes of two versions cannot work together.
const protocolVersion = 1

// Times of a session.
const (
	dialTimeout  = 400 * time.Millisecond
	redialPause  = 100 * time.Millisecond
	pingInterval = 500 * time.Millisecond
	pingTimeout  = 1500 * time.Millisecond
	replyTimeout = 5 * time.Second
)

// maxSessions bounds the sessions that other processes open.
const maxSessions = 256

// Handler answers the calls of other processes.
type Handler interface {
	port.Scheduler
	port.PermitClient
	// OwnTerm returns this process with its term, and false when it does not lead.
	OwnTerm() (port.Leader, bool)
}

// Transport holds the session to the leader and the sessions that other processes have opened to this one.
type Transport struct {
	self     port.Leader // without a term
	listener net.Listener
	handler  Handler
	log      *slog.Logger

	mu        sync.Mutex
	leader    *session
	following port.Leader                  // of the session to the leader
	sessions  map[ident.ProcessID]*session // opened by others
	addresses map[string]bool              // where processes of the cell listen, or did
	running   sync.WaitGroup
}

// session is one connection between two processes.
type session struct {
	peer        ident.ProcessID
	incarnation uint64
	address     string // where the peer listens
	conn        net.Conn
	mux         *frame.Mux
}

// New returns a mesh that accepts sessions on the listener once Run is called. Seeds are addresses where other processes
// may listen.
func New(self port.Leader, listener net.Listener, seeds []string, handler Handler, log *slog.Logger) *Transport {
	m := &Transport{
		self: self, listener: listener, handler: handler, log: log, sessions: map[ident.ProcessID]*session{},
		addresses: map[string]bool{},
	}
	m.learn(seeds...)
	return m
}

// maxAddresses bounds the addresses that are kept.
const maxAddresses = 256

// learn keeps addresses where processes listen.
func (m *Transport) learn(addresses ...string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, address := range addresses {
		if address != "" && address != m.self.Address && len(m.addresses) < maxAddresses {
			m.addresses[address] = true
		}
	}
}

func (m *Transport) known() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Sorted(maps.Keys(m.addresses))
}

// Run accepts sessions until the context ends.
func (m *Transport) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = m.listener.Close() })
	defer stop()
	for {
		conn, err := m.listener.Accept()
		if err != nil {
			m.running.Wait()
			if ctx.Err() != nil {
				return nil
			}
			return fault.WrapAs(fault.Unavailable, err, "accept a process")
		}
		m.running.Go(func() { m.accept(ctx, conn) })
	}
}

// accept serves one session that another process opened, until it breaks.
func (m *Transport) accept(ctx context.Context, conn net.Conn) {
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	s, err := m.open(conn, yamux.Server)
	if err != nil {
		m.log.Warn("session refused", "remote", conn.RemoteAddr().String(), "error", err)
		return
	}
	defer s.mux.Close()
	if !m.add(s) {
		m.log.Warn("session refused: too many processes", "peer", s.peer, "limit", maxSessions)
		return
	}
	defer m.remove(s)
	m.log.Info("session opened", "peer", s.peer, "by", "peer")
	err = m.serve(ctx, s)
	m.log.Info("session ended", "peer", s.peer, "error", err)
}

func (m *Transport) add(s *session) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.sessions) >= maxSessions {
		return false
	}
	if old := m.sessions[s.peer]; old != nil {
		_ = old.conn.Close() // the peer has given it up
	}
	m.sessions[s.peer] = s
	m.addresses[s.address] = true
	return true
}

func (m *Transport) remove(s *session) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.sessions[s.peer] == s {
		delete(m.sessions, s.peer)
	}
}

// open exchanges the first messages.
func (m *Transport) open(conn net.Conn, side frame.SessionFunc) (*session, error) {
	if err := conn.SetDeadline(time.Now().Add(dialTimeout)); err != nil {
		return nil, fault.WrapAs(fault.Unavailable, err, "open a session")
	}
	own := &cellpb.Hello{
		Version: protocolVersion, Process: string(m.self.Process), Incarnation: m.self.Incarnation,
		Address: m.self.Address,
	}
	if err := frame.Write(conn, own); err != nil {
		return nil, fault.WrapAs(fault.Unavailable, err, "open a session")
	}
	reader := bufio.NewReader(conn)
	hello := &cellpb.Hello{}
	if err := frame.Read(reader, hello); err != nil {
		return nil, fault.WrapAs(fault.Unavailable, err, "open a session")
	}
	if hello.GetVersion() != protocolVersion {
		return nil, fault.New(fault.Invalid, "process %q speaks protocol version %d, not %d",
			hello.GetProcess(), hello.GetVersion(), protocolVersion)
	}
	if err := conn.SetDeadline(time.Time{}); err != nil {
		return nil, fault.WrapAs(fault.Unavailable, err, "open a session")
	}
	mux, err := frame.NewMux(side, readConn{conn, reader}, sessionConfig())
	if err != nil {
		return nil, fault.WrapAs(fault.Unavailable, err, "open a session")
	}
	return &session{
		peer: ident.ProcessID(hello.GetProcess()), incarnation: hello.GetIncarnation(), address: hello.GetAddress(),
		conn: conn, mux: mux,
	}, nil
}

// readConn reads what the exchange of first messages left in its buffer.
type readConn struct {
	net.Conn
	reader *bufio.Reader
}

func (c readConn) Read(p []byte) (int, error) { return c.reader.Read(p) }

func sessionConfig() *yamux.Config {
	config := yamux.DefaultConfig()
	config.EnableKeepAlive = false // pings of the dialing side find silent connections
	config.ConnectionWriteTimeout = pingTimeout
	config.StreamOpenTimeout = 0 // yamux would close the session of a peer that is only late
	config.LogOutput = io.Discard
	return config
}

// Follow keeps one session to the leader until the session breaks or the context ends, and tells what ended it.
func (m *Transport) Follow(ctx context.Context, leader port.Leader) port.FollowResult {
	conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", leader.Address)
	if errors.Is(err, syscall.ECONNREFUSED) {
		m.log.Info("leader refuses connections", "leader", leader.Process, "address", leader.Address)
		return port.LeaderDead
	}
	if err != nil {
		m.log.Info("leader not reached", "leader", leader.Process, "error", err)
		pause.For(ctx, redialPause)
		return port.LeaderUnreachable
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	s, err := m.open(conn, yamux.Client)
	if err != nil {
		m.log.Info("leader not reached", "leader", leader.Process, "error", err)
		pause.For(ctx, redialPause)
		return port.LeaderUnreachable
	}
	defer s.mux.Close()
	if s.peer != leader.Process || s.incarnation != leader.Incarnation {
		m.log.Info("another process answers for the leader", "leader", leader.Process, "answers", s.peer)
		return port.LeaderDead
	}
	m.setLeader(s, leader)
	defer m.setLeader(nil, port.Leader{})
	m.log.Info("session opened", "peer", s.peer, "by", "self")
	m.running.Go(func() { _ = m.serve(ctx, s) }) // ends with the session
	err = m.watch(ctx, s)
	m.log.Info("session to the leader ended", "leader", s.peer, "error", err)
	return port.LeaderSessionLost
}

func (m *Transport) setLeader(s *session, leader port.Leader) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leader, m.following = s, leader
}

// DiscoverLeader asks the processes that are known who leads, and returns the answer with the highest term. It reports false
// when none knows.
func (m *Transport) DiscoverLeader(ctx context.Context) (port.Leader, bool) {
	asking, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	addresses := m.known()
	answers := make(chan port.Leader, len(addresses))
	for _, address := range addresses {
		m.running.Go(func() { answers <- m.askAt(asking, address) })
	}
	var best port.Leader
	for range addresses {
		if answer := <-answers; answer.Term > best.Term {
			best = answer
		}
	}
	return best, best.Term > 0
}

// askAt returns who leads by the word of the process at an address; no term when it does not know.
func (m *Transport) askAt(ctx context.Context, address string) port.Leader {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return port.Leader{} // addresses may be stale
	}
	defer conn.Close()
	s, err := m.open(conn, yamux.Client)
	if err != nil {
		return port.Leader{}
	}
	defer s.mux.Close()
	reply, err := s.call(ctx, &cellpb.Call{Body: &cellpb.Call_Leader{Leader: true}})
	if err != nil {
		m.log.Info("process did not tell who leads", "peer", s.peer, "error", err)
		return port.Leader{}
	}
	return decodeLeader(reply.GetLeader())
}

// leads returns who leads as far as this process knows.
func (m *Transport) leads() port.Leader {
	if own, ok := m.handler.OwnTerm(); ok {
		return own
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.following
}

// notLeadingFor is how long the process that should lead may say that it does not: it may just begin.
const notLeadingFor = time.Second

// watch sends pings until one stays unanswered, or the process does not lead any more.
func (m *Transport) watch(ctx context.Context, s *session) error {
	patience := time.Now().Add(notLeadingFor)
	for ctx.Err() == nil {
		pinging, cancel := context.WithTimeout(ctx, pingTimeout)
		reply, err := s.call(pinging, &cellpb.Call{Body: &cellpb.Call_Ping{Ping: true}})
		cancel()
		if err != nil {
			return err
		}
		m.learn(reply.GetPeers()...)
		led := reply.GetLeads()
		if !led && !time.Now().Before(patience) {
			return fault.New(fault.NotReady, "%s does not lead any more", s.peer)
		}
		if led {
			patience = time.Now().Add(notLeadingFor)
		}
		select {
		case <-s.mux.CloseChan():
			return fault.New(fault.Unavailable, "the connection broke")
		case <-time.After(pingInterval):
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

// call makes one call on a stream of its own. It fails with Unavailable when nothing was sent and with Interrupted
// when the reply did not arrive.
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

// serve answers each call of the peer in a goroutine of its own, until the session breaks.
func (m *Transport) serve(ctx context.Context, s *session) error {
	for {
		stream, err := s.mux.AcceptStreamWithContext(ctx)
		if err != nil {
			return err
		}
		m.running.Go(func() { m.answer(ctx, s, stream) })
	}
}

func (m *Transport) answer(ctx context.Context, s *session, stream *frame.Stream) {
	defer stream.Close()
	if err := stream.SetDeadline(time.Now().Add(replyTimeout)); err != nil {
		return
	}
	call := &cellpb.Call{}
	if err := frame.Read(bufio.NewReader(stream), call); err != nil {
		m.log.Info("call not read", "peer", s.peer, "error", err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, replyTimeout)
	defer cancel()
	reply, err := m.dispatch(ctx, call)
	if err != nil {
		reply = &cellpb.Reply{Failure: &cellpb.Failure{Kind: uint32(fault.KindOf(err)), Message: err.Error()}}
	}
	if err := frame.Write(stream, reply); err != nil {
		m.log.Info("reply not sent", "peer", s.peer, "error", err)
	}
}
