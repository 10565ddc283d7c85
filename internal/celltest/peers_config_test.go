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

// spreadBound is the bound of guarantee 8 at full size.
const spreadBound = 16 * time.Second

// noStore is an address that refuses connections: port 1 of loopback is not in use.
const noStore = "127.0.0.1:1"

func peersStart(t *testing.T, settings devcell.Settings) *devcell.Cell {
	t.Helper()
	settings.Log = slog.New(slog.DiscardHandler)
	cell, err := devcell.Start(t.Context(), settings)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cell.Close)
	traceFailure(t, cell)
	return cell
}

func peersAwait(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for began := time.Now(); ; time.Sleep(5 * time.Millisecond) {
		if ok() {
			return
		}
		if time.Since(began) > spreadBound {
			t.Fatalf("after %v: not %s", spreadBound, what)
		}
	}
}

func peersQuotas(slots int) []byte {
	return fmt.Appendf(nil, "version: 1\nquotas:\n  vembanad: {cores: 800, memory_mib: 1024, slots: %d}\n", slots)
}

// TestSpreadOfChange guards guarantee 8: a change is in force in every process within the bound, also where the store
// cannot be reached, and no process shows a lower revision afterwards.
func TestSpreadOfChange(t *testing.T) {
	t.Parallel()
	for _, size := range []int{7, 17} {
		for _, cutOff := range []int{0, size - 2} {
			t.Run(fmt.Sprintf("%d processes, %d without the store", size, cutOff), func(t *testing.T) {
				cell := peersStart(t, devcell.Settings{
					Processes: size, StoreAddressFunc: func(id ident.ProcessID, standin string) string {
						var n int
						if _, err := fmt.Sscanf(string(id), "entry-%d", &n); err == nil && n > size-cutOff {
							return noStore
						}
						return standin
					},
				})
				peersAwait(t, "ready", func() bool { return peersReady(cell) })
				var longest time.Duration
				revision := ident.Revision(0)
				for round := range 3 {
					var err error
					began := time.Now()
					revision, err = cell.Nodes[0].ApplyDocument(t.Context(), "_cell", devcell.CellToken, peersQuotas(round+1), revision)
					if err != nil {
						t.Fatal(err)
					}
					peersAwait(t, "in force everywhere", func() bool { return peersInForce(t, cell, revision) })
					longest = max(longest, time.Since(began))
				}
				t.Logf("longest of 3 changes: %v", longest)
				if longest > spreadBound {
					t.Errorf("a change took %v; the bound is %v", longest, spreadBound)
				}
			})
		}
	}
}

func peersReady(cell *devcell.Cell) bool {
	for _, n := range cell.Nodes {
		if n.Ready() != nil {
			return false
		}
	}
	return true
}

// peersInForce reports whether every process has exactly the revision in force; a higher one cannot exist yet.
func peersInForce(t *testing.T, cell *devcell.Cell, revision ident.Revision) bool {
	t.Helper()
	all := true
	for _, n := range cell.Nodes {
		entry, err := n.Document("_cell", devcell.CellToken)
		if err == nil && entry.Revision > revision {
			t.Errorf("process %s has revision %d; %d is the last one", n.ID, entry.Revision, revision)
		}
		all = all && err == nil && entry.Revision == revision
	}
	return all
}

// TestStartDuringOutage guards section 2.5: a process that starts while the store is down takes its documents from
// peers, and one that has nobody to ask is not ready. Afterwards it applies changes again.
func TestStartDuringOutage(t *testing.T) {
	t.Parallel()
	cell := peersStart(t, devcell.Settings{Processes: 2})
	peersAwait(t, "ready", func() bool { return peersReady(cell) })
	cell.Store.SetFaults(store.Faults{Unavailable: true})
	late, err := cell.AddNode("entry-3", 2)
	if err != nil {
		t.Fatal(err)
	}
	peersAwait(t, "ready from peers", func() bool { return late.Ready() == nil })
	want, err := cell.Nodes[0].Document("vembanad", "vembanad-dev-token")
	if err != nil {
		t.Fatal(err)
	}
	got, err := late.Document("vembanad", "vembanad-dev-token")
	if err != nil || got.Revision != want.Revision {
		t.Errorf("revision %d in force, %v; the peers have %d", got.Revision, err, want.Revision)
	}
	if _, err := late.ApplyDocument(t.Context(), "vembanad", "vembanad-dev-token", want.Source, want.Revision); !fault.Is(err, fault.StoreUnavailable) {
		t.Errorf("a change during the outage: %v; want store_unavailable", err)
	}
	cell.Store.SetFaults(store.Faults{})
	peersAwait(t, "applied after the outage", func() bool {
		_, err := late.ApplyDocument(t.Context(), "_cell", devcell.CellToken, peersQuotas(3), 0)
		return err == nil
	})
}

// TestNotReadyAlone guards readiness: without the store and without peers nothing confirms the documents.
func TestNotReadyAlone(t *testing.T) {
	t.Parallel()
	cell := peersStart(t, devcell.Settings{
		Processes: 1, StoreAddressFunc: func(ident.ProcessID, string) string { return noStore },
	})
	time.Sleep(3 * time.Second)
	if err := cell.Nodes[0].Ready(); !fault.Is(err, fault.NotReady) {
		t.Errorf("a process that nothing confirmed: %v; want not_ready", err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	err := callerhttp.NewClient(cell.Nodes[0].CallerAddress(), "").Ready(ctx)
	if !fault.Is(err, fault.NotReady) {
		t.Errorf("its answer to the balancer: %v; want not_ready", err)
	}
}
