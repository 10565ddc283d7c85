package node

import (
	"context"
	"net"
	"sync"
	"time"

	"skylarkstall/internal/port"
)

// Timing of the start of a process. A process that starts without a live peer counts itself as the home of that peer's
// partitions and as the owner of its workers, which interrupts the work there.
const (
	// unreachablePeerWait is how long a process waits for the heartbeat of a listed peer that accepts no connections.
	unreachablePeerWait = 2 * time.Second
	// maxPeerWait is how long it waits for the heartbeat of a peer that accepts connections. A peer with a lower id sends
	// none before it has read of this process in the VM list, up to 3 s after the start because of the lag of the list and
	// 2 s more because of the interval at which it is read.
	maxPeerWait = 6 * time.Second
	// peerProbeTimeout limits the attempt to connect to a peer.
	peerProbeTimeout = 500 * time.Millisecond
)

// runOwnership runs the services that claim workers and partitions, after the peers had time to send a heartbeat.
func (n *Node) runOwnership(ctx context.Context) {
	n.awaitPeers(ctx)
	n.mu.Lock()
	n.joined = true
	n.mu.Unlock()
	var goroutines sync.WaitGroup
	goroutines.Go(func() { n.owner.Run(ctx) })
	goroutines.Go(func() { n.home.Run(ctx) })
	goroutines.Wait()
}

// awaitPeers waits until the VM list has been read and every other listed process has sent a heartbeat. It waits at most
// for unreachablePeerWait, or for maxPeerWait while one of the missing processes accepts connections.
func (n *Node) awaitPeers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, maxPeerWait)
	defer cancel()
	unreachableTimer := time.NewTimer(unreachablePeerWait)
	defer unreachableTimer.Stop()
	timerFired := false
	for ctx.Err() == nil {
		heartbeatArrived, listChanged := n.peering.HeartbeatArrived(), n.directory.Changed()
		missing := n.peering.MissingPeers()
		if n.directory.Loaded() && len(missing) == 0 || timerFired && !anyReachable(ctx, missing) {
			return
		}
		select {
		case <-heartbeatArrived:
		case <-listChanged:
		case <-unreachableTimer.C:
			timerFired = true
		case <-ctx.Done():
		}
	}
}

// anyReachable reports whether any of the processes accepts connections.
func anyReachable(ctx context.Context, peers []port.VM) bool {
	ctx, cancel := context.WithTimeout(ctx, peerProbeTimeout)
	defer cancel()
	reachable := make(chan bool, len(peers))
	for _, peer := range peers {
		go func() {
			conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", peer.Address)
			if err == nil {
				_ = conn.Close()
			}
			reachable <- err == nil
		}()
	}
	for range peers {
		if <-reachable {
			return true
		}
	}
	return false
}
