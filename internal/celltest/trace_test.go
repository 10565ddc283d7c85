package celltest_test

import (
	"context"
	"slices"
	"testing"

	"skylarkstall/internal/devcell"
	"skylarkstall/internal/domain/timeline"
)

// ownershipEventKinds are the events that change the owner of a worker or the home of a partition, or explain a change.
var ownershipEventKinds = []timeline.Kind{
	timeline.Claimed, timeline.TakenOver, timeline.LeaseLost, timeline.LeaseReleased, timeline.PartitionTakenOver,
	timeline.PartitionLost, timeline.PeerUp, timeline.PeerDown, timeline.ConnectionReplaced, timeline.ProcessPaused,
}

// logOwnershipOnFailure logs the changes of owners and homes if the test fails, so that a failure caused by a busy machine
// can be distinguished from a fault in the code under test.
func logOwnershipOnFailure(t *testing.T, cell *devcell.Cell) {
	t.Helper()
	t.Cleanup(func() {
		if !t.Failed() {
			return
		}
		for _, n := range cell.Nodes {
			events, err := n.HandleEvents(context.Background(), timeline.Filter{})
			if err != nil {
				t.Log(err)
			}
			for _, e := range events {
				if slices.Contains(ownershipEventKinds, e.Kind) {
					t.Log(e.String())
				}
			}
		}
	})
}
