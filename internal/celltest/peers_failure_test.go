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

// peersRun runs a short request through a process and checks that the answer is its own.
func peersRun(t *testing.T, n *devcell.Node, id string, run time.Duration) {
	t.Helper()
	payload, err := json.Marshal(worker.Payload{RunMS: run.Milliseconds(), Echo: id})
	if err != nil {
		t.Error(err)
		return
	}
	reply, err := callerhttp.NewClient(n.CallerAddress(), "vembanad-dev-token").Run(t.Context(), callerhttp.RunRequest{
		Team: "vembanad", RequestID: id, Kind: "proof", Payload: payload,
	})
	if err != nil || string(reply.Output) != id {
		t.Errorf("%s through %s: output %q, %v", id, n.ID, reply.Output, err)
	}
}

// peersEvents counts the events of a kind over all processes since a time.
func peersEvents(t *testing.T, cell *devcell.Cell, kind timeline.Kind, since time.Time) int {
	t.Helper()
	events, silent := cell.Nodes[0].Events(t.Context(), timeline.Filter{Since: since})
	if len(silent) > 0 {
		t.Errorf("%v did not answer", silent)
	}
	count := 0
	for _, e := range events {
		if e.Kind == kind {
			count++
		}
	}
	return count
}

// TestSilentConnectionsOfCell guards against connections between processes that go silent while new ones work: every
// caller gets the answer to its own request, and no process counts as dead.
func TestSilentConnectionsOfCell(t *testing.T) {
	t.Parallel()
	var relays []*relay.Relay
	cell := peersStart(t, devcell.Settings{
		Processes: 3, Workers: 6,
		AdvertisedAddressFunc: func(_ ident.ProcessID, own string) string {
			r, err := relay.Start(own)
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
	froze := time.Now()
	var callers sync.WaitGroup
	for i := range 60 {
		callers.Go(func() {
			peersRun(t, cell.Nodes[i%3], fmt.Sprint("silent-", i), time.Duration(i%5)*300*time.Millisecond)
		})
		if i == 30 {
			for _, r := range relays {
				r.StallConnections()
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	callers.Wait()
	if downs := peersEvents(t, cell, timeline.PeerDown, froze); downs > 0 {
		t.Errorf("a process counted as dead %d times", downs)
	}
	if replaced := peersEvents(t, cell, timeline.ConnectionReplaced, froze); replaced == 0 {
		t.Error("no connection was replaced")
	}
}

// TestRestartUnderSameID guards against a VM that is replaced under the same id at another address: its peers find it,
// and it serves and forwards like before.
func TestRestartUnderSameID(t *testing.T) {
	t.Parallel()
	cell := peersStart(t, devcell.Settings{Processes: 3, Workers: 3})
	if err := cell.AwaitReady(t.Context()); err != nil {
		t.Fatal(err)
	}
	cell.Nodes[1].Stop()
	cell.RemoveVM("entry-2")
	again, err := cell.AddNode("entry-2", 1)
	if err != nil {
		t.Fatal(err)
	}
	peersAwait(t, "all three processes answer", func() bool {
		statuses, silent := again.CellStatus(t.Context())
		partitions := 0
		for _, s := range statuses {
			partitions += len(s.Partitions)
		}
		return len(silent) == 0 && len(statuses) == 3 && partitions == ident.PartitionCount
	})
	for i := range 12 {
		peersRun(t, []*devcell.Node{cell.Nodes[0], again, cell.Nodes[2]}[i%3], fmt.Sprint("again-", i), 0)
	}
}
