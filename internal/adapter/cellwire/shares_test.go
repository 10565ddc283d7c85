package cellwire

import (
	"context"
	"log/slog"
	"net"
	"testing"
	"time"

	"skylarkstall/internal/domain/fitness"
	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/port"
)

// followingHandler is the handler of a process that does not lead.
type followingHandler struct{ leadingHandler }

func (followingHandler) OwnTerm() (port.Leader, bool) { return port.Leader{}, false }

// follow runs a transport of a process with a share of a processor, which follows the leader until the test ends.
func follow(t *testing.T, name ident.ProcessID, share fitness.Share, leader *Transport) *Transport {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	self := port.Leader{Process: name, Incarnation: 1, Address: listener.Addr().String(), Share: share}
	transport := New(self, listener, nil, followingHandler{}, noConfig{}, slog.New(slog.DiscardHandler))
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	followEnded := make(chan struct{})
	go func() { ended <- transport.Run(ctx) }()
	go func() {
		defer close(followEnded)
		for ctx.Err() == nil {
			transport.Follow(ctx, leader.self)
		}
	}()
	t.Cleanup(func() {
		cancel()
		<-followEnded
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return transport
}

// TestLargestShare guards against a small process that does not know that a larger one follows the leader, and against one that takes
// another small process, which asked it for the leader while the store was unavailable, for the largest.
func TestLargestShare(t *testing.T) {
	t.Parallel()
	leader := startTransport(t, "leader")
	small := follow(t, "small", 0.12, leader)
	follow(t, "large", 0.8, leader)
	for end := time.Now().Add(5 * time.Second); small.LargestShare() != 0.8; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("the largest share is %v, want 0.8", small.LargestShare())
		}
	}
	openSilentSession(t, "asking", small.self.Address)
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		small.mu.Lock()
		sessions := len(small.inbound)
		small.mu.Unlock()
		if sessions > 0 {
			break
		}
		if time.Now().After(end) {
			t.Fatal("no session of a query")
		}
	}
	if got := small.LargestShare(); got != 0.8 {
		t.Errorf("after a query of another process the largest share is %v, want 0.8", got)
	}
	if got := leader.LargestShare(); got != 0.8 {
		t.Errorf("on the leader the largest share is %v, want 0.8", got)
	}
}
