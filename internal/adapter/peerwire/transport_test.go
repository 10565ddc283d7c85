package peerwire

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"

	"skylarkstall/internal/adapter/frame"
	"skylarkstall/internal/adapter/frame/frametest"
	"skylarkstall/internal/adapter/peerwire/peerpb"
	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/membership"
	"skylarkstall/internal/domain/resource"
	"skylarkstall/internal/domain/timeline"
	"skylarkstall/internal/domain/work"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/port"
	"skylarkstall/internal/standin/relay"
)

// testProcess is a process with a transport. It implements LocalProcess and the handler of the calls that the tests
// use.
type testProcess struct {
	*Transport
	id      ident.ProcessID
	log     *logBuffer
	release chan struct{} // an Execute with payload "wait" gets its reply when this is closed

	port.PeerHandler
	mu              sync.Mutex
	heartbeats      []time.Time
	executions      int
	schedulingDelay atomic.Int64 // nanoseconds
}

func (p *testProcess) SchedulingDelay() time.Duration { return time.Duration(p.schedulingDelay.Load()) }

func (p *testProcess) Heartbeat(time.Time) port.Heartbeat {
	return port.Heartbeat{Peer: membership.Peer{ID: p.id, Incarnation: 1}}
}

func (p *testProcess) SessionOpened(time.Time, ident.ProcessID) {}

func (p *testProcess) HeartbeatReceived(now time.Time, _ port.Heartbeat) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.heartbeats = append(p.heartbeats, now)
}

// longestGap returns the longest time between two consecutive heartbeats received since the given time.
func (p *testProcess) longestGap(since time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	var longest time.Duration
	for i := 1; i < len(p.heartbeats); i++ {
		if p.heartbeats[i].After(since) {
			longest = max(longest, p.heartbeats[i].Sub(p.heartbeats[i-1]))
		}
	}
	return longest
}

// HandleExecute returns the payload as output. Delays make the replies leave in another order than the calls arrived.
func (p *testProcess) HandleExecute(_ context.Context, call port.Execute) (work.Outcome, error) {
	p.mu.Lock()
	p.executions++
	delay := time.Duration(p.executions%7) * 5 * time.Millisecond
	p.mu.Unlock()
	if string(call.Spec.Payload) == "wait" {
		<-p.release
	}
	time.Sleep(delay)
	return work.Outcome{Task: call.Spec.ID, OK: true, Output: call.Spec.Payload}, nil
}

// logBuffer collects log output of concurrent goroutines.
type logBuffer struct {
	mu sync.Mutex
	bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.Write(p)
}

func (b *logBuffer) count(text string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Count(b.String(), text)
}

func startProcess(t *testing.T, id ident.ProcessID) *testProcess {
	return startProcessWithTLS(t, id, nil)
}

func startProcessWithTLS(t *testing.T, id ident.ProcessID, credentials *Credentials) *testProcess {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return startProcessOn(t, id, listener, credentials)
}

func startProcessOn(t *testing.T, id ident.ProcessID, listener net.Listener, credentials *Credentials) *testProcess {
	t.Helper()
	p := &testProcess{id: id, log: &logBuffer{}, release: make(chan struct{})}
	log := slog.New(slog.NewTextHandler(p.log, nil))
	p.Transport = New(id, listener, credentials, p, p, timeline.NewRecorder(id, 100), log)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = p.Run(ctx) }()
	t.Cleanup(func() { close(p.release); cancel(); <-done })
	return p
}

// connect maintains a session to process b until the test ends.
func (p *testProcess) connect(t *testing.T, address string) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); p.Connect(ctx, "b", address) }()
	t.Cleanup(func() { cancel(); <-done })
}

func executeCall(request, payload string) port.Execute {
	id := ident.TaskID{Work: ident.WorkID{Team: "team", Request: ident.RequestID(request)}}
	return port.Execute{Spec: work.Spec{
		ID: id, Payload: []byte(payload), Size: resource.Vector{MilliCores: 1, MemoryBytes: 1, Slots: 1},
	}}
}

func eventually(t *testing.T, limit time.Duration, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); !ok(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("after %v: still not %s", limit, what)
		}
	}
}

// TestSilentConnection checks that a connection that stops delivering data, while new connections work, is replaced
// before the peer counts as dead, and that calls on it fail with Interrupted.
func TestSilentConnection(t *testing.T) {
	a, b := startProcess(t, "a"), startProcess(t, "b")
	r, err := relay.Start(b.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	a.connect(t, r.Address())
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	eventually(t, 5*time.Second, "connected", func() bool {
		_, err := b.session("a")
		_, err2 := a.session("b")
		return err == nil && err2 == nil
	})
	callErr := make(chan error, 1)
	go func() {
		_, err := a.Execute(ctx, "b", executeCall("held", "wait"))
		callErr <- err
	}()
	time.Sleep(100 * time.Millisecond)
	stalledAt := time.Now()
	r.StallConnections()
	if err := <-callErr; !fault.Is(err, fault.Interrupted) {
		t.Errorf("call in progress: %v; want interrupted", err)
	}
	eventually(t, 3*HeartbeatInterval-time.Since(stalledAt), "replaced", func() bool {
		outcome, err := a.Execute(ctx, "b", executeCall("next", "next"))
		return err == nil && string(outcome.Output) == "next"
	})
	time.Sleep(2 * HeartbeatInterval)
	for _, p := range []*testProcess{a, b} {
		if gap := p.longestGap(stalledAt); gap >= 3*HeartbeatInterval {
			t.Errorf("process %s received no heartbeat for %v and counts its peer as dead", p.id, gap)
		}
	}
}

// TestSilenceWithoutProcessor checks that a process does not take its own lack of CPU time for an unresponsive peer.
// On a busy machine this replaced every session and interrupted every call in progress.
func TestSilenceWithoutProcessor(t *testing.T) {
	a, b := startProcess(t, "a"), startProcess(t, "b")
	r, err := relay.Start(b.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	a.connect(t, r.Address())
	eventually(t, 5*time.Second, "connected", func() bool { _, err := a.session("b"); return err == nil })
	callErr := make(chan error, 1)
	go func() {
		_, err := a.Execute(t.Context(), "b", executeCall("held", "wait"))
		callErr <- err
	}()
	time.Sleep(100 * time.Millisecond)
	r.StallConnections()
	const busy, step = 4 * time.Second, 50 * time.Millisecond
	for started := time.Now(); time.Since(started) < busy; {
		select {
		case err := <-callErr:
			t.Fatalf("call interrupted after %v in which the process was not scheduled: %v", time.Since(started), err)
		case <-time.After(step):
			a.schedulingDelay.Add(int64(step))
			b.schedulingDelay.Add(int64(step))
		}
	}
	select {
	case err := <-callErr:
		t.Logf("interrupted: %v", err)
	case <-time.After(HeartbeatInterval + HeartbeatTimeout + time.Second):
		t.Error("an unresponsive connection stays open after the process is scheduled again")
	}
}

// TestAnswersOutOfOrder checks guarantee 3 on the wire: with many calls in progress whose replies leave in another
// order, each call gets its own reply.
func TestAnswersOutOfOrder(t *testing.T) {
	a, b := startProcess(t, "a"), startProcess(t, "b")
	a.connect(t, b.listener.Addr().String())
	eventually(t, 5*time.Second, "connected", func() bool { _, err := a.session("b"); return err == nil })
	var calls sync.WaitGroup
	for i := range 200 {
		calls.Go(func() {
			want := fmt.Sprint("payload-", i)
			outcome, err := a.Execute(context.Background(), "b", executeCall(fmt.Sprint("request-", i), want))
			if err != nil || string(outcome.Output) != want {
				t.Errorf("request %d: %q, %v", i, outcome.Output, err)
			}
		})
	}
	calls.Wait()
}

// dialRawPeer connects as a peer whose streams the test writes itself.
func dialRawPeer(t *testing.T, self ident.ProcessID, address string) *yamux.Session {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	reader := bufio.NewReader(conn)
	hello := &peerpb.Hello{Peer: &peerpb.Peer{Id: string(self)}, Version: protocolVersion}
	if _, err := handshake(conn, reader, hello); err != nil {
		t.Fatal(err)
	}
	mux, err := yamux.Client(bufferedConn{conn, reader}, sessionConfig())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { mux.Close() })
	heartbeatStream, err := mux.OpenStream()
	if err != nil {
		t.Fatal(err)
	}
	if err := frame.Write(heartbeatStream, &peerpb.Call{Body: &peerpb.Call_Heartbeat{Heartbeat: &peerpb.Heartbeat{}}}); err != nil {
		t.Fatal(err)
	}
	return mux
}

// TestWrongAnswers checks guarantee 3 with a peer that sends anything other than the complete reply to the call.
func TestWrongAnswers(t *testing.T) {
	right := &peerpb.Reply{Body: &peerpb.Reply_Outcome{Outcome: encodeOutcome(work.Outcome{
		Task: executeCall("mine", "").Spec.ID, OK: true, Output: []byte("mine"),
	})}}
	other := &peerpb.Reply{Body: &peerpb.Reply_Outcome{Outcome: encodeOutcome(work.Outcome{
		Task: executeCall("other", "").Spec.ID, OK: true,
	})}}
	tests := map[string]struct {
		send []byte
		want fault.Kind // Internal also stands for success
	}{
		"twice":             {append(encodedFrame(t, right), encodedFrame(t, right)...), fault.Internal},
		"truncated":         {encodedFrame(t, right)[:10], fault.Interrupted},
		"none":              {nil, fault.Interrupted},
		"of another task":   {encodedFrame(t, other), fault.Interrupted},
		"of another type":   {encodedFrame(t, doneReply), fault.Interrupted},
		"without a body":    {encodedFrame(t, &peerpb.Reply{}), fault.Interrupted},
		"not a message":     {[]byte{4, 255, 255, 255, 255}, fault.Interrupted},
		"over the limit":    {[]byte{255, 255, 255, 255, 15}, fault.Interrupted},
		"of unknown kind":   {encodedFrame(t, &peerpb.Reply{Failure: &peerpb.Failure{Kind: 9999}}), fault.Internal},
		"an ordinary error": {encodedFrame(t, &peerpb.Reply{Failure: &peerpb.Failure{Kind: uint32(fault.NoCapacity)}}), fault.NoCapacity},
		"a late heartbeat ": {encodedFrame(t, &peerpb.Reply{Body: &peerpb.Reply_Heartbeat{}}), fault.Interrupted},
	}
	b := startProcess(t, "b")
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			mux := dialRawPeer(t, "a", b.listener.Addr().String())
			eventually(t, time.Second, "connected", func() bool { _, err := b.session("a"); return err == nil })
			time.Sleep(20 * time.Millisecond) // until the session of the previous case has been replaced
			go replyWith(mux, test.send)
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			outcome, err := b.Execute(ctx, "a", executeCall("mine", ""))
			switch {
			case err == nil && (test.want != fault.Internal || string(outcome.Output) != "mine"):
				t.Errorf("outcome %q; want %v", outcome.Output, test.want)
			case err != nil && fault.KindOf(err) != test.want:
				t.Errorf("%v: %v; want %v", fault.KindOf(err), err, test.want)
			}
		})
	}
}

func replyWith(mux *yamux.Session, reply []byte) {
	stream, err := mux.AcceptStream()
	if err != nil {
		return
	}
	defer stream.Close()
	_ = frame.Read(bufio.NewReader(stream), &peerpb.Call{})
	_, _ = stream.Write(reply)
}

func encodedFrame(t *testing.T, m proto.Message) []byte {
	t.Helper()
	var out bytes.Buffer
	if err := frame.Write(&out, m); err != nil {
		t.Fatal(err)
	}
	return out.Bytes()
}

// TestMalformedCall checks that a peer that sends bytes that are no message loses its session, with one log line, and
// that the process keeps serving other peers.
func TestMalformedCall(t *testing.T) {
	b := startProcess(t, "b")
	mux := dialRawPeer(t, "a", b.listener.Addr().String())
	eventually(t, time.Second, "connected", func() bool { _, err := b.session("a"); return err == nil })
	for range 3 {
		if stream, err := mux.OpenStream(); err == nil {
			_, _ = stream.Write([]byte{4, 255, 255, 255, 255})
		}
	}
	eventually(t, time.Second, "ended", func() bool { _, err := b.session("a"); return err != nil })
	if lines := b.log.count("peer session ended"); lines != 1 {
		t.Errorf("%d log lines about the end of the session; want 1:\n%s", lines, b.log.String())
	}
	c := startProcess(t, "a")
	c.connect(t, b.listener.Addr().String())
	eventually(t, 3*time.Second, "served", func() bool {
		outcome, err := c.Execute(context.Background(), "b", executeCall("after", "after"))
		return err == nil && string(outcome.Output) == "after"
	})
}

// TestHandshakeBound checks that connections without a handshake are closed in time, those over the limit at once, and
// that a real peer can still connect.
func TestHandshakeBound(t *testing.T) {
	b := startProcess(t, "b")
	var conns []net.Conn
	for range maxHandshakes + 20 {
		conn, err := net.Dial("tcp", b.listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		conns = append(conns, conn)
	}
	eventually(t, time.Second, "refused", func() bool { return b.log.count("too many handshakes") == 20 })
	a := startProcess(t, "a")
	a.connect(t, b.listener.Addr().String())
	eventually(t, 5*time.Second, "connected", func() bool { _, err := b.session("a"); return err == nil })
	for _, conn := range conns {
		_ = conn.SetReadDeadline(time.Now().Add(3 * time.Second))
		for one := make([]byte, 64); ; {
			if _, err := conn.Read(one); isTimeout(err) {
				t.Fatal("a connection without a handshake is still open")
			} else if err != nil {
				break
			}
		}
	}
}

func isTimeout(err error) bool {
	var network net.Error
	return errors.As(err, &network) && network.Timeout()
}

// TestFailedAccept guards against a process that ends because it could not accept one connection of a peer: it had no file
// descriptor left for a moment.
func TestFailedAccept(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	failing := frametest.NewFailingListener(listener, 2)
	b := startProcessOn(t, "b", failing, nil)
	a := startProcess(t, "a")
	a.connect(t, listener.Addr().String())
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		b.mu.Lock()
		received := len(b.heartbeats)
		b.mu.Unlock()
		if received > 0 {
			return
		}
		if time.Now().After(end) {
			t.Fatal("no heartbeat is received after two connections were not accepted")
		}
	}
}
