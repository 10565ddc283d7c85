package frame_test

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"skylarkstall/internal/adapter/frame"
	"skylarkstall/internal/fault"
)

// silentConnection returns one side of a TCP connection. The other side reads nothing and sends nothing.
func silentConnection(t *testing.T) net.Conn {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	other, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { other.Close() })
	return conn
}

// TestCallsToSilentPeerEnd guards against calls that never return: once a peer has not accepted 256 streams, yamux opens no
// further one and knows no deadline. A leader waited for such a call until its process ended.
func TestCallsToSilentPeerEnd(t *testing.T) {
	config := yamux.DefaultConfig()
	config.EnableKeepAlive = false
	config.StreamOpenTimeout = 0
	mux, err := frame.NewMux(yamux.Client, silentConnection(t), config)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { mux.Close() })
	call := func(timeout time.Duration) <-chan error {
		ended := make(chan error, 1)
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), timeout)
			defer cancel()
			ended <- mux.RoundTrip(ctx, "peer", wrapperspb.String("call"), &wrapperspb.StringValue{})
		}()
		return ended
	}
	check := func(ended <-chan error, want fault.Kind, what string) {
		t.Helper()
		select {
		case err := <-ended:
			if !fault.Is(err, want) {
				t.Fatalf("%s: %v, want %v", what, err, want)
			}
		case <-time.After(3 * time.Second):
			t.Fatalf("%s has not ended 2 s after its timeout", what)
		}
	}
	var sent []<-chan error
	for range config.AcceptBacklog {
		sent = append(sent, call(time.Second)) // on a busy machine, opening a stream takes a while
	}
	for i, ended := range sent {
		check(ended, fault.Interrupted, fmt.Sprintf("call %d", i))
	}
	for range 3 {
		check(call(5*time.Millisecond), fault.Unavailable, "a call for which no stream can be opened")
	}
}
