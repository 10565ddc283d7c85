package celltest_test

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"skylarkstall/internal/adapter/callerhttp"
	"skylarkstall/internal/devcell"
	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/standin/store"
)

// propagationBound is the time of guarantee 8 within which a change is active in every process of a cell of full size.
const propagationBound = 16 * time.Second

// unreachableStore is an address that refuses connections: nothing listens on port 1 of loopback.
const unreachableStore = "127.0.0.1:1"

func startCell(t *testing.T, settings devcell.Settings) *devcell.Cell {
	t.Helper()
	settings.Log = slog.New(slog.DiscardHandler)
	cell, err := devcell.Start(t.Context(), settings)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cell.Close)
	logOwnershipOnFailure(t, cell)
	return cell
}

// awaitState waits until the condition holds. It fails the test after propagationBound.
func awaitState(t *testing.T, state string, condition func() bool) {
	t.Helper()
	for startTime := time.Now(); ; time.Sleep(5 * time.Millisecond) {
		if condition() {
			return
		}
		if time.Since(startTime) > propagationBound {
			t.Fatalf("state not reached within %v: %s", propagationBound, state)
		}
	}
}

func quotasDocument(slots int) []byte {
	return fmt.Appendf(nil, "version: 1\nquotas:\n  vembanad: {cores: 800, memory_mib: 1024, slots: %d}\n", slots)
}

// TestSpreadOfChange verifies guarantee 8: a change is active in every process within the bound, also in processes that
// cannot reach the store, and no process returns to a lower revision afterwards.
func TestSpreadOfChange(t *testing.T) {
	t.Parallel()
	for _, size := range []int{7, 17} {
		for _, withoutStore := range []int{0, size - 2} {
			t.Run(fmt.Sprintf("%d processes, %d without the store", size, withoutStore), func(t *testing.T) {
				cell := startCell(t, devcell.Settings{
					Processes: size, StoreAddressFunc: func(id ident.ProcessID, storeAddress string) string {
						var n int
						if _, err := fmt.Sscanf(string(id), "entry-%d", &n); err == nil && n > size-withoutStore {
							return unreachableStore
						}
						return storeAddress
					},
				})
				awaitState(t, "every process ready", func() bool { return allReady(cell) })
				var longest time.Duration
				revision := ident.Revision(0)
				for round := range 3 {
					var err error
					startTime := time.Now()
					revision, err = cell.Nodes[0].ApplyDocument(t.Context(), "_cell", devcell.CellToken, quotasDocument(round+1), revision)
					if err != nil {
						t.Fatal(err)
					}
					awaitState(t, "active in every process", func() bool { return activeEverywhere(t, cell, revision) })
					longest = max(longest, time.Since(startTime))
				}
				t.Logf("slowest of 3 changes: %v", longest)
				if longest > propagationBound {
					t.Errorf("slowest change took %v, want at most %v", longest, propagationBound)
				}
			})
		}
	}
}

func allReady(cell *devcell.Cell) bool {
	for _, n := range cell.Nodes {
		if n.Ready() != nil {
			return false
		}
	}
	return true
}

// activeEverywhere reports whether exactly the given revision is active in every process. A higher revision fails the test,
// because it cannot exist yet.
func activeEverywhere(t *testing.T, cell *devcell.Cell, revision ident.Revision) bool {
	t.Helper()
	all := true
	for _, n := range cell.Nodes {
		entry, err := n.Document("_cell", devcell.CellToken)
		if err == nil && entry.Revision > revision {
			t.Errorf("process %s has revision %d; the latest is %d", n.ID, entry.Revision, revision)
		}
		all = all && err == nil && entry.Revision == revision
	}
	return all
}

// TestStartDuringOutage verifies section 2.5 of the design: a process that starts while the store is unavailable gets its
// documents from peers and becomes ready. It rejects changes during the outage and accepts them afterwards.
// TestNotReadyAlone covers a process that has no peers to ask.
func TestStartDuringOutage(t *testing.T) {
	t.Parallel()
	cell := startCell(t, devcell.Settings{Processes: 2})
	awaitState(t, "every process ready", func() bool { return allReady(cell) })
	cell.Store.SetFaults(store.Faults{Unavailable: true})
	newNode, err := cell.AddNode("entry-3", 2)
	if err != nil {
		t.Fatal(err)
	}
	awaitState(t, "the new process is ready with documents from peers", func() bool { return newNode.Ready() == nil })
	want, err := cell.Nodes[0].Document("vembanad", "vembanad-dev-token")
	if err != nil {
		t.Fatal(err)
	}
	got, err := newNode.Document("vembanad", "vembanad-dev-token")
	if err != nil || got.Revision != want.Revision {
		t.Errorf("new process has active revision %d, error %v; its peers have %d", got.Revision, err, want.Revision)
	}
	if _, err := newNode.ApplyDocument(
		t.Context(), "vembanad", "vembanad-dev-token", want.Source, want.Revision,
	); !fault.Is(err, fault.StoreUnavailable) {
		t.Errorf("change during the outage: got %v, want store_unavailable", err)
	}
	cell.Store.SetFaults(store.Faults{})
	awaitState(t, "change accepted after the outage", func() bool {
		_, err := newNode.ApplyDocument(t.Context(), "_cell", devcell.CellToken, quotasDocument(3), 0)
		return err == nil
	})
}

// TestNotReadyAlone guards against a process that reports ready although it can reach neither the store nor peers, so that
// nothing confirms its documents.
func TestNotReadyAlone(t *testing.T) {
	t.Parallel()
	cell := startCell(t, devcell.Settings{
		Processes: 1, StoreAddressFunc: func(ident.ProcessID, string) string { return unreachableStore },
	})
	time.Sleep(3 * time.Second)
	if err := cell.Nodes[0].Ready(); !fault.Is(err, fault.NotReady) {
		t.Errorf("process without store and peers: got %v, want not_ready", err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	err := callerhttp.NewClient(cell.Nodes[0].CallerAddress(), "").Ready(ctx)
	if !fault.Is(err, fault.NotReady) {
		t.Errorf("readiness probe: got %v, want not_ready", err)
	}
}
