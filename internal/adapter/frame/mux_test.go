package frame_test

import (
	"context"
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
	const timeout = 5 * time.Millisecond
	for i := range config.AcceptBacklog + 3 {
		ended := make(chan error, 1)
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), timeout)
			defer cancel()
			ended <- mux.RoundTrip(ctx, "peer", wrapperspb.String("call"), &wrapperspb.StringValue{})
		}()
		select {
		case err := <-ended:
			if sent := i < config.AcceptBacklog; sent != fault.Is(err, fault.Interrupted) || !sent != fault.Is(err, fault.Unavailable) {
				t.Fatalf("call %d: %v; want Interrupted, or Unavailable once no stream can be opened", i, err)
			}
		case <-time.After(2 * time.Second):
			t.Fatalf("call %d has not ended 2 s after its timeout of %v", i, timeout)
		}
	}
}
