package httpjson_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"skylarkstall/internal/adapter/httpjson"
)

// countingListener counts the connections that it accepts.
type countingListener struct {
	net.Listener
	accepted atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		l.accepted.Add(1)
	}
	return conn, err
}

// startServer starts a server that takes some time for each call, and returns its listener and a client.
func startServer(t *testing.T) (*countingListener, *httpjson.Client) {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := &countingListener{Listener: inner}
	server := httpjson.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { time.Sleep(time.Millisecond) }))
	go func() { _ = server.Serve(listener) }() // ends with Close
	t.Cleanup(func() { _ = server.Close() })
	client := httpjson.NewClient(inner.Addr().String())
	t.Cleanup(func() { _ = client.Close() })
	return listener, client
}

// TestOneConnection guards against concurrent calls that each open a connection while there is none, as after a reset. A
// worker accepts 64 connections in all, and those of an owner must stay within 4.
func TestOneConnection(t *testing.T) {
	listener, client := startServer(t)
	for round := range 5 {
		before := listener.accepted.Load()
		var calls sync.WaitGroup
		for range 50 {
			calls.Go(func() {
				if err := client.Call(t.Context(), http.MethodPost, "/", nil, nil); err != nil {
					t.Error(err)
				}
			})
		}
		calls.Wait()
		if n := listener.accepted.Load() - before; n != 1 {
			t.Errorf("round %d: 50 concurrent calls opened %d connections, want 1", round, n)
		}
		client.Reset()
	}
}

// TestCallAfterReset guards against a call that is sent on a connection that Reset has closed. The caller would take the
// failure for that of the next connection and close that one, too.
func TestCallAfterReset(t *testing.T) {
	_, client := startServer(t)
	for i := range 200 {
		if err := client.Call(t.Context(), http.MethodPost, "/", nil, nil); err != nil {
			t.Fatalf("call after %d resets: %v", i, err)
		}
		client.Reset()
	}
}

// TestStalledBody guards against callers that send half of a body and then nothing: each kept a connection and a task of the process
// for good.
func TestStalledBody(t *testing.T) {
	t.Parallel()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := httpjson.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var in struct{}
		if err := httpjson.ReadJSON(w, r, &in); err != nil {
			httpjson.WriteError(w, err)
		}
	}))
	go func() { _ = server.Serve(listener) }() // ends with Close
	t.Cleanup(func() { _ = server.Close() })
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\n{"); err != nil {
		t.Fatal(err)
	}
	if err := conn.SetReadDeadline(time.Now().Add(httpjson.BodyTimeout + 5*time.Second)); err != nil {
		t.Fatal(err)
	}
	if response, err := io.ReadAll(conn); err != nil || !strings.HasPrefix(string(response), "HTTP/1.1 400 ") {
		t.Errorf("a stalled request ends with %q, error %v; want status 400 and the end of the connection", response, err)
	}
}
