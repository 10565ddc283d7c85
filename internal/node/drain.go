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

// drain ends the process without interrupting work in progress. The process first says that it is not ready and
// serves on until the balancer has noticed. Then it takes no new connections, gives its workers and partitions to the
// other processes and finishes the calls that it has. All of it takes at most the drain timeout.
func (n *Node) drain(inner context.Context, server *http.Server, stop func()) {
	defer stop()
	ctx, cancel := context.WithTimeout(inner, n.settings.DrainTimeout)
	defer cancel()
	n.mu.Lock()
	n.draining = true
	n.mu.Unlock()
	n.recorder.Record(time.Now(), timeline.Event{Kind: timeline.DrainStarted})
	n.log.Info("draining", "grace", n.settings.DrainAcceptPeriod, "timeout", n.settings.DrainTimeout)
	pause.For(ctx, n.settings.DrainAcceptPeriod)
	n.peers.Drain()
	handover := time.NewTimer(handoverTime)
	defer handover.Stop()
	if err := server.Shutdown(ctx); err != nil {
		n.log.Warn("drain timeout; callers' requests were cut off", "error", err)
	}
	if !n.executing.awaitNone(ctx) {
		n.log.Warn("drain timeout; other processes' requests were cut off")
	}
	if !n.owner.AwaitReleased(ctx) {
		n.log.Warn("drain timeout; not every worker was released")
	}
	select {
	case <-handover.C:
	case <-ctx.Done():
	}
}

// handoverTime is how long a process without work stays reachable after it said that it leaves: one heartbeat interval
// until every peer knows, and one for the new homes to ask it what it holds.
const handoverTime = 2 * peerwire.HeartbeatInterval

// Kill ends the process at once, as when its VM fails: nothing is given back and no call is finished.
func (n *Node) Kill() { n.kill() }

// breakOff closes every connection and ends every goroutine.
func (n *Node) breakOff(server *http.Server, stop func()) {
	n.owner.SkipRelease()
	_ = server.Close() // the process ends
	stop()
}

// inflight counts the calls in progress. The zero value is ready for use.
type inflight struct {
	mu    sync.Mutex
	count int
	none  notify.Broadcast
}

func (f *inflight) add(n int) {
	f.mu.Lock()
	f.count += n
	idle := f.count == 0
	f.mu.Unlock()
	if idle {
		f.none.Signal()
	}
}

// awaitNone waits until no call is in progress. It returns false if the context ends before.
func (f *inflight) awaitNone(ctx context.Context) bool {
	for {
		none := f.none.Changed()
		f.mu.Lock()
		idle := f.count == 0
		f.mu.Unlock()
		if idle {
			return true
		}
		select {
		case <-none:
		case <-ctx.Done():
			return false
		}
	}
}
