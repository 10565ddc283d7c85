package cellwire

import (
	"bufio"
	"context"
	"fmt"
	"log/slog"
	"maps"
	"net"
	"runtime/debug"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/yamux"

	"skylarkstall/internal/adapter/cellwire/cellpb"
	"skylarkstall/internal/adapter/frame"
	"skylarkstall/internal/domain/admission"
	"skylarkstall/internal/domain/fitness"
	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/fault"
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
	// Room returns what this process states about room as leader; the zero value if it is not the leader.
	Room() admission.Statement
	// ObserveRoom receives what the leader has stated in reply to a ping that was sent at the given time.
	ObserveRoom(s admission.Statement, sent time.Time)
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
	largestShare   fitness.Share                // among the processes that follow the leader, as the leader last told it
	ending         bool                         // the context of Run has ended; no goroutine is started any more
	goroutines     sync.WaitGroup
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
