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

// process is one end of the wire.
type process struct {
	*Transport
	id      ident.ProcessID
	log     *buffer
	release chan struct{} // an Execute with payload "wait" is answered when this is closed

	port.PeerHandler
	mu    sync.Mutex
	beats []time.Time
	draws int
	lag   atomic.Int64 // nanoseconds
}

func (p *process) SchedulingDelay() time.Duration { return time.Duration(p.lag.Load()) }

func (p *process) Heartbeat(time.Time) port.Heartbeat {
	return port.Heartbeat{Peer: membership.Peer{ID: p.id, Incarnation: 1}}
}

func (p *process) HeartbeatReceived(now time.Time, _ port.Heartbeat) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.beats = append(p.beats, now)
}

// longestSilence returns the longest time between two heartbeats since the given time.
func (p *process) longestSilence(since time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	var longest time.Duration
	for i := 1; i < len(p.beats); i++ {
		if p.beats[i].After(since) {
			longest = max(longest, p.beats[i].Sub(p.beats[i-1]))
		}
	}
	return longest
}

// HandleExecute answers with the payload. Answers leave in another order than the calls came.
func (p *process) HandleExecute(_ context.Context, call port.Execute) (work.Outcome, error) {
	p.mu.Lock()
	p.draws++
	delay := time.Duration(p.draws%7) * 5 * time.Millisecond
	p.mu.Unlock()
	if string(call.Spec.Payload) == "wait" {
		<-p.release
	}
	time.Sleep(delay)
	return work.Outcome{Task: call.Spec.ID, OK: true, Output: call.Spec.Payload}, nil
}

// buffer is a log that goroutines may write at the same time.
type buffer struct {
	mu sync.Mutex
	bytes.Buffer
}

func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.Write(p)
}

func (b *buffer) count(text string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Count(b.String(), text)
}

func startProcess(t *testing.T, id ident.ProcessID) *process { return startSecured(t, id, nil) }

func startSecured(t *testing.T, id ident.ProcessID, credentials *Credentials) *process {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &process{id: id, log: &buffer{}, release: make(chan struct{})}
	log := slog.New(slog.NewTextHandler(p.log, nil))
	p.Transport = New(id, listener, credentials, p, p, timeline.NewRecorder(id, 100), log)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = p.Run(ctx) }()
	t.Cleanup(func() { close(p.release); cancel(); <-done })
	return p
}

// connect keeps a connection to process b.
func (p *process) connect(t *testing.T, address string) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); p.Connect(ctx, "b", address) }()
	t.Cleanup(func() { cancel(); <-done })
}

func spec(request, payload string) port.Execute {
	id := ident.TaskID{Work: ident.WorkID{Team: "team", Request: ident.RequestID(request)}}
	return port.Execute{Spec: work.Spec{
		ID: id, Payload: []byte(payload), Size: resource.Vector{MilliCores: 1, MemoryBytes: 1, Slots: 1},
	}}
}

func eventually(t *testing.T, limit time.Duration, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); !ok(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("after %v: not %s", limit, what)
		}
	}
}

// TestSilentConnection guards against a connection that goes silent while new ones work: it must be replaced before the
// peer counts as dead, and the calls on it must end as interrupted.
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
	broken := make(chan error, 1)
	go func() {
		_, err := a.Execute(ctx, "b", spec("held", "wait"))
		broken <- err
	}()
	time.Sleep(100 * time.Millisecond)
	froze := time.Now()
	r.StallConnections()
	if err := <-broken; !fault.Is(err, fault.Interrupted) {
		t.Errorf("call in progress: %v; want interrupted", err)
	}
	eventually(t, 3*HeartbeatInterval-time.Since(froze), "replaced", func() bool {
		outcome, err := a.Execute(ctx, "b", spec("next", "next"))
		return err == nil && string(outcome.Output) == "next"
	})
	time.Sleep(2 * HeartbeatInterval)
	for _, p := range []*process{a, b} {
		if silence := p.longestSilence(froze); silence >= 3*HeartbeatInterval {
			t.Errorf("process %s heard nothing for %v; it counts its peer as dead", p.id, silence)
		}
	}
}

// TestSilenceWithoutProcessor guards against a process that takes its own lack of a processor for the silence of its
// peers: on a busy machine every session was replaced, and every call in progress was broken off.
func TestSilenceWithoutProcessor(t *testing.T) {
	a, b := startProcess(t, "a"), startProcess(t, "b")
	r, err := relay.Start(b.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	a.connect(t, r.Address())
	eventually(t, 5*time.Second, "connected", func() bool { _, err := a.session("b"); return err == nil })
	broken := make(chan error, 1)
	go func() {
		_, err := a.Execute(t.Context(), "b", spec("held", "wait"))
		broken <- err
	}()
	time.Sleep(100 * time.Millisecond)
	r.StallConnections()
	const busy, step = 4 * time.Second, 50 * time.Millisecond
	for began := time.Now(); time.Since(began) < busy; {
		select {
		case err := <-broken:
			t.Fatalf("call broken off after %v in which the process had no processor: %v", time.Since(began), err)
		case <-time.After(step):
			a.lag.Add(int64(step))
			b.lag.Add(int64(step))
		}
	}
	select {
	case err := <-broken:
		t.Logf("broken off: %v", err)
	case <-time.After(HeartbeatInterval + HeartbeatTimeout + time.Second):
		t.Error("a silent connection stays open when the process has a processor again")
	}
}

// TestAnswersOutOfOrder guards guarantee 3 on the wire: with many calls in progress whose answers leave in another
// order, each caller gets the answer to its own call.
func TestAnswersOutOfOrder(t *testing.T) {
	a, b := startProcess(t, "a"), startProcess(t, "b")
	a.connect(t, b.listener.Addr().String())
	eventually(t, 5*time.Second, "connected", func() bool { _, err := a.session("b"); return err == nil })
	var calls sync.WaitGroup
	for i := range 200 {
		calls.Go(func() {
			want := fmt.Sprint("payload-", i)
			outcome, err := a.Execute(context.Background(), "b", spec(fmt.Sprint("request-", i), want))
			if err != nil || string(outcome.Output) != want {
				t.Errorf("request %d: %q, %v", i, outcome.Output, err)
			}
		})
	}
	calls.Wait()
}

// peer is a process whose bytes the test writes by hand.
func peer(t *testing.T, self ident.ProcessID, address string) *yamux.Session {
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
	beats, err := mux.OpenStream()
	if err != nil {
		t.Fatal(err)
	}
	if err := frame.Write(beats, &peerpb.Call{Body: &peerpb.Call_Heartbeat{Heartbeat: &peerpb.Heartbeat{}}}); err != nil {
		t.Fatal(err)
	}
	return mux
}

// TestWrongAnswers guards guarantee 3 against a peer that answers with something else than the whole answer to the
// call.
func TestWrongAnswers(t *testing.T) {
	right := &peerpb.Reply{Body: &peerpb.Reply_Outcome{Outcome: encodeOutcome(work.Outcome{
		Task: spec("mine", "").Spec.ID, OK: true, Output: []byte("mine"),
	})}}
	other := &peerpb.Reply{Body: &peerpb.Reply_Outcome{Outcome: encodeOutcome(work.Outcome{
		Task: spec("other", "").Spec.ID, OK: true,
	})}}
	tests := map[string]struct {
		send []byte
		want fault.Kind // Internal for a success
	}{
		"twice":             {append(encodedFrame(t, right), encodedFrame(t, right)...), fault.Internal},
		"cut short":         {encodedFrame(t, right)[:10], fault.Interrupted},
		"none":              {nil, fault.Interrupted},
		"of another task":   {encodedFrame(t, other), fault.Interrupted},
		"of another kind":   {encodedFrame(t, done), fault.Interrupted},
		"without a body":    {encodedFrame(t, &peerpb.Reply{}), fault.Interrupted},
		"not a message":     {[]byte{4, 255, 255, 255, 255}, fault.Interrupted},
		"over the limit":    {[]byte{255, 255, 255, 255, 15}, fault.Interrupted},
		"of unknown kind":   {encodedFrame(t, &peerpb.Reply{Failure: &peerpb.Failure{Kind: 9999}}), fault.Internal},
		"a normal refusal":  {encodedFrame(t, &peerpb.Reply{Failure: &peerpb.Failure{Kind: uint32(fault.NoCapacity)}}), fault.NoCapacity},
		"a late heartbeat ": {encodedFrame(t, &peerpb.Reply{Body: &peerpb.Reply_Heartbeat{}}), fault.Interrupted},
	}
	b := startProcess(t, "b")
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			mux := peer(t, "a", b.listener.Addr().String())
			eventually(t, time.Second, "connected", func() bool { _, err := b.session("a"); return err == nil })
			time.Sleep(20 * time.Millisecond) // the session of the case before is replaced
			go answerWith(mux, test.send)
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			outcome, err := b.Execute(ctx, "a", spec("mine", ""))
			switch {
			case err == nil && (test.want != fault.Internal || string(outcome.Output) != "mine"):
				t.Errorf("answer %q; want %v", outcome.Output, test.want)
			case err != nil && fault.KindOf(err) != test.want:
				t.Errorf("%v: %v; want %v", fault.KindOf(err), err, test.want)
			}
		})
	}
}

func answerWith(mux *yamux.Session, reply []byte) {
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

// TestMalformedCall guards against a peer that sends bytes that are no message: its session ends with one line in the
// log, and the process goes on with other peers.
func TestMalformedCall(t *testing.T) {
	b := startProcess(t, "b")
	mux := peer(t, "a", b.listener.Addr().String())
	eventually(t, time.Second, "connected", func() bool { _, err := b.session("a"); return err == nil })
	for range 3 {
		if stream, err := mux.OpenStream(); err == nil {
			_, _ = stream.Write([]byte{4, 255, 255, 255, 255})
		}
	}
	eventually(t, time.Second, "ended", func() bool { _, err := b.session("a"); return err != nil })
	if lines := b.log.count("peer session ended"); lines != 1 {
		t.Errorf("%d lines tell of the end of the session; want 1:\n%s", lines, b.log.String())
	}
	c := startProcess(t, "a")
	c.connect(t, b.listener.Addr().String())
	eventually(t, 3*time.Second, "served", func() bool {
		outcome, err := c.Execute(context.Background(), "b", spec("after", "after"))
		return err == nil && string(outcome.Output) == "after"
	})
}

// TestHandshakeBound guards against connections that say nothing: they are closed in time, those over the bound at
// once, and a peer gets through.
func TestHandshakeBound(t *testing.T) {
	b := startProcess(t, "b")
	var silent []net.Conn
	for range maxHandshakes + 20 {
		conn, err := net.Dial("tcp", b.listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		silent = append(silent, conn)
	}
	eventually(t, time.Second, "refused", func() bool { return b.log.count("too many handshakes") == 20 })
	a := startProcess(t, "a")
	a.connect(t, b.listener.Addr().String())
	eventually(t, 5*time.Second, "connected", func() bool { _, err := b.session("a"); return err == nil })
	for _, conn := range silent {
		_ = conn.SetReadDeadline(time.Now().Add(3 * time.Second))
		for one := make([]byte, 64); ; {
			if _, err := conn.Read(one); isTimeout(err) {
				t.Fatal("a silent connection is still open")
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
