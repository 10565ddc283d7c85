package node

import (
	"context"
	"net/http"
	"sync"
	"time"

	"skylarkstall/internal/adapter/peerwire"
	"skylarkstall/internal/domain/timeline"
	"skylarkstall/internal/notify"
	"skylarkstall/internal/pause"
)

// drain shuts the process down without interrupting work in progress. The process first reports that it is not ready and
// keeps serving until the load balancer has noticed. Then it stops accepting connections, hands its workers and
// partitions over to the other processes and completes the calls in progress. It takes at most the drain timeout.
func (n *Node) drain(lifetime context.Context, server *http.Server, stop func()) {
	defer stop()
	ctx, cancel := context.WithTimeout(lifetime, n.settings.DrainTimeout)
	defer cancel()
	n.mu.Lock()
	n.draining = true
	n.mu.Unlock()
	n.recorder.Record(time.Now(), timeline.Event{Kind: timeline.DrainStarted})
	n.log.Info("draining", "grace", n.settings.DrainAcceptPeriod, "timeout", n.settings.DrainTimeout)
	pause.For(ctx, n.settings.DrainAcceptPeriod)
	n.peering.Drain()
	handover := time.NewTimer(handoverPeriod)
	defer handover.Stop()
	if err := server.Shutdown(ctx); err != nil {
		n.log.Warn("drain timed out; requests of callers were interrupted", "error", err)
	}
	if !n.inFlight.awaitIdle(ctx) {
		n.log.Warn("drain timed out; calls of other processes were interrupted")
	}
	if !n.owner.AwaitReleased(ctx) {
		n.log.Warn("drain timed out; not all workers were released")
	}
	select {
	case <-handover.C:
	case <-ctx.Done():
	}
}

// handoverPeriod is the shortest time for which a draining process stays reachable after it has announced that it
// is draining, even without work: one heartbeat interval until every peer knows, and one for the new homes of its
// partitions to ask for the attempts that it holds.
const handoverPeriod = 2 * peerwire.HeartbeatInterval

// Kill stops the process at once, as a failure of its VM does: no lease is released and no call is completed.
func (n *Node) Kill() { n.kill() }

// abort closes the callers' connections and ends all goroutines without releasing leases.
func (n *Node) abort(server *http.Server, stop func()) {
	n.owner.SkipRelease()
	_ = server.Close() // the process ends anyway
	stop()
}

// inFlightCalls counts the calls in progress. The zero value is ready for use.
type inFlightCalls struct {
	mu    sync.Mutex
	count int
	idle  notify.Broadcast
}

func (f *inFlightCalls) add(n int) {
	f.mu.Lock()
	f.count += n
	idle := f.count == 0
	f.mu.Unlock()
	if idle {
		f.idle.Signal()
	}
}

// awaitIdle waits until no call is in progress. It returns false if the context ends first.
func (f *inFlightCalls) awaitIdle(ctx context.Context) bool {
	for {
		becameIdle := f.idle.Changed()
		f.mu.Lock()
		idle := f.count == 0
		f.mu.Unlock()
		if idle {
			return true
		}
		select {
		case <-becameIdle:
		case <-ctx.Done():
			return false
		}
	}
}
