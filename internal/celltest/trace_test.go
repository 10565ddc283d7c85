package celltest_test

import (
	"context"
	"slices"
	"testing"

	"skylarkstall/internal/devcell"
	"skylarkstall/internal/domain/timeline"
)

// ownershipKinds are the events that change what a process may place, or tell why.
var ownershipKinds = []timeline.Kind{
	timeline.Claimed, timeline.TakenOver, timeline.LeaseLost, timeline.LeaseReleased, timeline.PartitionTakenOver,
	timeline.PartitionLost, timeline.PeerUp, timeline.PeerDown, timeline.ConnectionReplaced, timeline.ProcessPaused,
}

// traceFailure prints the changes of owners and homes when the test has failed, so that a failure on a busy machine
// can be told from one of the product.
func traceFailure(t *testing.T, cell *devcell.Cell) {
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
				if slices.Contains(ownershipKinds, e.Kind) {
					t.Log(e.String())
				}
			}
		}
	})
}
