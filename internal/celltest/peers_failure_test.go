package celltest_test

import (
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"skylarkstall/internal/adapter/callerhttp"
	"skylarkstall/internal/devcell"
	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/timeline"
	"skylarkstall/internal/standin/relay"
	"skylarkstall/internal/standin/worker"
)

// checkRequest sends a request through a process and checks that the output is that of the request.
func checkRequest(t *testing.T, n *devcell.Node, id string, runTime time.Duration) {
	t.Helper()
	payload, err := json.Marshal(worker.Payload{RunMS: runTime.Milliseconds(), Echo: id})
	if err != nil {
		t.Error(err)
		return
	}
	reply, err := callerhttp.NewClient(n.CallerAddress(), "vembanad-dev-token").Run(t.Context(), callerhttp.RunRequest{
		Team: "vembanad", RequestID: id, Kind: "proof", Payload: payload,
	})
	if err != nil || string(reply.Output) != id {
		t.Errorf("%s through %s: output %q, error %v", id, n.ID, reply.Output, err)
	}
}

// countEvents returns the number of events of a kind that all processes have recorded since the given time.
func countEvents(t *testing.T, cell *devcell.Cell, kind timeline.Kind, since time.Time) int {
	t.Helper()
	events, unresponsive := cell.Nodes[0].Events(t.Context(), timeline.Filter{Since: since})
	if len(unresponsive) > 0 {
		t.Errorf("no response from processes %v", unresponsive)
	}
	count := 0
	for _, e := range events {
		if e.Kind == kind {
			count++
		}
	}
	return count
}

// TestSilentConnectionsOfCell guards against connections between processes that stall while new ones work: every caller
// must get the response to its own request, and no process may be declared dead.
func TestSilentConnectionsOfCell(t *testing.T) {
	t.Parallel()
	var relays []*relay.Relay
	cell := startCell(t, devcell.Settings{
		Processes: 3, Workers: 6,
		AdvertisedAddressFunc: func(_ ident.ProcessID, peerAddress string) string {
			r, err := relay.Start(peerAddress)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(r.Close)
			relays = append(relays, r)
			return r.Address()
		},
	})
	if err := cell.AwaitReady(t.Context()); err != nil {
		t.Fatal(err)
	}
	startTime := time.Now()
	var callers sync.WaitGroup
	for i := range 60 {
		callers.Go(func() {
			checkRequest(t, cell.Nodes[i%3], fmt.Sprint("silent-", i), time.Duration(i%5)*300*time.Millisecond)
		})
		if i == 30 {
			for _, r := range relays {
				r.StallConnections()
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	callers.Wait()
	if peerDowns := countEvents(t, cell, timeline.PeerDown, startTime); peerDowns > 0 {
		t.Errorf("processes were declared dead %d times, want none", peerDowns)
	}
	if replaced := countEvents(t, cell, timeline.ConnectionReplaced, startTime); replaced == 0 {
		t.Error("no connection was replaced")
	}
}

// TestRestartUnderSameID verifies that a process can be replaced by one with the same id at another address: its peers
// connect to the new address, and it serves and forwards requests as before.
func TestRestartUnderSameID(t *testing.T) {
	t.Parallel()
	cell := startCell(t, devcell.Settings{Processes: 3, Workers: 3})
	if err := cell.AwaitReady(t.Context()); err != nil {
		t.Fatal(err)
	}
	cell.Nodes[1].Stop()
	cell.RemoveVM("entry-2")
	restarted, err := cell.AddNode("entry-2", 1)
	if err != nil {
		t.Fatal(err)
	}
	awaitState(t, "all three processes respond and every partition has a home", func() bool {
		statuses, unresponsive := restarted.CellStatus(t.Context())
		partitions := 0
		for _, s := range statuses {
			partitions += len(s.Partitions)
		}
		return len(unresponsive) == 0 && len(statuses) == 3 && partitions == ident.PartitionCount
	})
	for i := range 12 {
		checkRequest(t, []*devcell.Node{cell.Nodes[0], restarted, cell.Nodes[2]}[i%3], fmt.Sprint("again-", i), 0)
	}
}

// TestJoinWhileListLags guards against a process that starts before its peers know of it, and takes over their workers and
// partitions because it counts the peers as dead.
func TestJoinWhileListLags(t *testing.T) {
	t.Parallel()
	cell, _ := startRecordedCell(t, devcell.Settings{Processes: 1, Workers: 4})
	const listLag = 3 * time.Second
	time.Sleep(listLag) // so that the list still contains the first process
	cell.VMs.SetLag(listLag)
	joinedAt := time.Now()
	joining, err := cell.AddNode("entry-2", 1)
	if err != nil {
		t.Fatal(err)
	}
	awaitWithin(t, 10*time.Second, "the new process is ready", func() bool { return joining.Ready() == nil })
	awaitWithin(t, 5*time.Second, "the new process owns workers", func() bool { return len(workersByOwner(joining)["entry-2"]) > 0 })
	if n := countEvents(t, cell, timeline.LeaseLost, joinedAt); n != 0 {
		t.Errorf("%d control leases were lost to the new process, want all released", n)
	}
	events, err := joining.HandleEvents(t.Context(), timeline.Filter{})
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range events {
		switch e.Kind {
		case timeline.PeerUp:
			return
		case timeline.Claimed, timeline.PartitionTakenOver:
			t.Fatalf("the new process claimed a worker or partition before the first heartbeat of its peer: %s", e)
		}
	}
}
