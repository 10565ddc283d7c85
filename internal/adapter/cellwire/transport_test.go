package cellwire

import (
	"bufio"
	"context"
	"log/slog"
	"net"
	"slices"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/yamux"

	"skylarkstall/internal/adapter/cellwire/cellpb"
	"skylarkstall/internal/adapter/frame"
	"skylarkstall/internal/adapter/frame/frametest"
	"skylarkstall/internal/domain/admission"
	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/permit"
	"skylarkstall/internal/domain/workflow"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/port"
)

// leadingHandler is the handler of a leader that schedules nothing.
type leadingHandler struct {
	port.Scheduler
	leader port.Leader
}

func (h leadingHandler) OwnTerm() (port.Leader, bool) { return h.leader, true }

func (leadingHandler) Room() admission.Statement                  { return admission.Statement{} }
func (leadingHandler) ObserveRoom(admission.Statement, time.Time) {}

func (leadingHandler) RequestPermits(
	context.Context, workflow.StepRef, []ident.WorkerID,
) (map[ident.WorkerID]permit.Ticket, error) {
	return nil, nil
}

// noConfig is a replica without a configuration.
type noConfig struct{}

func (noConfig) Now() time.Time                       { return time.Time{} }
func (noConfig) Current() (port.ConfigStatus, []byte) { return port.ConfigStatus{}, nil }
func (noConfig) Apply([]byte, string)                 {}
func (noConfig) Confirm(port.ConfigStatus, string)    {}

// startTransport runs a transport of a process until the test ends.
func startTransport(t *testing.T, name ident.ProcessID) *Transport {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return startTransportOn(t, name, listener)
}

// startTransportOn is like startTransport, with a listener.
func startTransportOn(t *testing.T, name ident.ProcessID, listener net.Listener) *Transport {
	t.Helper()
	self := port.Leader{Process: name, Incarnation: 1, Address: listener.Addr().String()}
	leading := self
	leading.Term = 1
	transport := New(self, listener, nil, leadingHandler{leader: leading}, noConfig{}, slog.New(slog.DiscardHandler))
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- transport.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return transport
}

// TestQueriesWhileTransportEnds guards against a process that panics when it stops while it asks other processes for the leader:
// "WaitGroup is reused before previous Wait has returned".
func TestQueriesWhileTransportEnds(t *testing.T) {
	t.Parallel()
	other := startTransport(t, "other")
	for range 50 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		self := port.Leader{Process: "self", Incarnation: 1, Address: listener.Addr().String()}
		transport := New(self, listener, []string{other.self.Address}, leadingHandler{}, noConfig{}, slog.New(slog.DiscardHandler))
		ctx, cancel := context.WithCancel(t.Context())
		asked, ended := make(chan struct{}), make(chan struct{})
		go func() {
			defer close(ended)
			for n := 0; ctx.Err() == nil; n++ {
				transport.DiscoverLeader(ctx)
				if n == 0 {
					close(asked)
				}
			}
		}()
		runEnded := make(chan error, 1)
		go func() { runEnded <- transport.Run(ctx) }()
		<-asked
		cancel()
		if err := <-runEnded; err != nil {
			t.Error(err)
		}
		<-ended
	}
}

// openSilentSession opens a session under the name and then neither reads nor sends.
func openSilentSession(t *testing.T, name, address string) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	if err := frame.Write(conn, &cellpb.Hello{Version: protocolVersion, Process: name}); err != nil {
		t.Fatal(err)
	}
	if err := frame.Read(bufio.NewReader(conn), &cellpb.Hello{}); err != nil {
		t.Fatal(err)
	}
	if _, err := yamux.Client(conn, sessionConfig()); err != nil {
		t.Fatal(err)
	}
}

// TestSilentFollowerIsDropped guards against a leader that goes on to call a process that was lost without a reset of its
// connection, and against one that ends the session of a process that merely has nothing to call.
func TestSilentFollowerIsDropped(t *testing.T) {
	t.Parallel()
	leader, follower := startTransport(t, "leader"), startTransport(t, "follower")
	ctx, cancel := context.WithCancel(t.Context())
	followed := make(chan port.FollowResult, 1)
	go func() { followed <- follower.Follow(ctx, leader.handler.(leadingHandler).leader) }()
	openSilentSession(t, "lost", leader.self.Address)
	opened := time.Now()
	var lostAfter time.Duration
	for limit := opened.Add(silenceTimeout + 2*time.Second); time.Now().Before(limit); time.Sleep(20 * time.Millisecond) {
		peers := leader.Peers()
		if lostAfter == 0 && time.Since(opened) > dialTimeout && !slices.Contains(peers, "lost") {
			lostAfter = time.Since(opened)
		}
		if time.Since(opened) > dialTimeout && !slices.Contains(peers, "follower") {
			t.Fatal("the session of a process that answers was ended")
		}
	}
	if lostAfter == 0 || lostAfter > silenceTimeout+time.Second {
		t.Errorf("the lost process is dropped after %v, want at most %v", lostAfter, silenceTimeout+time.Second)
	}
	cancel()
	<-followed
}

// TestNoTombstoneInCall guards against a malformed call of a peer that cancels a job: only the leader makes tombstones.
func TestNoTombstoneInCall(t *testing.T) {
	_, err := withJob(&cellpb.Job{Id: "j"}, func(port.AcceptedJob) error {
		t.Error("a job without steps is passed on")
		return nil
	})
	if !fault.Is(err, fault.Invalid) {
		t.Errorf("error %v, want Invalid", err)
	}
}

// TestFailedAccept guards against a process that ends with all connections of its callers because it could not accept one session:
// it had no file descriptor left for a moment.
func TestFailedAccept(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	failing := frametest.NewFailingListener(listener, 2)
	serving := startTransportOn(t, "a", failing)
	other := startTransport(t, "b")
	if leader := other.queryLeaderAt(t.Context(), serving.self.Address); leader.Term != 1 {
		t.Errorf("the process does not answer after it failed to accept two sessions: %+v", leader)
	}
}

// TestAddressesAreBounded guards against memory and calls that grow with the addresses that processes name when they open a session.
func TestAddressesAreBounded(t *testing.T) {
	transport := startTransport(t, "a")
	for i := range maxAddresses + 10 {
		transport.addInbound(&session{peer: "b", address: "10.0.0.1:" + strconv.Itoa(i+1), conn: discardConn{}})
	}
	if n := len(transport.knownAddresses()); n > maxAddresses {
		t.Errorf("%d addresses are known, want at most %d", n, maxAddresses)
	}
}

// discardConn is a connection that can only be closed.
type discardConn struct{ net.Conn }

func (discardConn) Close() error { return nil }

// waitingHandler holds back every request for permits until it is released, and counts those in progress.
type waitingHandler struct {
	leadingHandler
	inProgress atomic.Int64
	release    chan struct{}
}

func (h *waitingHandler) RequestPermits(
	ctx context.Context, _ workflow.StepRef, _ []ident.WorkerID,
) (map[ident.WorkerID]permit.Ticket, error) {
	h.inProgress.Add(1)
	defer h.inProgress.Add(-1)
	select {
	case <-h.release:
	case <-ctx.Done():
	}
	return nil, ctx.Err()
}

// TestCallsAreBounded guards against a session of which the calls use up the memory of the process: each has a task and a buffer.
func TestCallsAreBounded(t *testing.T) {
	serving, calling := startTransport(t, "a"), startTransport(t, "b")
	handler := &waitingHandler{leadingHandler: leadingHandler{leader: serving.knownLeader()}, release: make(chan struct{})}
	serving.handler = handler
	conn, err := net.Dial("tcp", serving.self.Address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	s, err := calling.handshake(conn, yamux.Client, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer s.mux.Close()
	const calls = maxCalls + 100
	results := make(chan error, calls)
	for range calls {
		go func() {
			_, err := s.call(t.Context(), &cellpb.Call{Body: &cellpb.Call_Advise{Advise: &cellpb.Advise{Job: "j"}}})
			results <- err
		}()
	}
	for end := time.Now().Add(3 * time.Second); handler.inProgress.Load() < maxCalls && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(100 * time.Millisecond)
	if n := handler.inProgress.Load(); n != maxCalls {
		t.Errorf("%d calls in progress, want %d", n, maxCalls)
	}
	close(handler.release)
	for range calls {
		if err := <-results; err != nil {
			t.Fatalf("a call that had to wait fails: %v", err)
		}
	}
}
