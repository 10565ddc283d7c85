package cellwire

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/yamux"

	"skylarkstall/internal/adapter/cellwire/cellpb"
	"skylarkstall/internal/domain/admission"
	"skylarkstall/internal/domain/route"
	"skylarkstall/internal/domain/workflow"
	"skylarkstall/internal/port"
)

// idleScheduler accepts every call of a peer and does nothing.
type idleScheduler struct{}

func (idleScheduler) StoreJob(context.Context, port.AcceptedJob) error         { return nil }
func (idleScheduler) Notify(context.Context, port.AcceptedJob) error           { return nil }
func (idleScheduler) Cancel(context.Context, port.JobRef) error                { return nil }
func (idleScheduler) PendingJobs(context.Context, route.QueueRef) (int, error) { return 1, nil }
func (idleScheduler) Admit(context.Context, admission.Request) (admission.Verdict, error) {
	return admission.Verdict{}, nil
}

func (idleScheduler) State(context.Context, port.JobRef) (workflow.State, error) {
	return workflow.Running, nil
}

// recordingConn records what is sent.
type recordingConn struct {
	net.Conn
	mu   sync.Mutex
	sent bytes.Buffer
}

func (c *recordingConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.sent.Write(p)
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// connect returns both ends of a connection to the listener.
func connect(tb testing.TB, listener net.Listener) (client, server net.Conn) {
	tb.Helper()
	client, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		tb.Fatal(err)
	}
	if server, err = listener.Accept(); err != nil {
		tb.Fatal(err)
	}
	return client, server
}

// newFuzzTransport returns a transport that is not running, and a buffer for its log.
func newFuzzTransport() (*Transport, *bytes.Buffer) {
	self, log := port.Leader{Process: "a", Incarnation: 1, Address: "a:1", Term: 1}, &bytes.Buffer{}
	return New(self, nil, nil, leadingHandler{idleScheduler{}, self}, noConfig{}, slog.New(slog.NewTextHandler(log, nil))), log
}

// sentBy returns what a process sends that opens a session and makes the calls.
func sentBy(f *testing.F, listener net.Listener, calls ...*cellpb.Call) []byte {
	f.Helper()
	client, server := connect(f, listener)
	transport, _ := newFuzzTransport()
	ended := make(chan struct{})
	go func() { defer close(ended); transport.accept(context.Background(), server) }()
	conn := &recordingConn{Conn: client}
	s, err := transport.handshake(conn, yamux.Client, 0)
	if err != nil {
		f.Fatal(err)
	}
	for _, call := range calls {
		if _, err := s.call(context.Background(), call); err != nil {
			f.Fatal(err)
		}
	}
	conn.mu.Lock()
	sent := bytes.Clone(conn.sent.Bytes())
	conn.mu.Unlock()
	_ = s.mux.Close() // ends the session, which the test has no more use for
	<-ended
	return sent
}

// FuzzSession checks that nothing that another process sends crashes this one, makes a call panic or keeps the session open after the
// other process has gone.
func FuzzSession(f *testing.F) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.Fatal(err)
	}
	f.Cleanup(func() { listener.Close() })
	job := encodeJob(port.AcceptedJob{Spec: workflow.Spec{ID: "j", Steps: []workflow.Step{{Count: 2}}}})
	f.Add(sentBy(f, listener, &cellpb.Call{Body: &cellpb.Call_Ping{Ping: true}}, &cellpb.Call{Body: &cellpb.Call_Leader{Leader: true}}))
	f.Add(sentBy(f, listener, &cellpb.Call{Body: &cellpb.Call_Record{Record: job}}, &cellpb.Call{Body: &cellpb.Call_Waiting{Waiting: "q"}}))
	f.Add(sentBy(f, listener, &cellpb.Call{Body: &cellpb.Call_Advise{Advise: &cellpb.Advise{Job: "j", Workers: []string{"w"}}}}))
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, raw []byte) {
		transport, log := newFuzzTransport()
		client, server := connect(t, listener)
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			transport.accept(context.Background(), server)
			transport.goroutines.Wait()
		}()
		go func() { _, _ = io.Copy(io.Discard, client) }()
		_ = client.SetWriteDeadline(time.Now().Add(time.Second)) // the session may have ended before all is sent
		_, _ = client.Write(raw)
		client.Close()
		select {
		case <-ended:
		case <-time.After(20 * time.Second):
			t.Fatal("the session goes on 20 s after the other process has closed it")
		}
		if strings.Contains(log.String(), "panic") {
			t.Errorf("a call panics:\n%s", log)
		}
	})
}
