package configsync

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"

	"skylarkstall/internal/adapter/document"
	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/team"
	"skylarkstall/internal/domain/timeline"
	"skylarkstall/internal/port"
)

// cell is a set of services that call each other directly, without a network.
type cell struct {
	port.Peers
	services map[ident.ProcessID]*Service
	random   *rand.Rand
	faulty   bool // a quarter of the calls fail
}

func (c *cell) Documents(ctx context.Context, to ident.ProcessID, after ident.Revision) (port.DocumentPage, error) {
	if c.faulty && c.random.IntN(4) == 0 {
		return port.DocumentPage{}, context.DeadlineExceeded
	}
	return c.services[to].HandleDocuments(ctx, after)
}

func newCell(ids ...ident.ProcessID) *cell {
	c := &cell{services: map[ident.ProcessID]*Service{}, random: rand.New(rand.NewPCG(1, 1))}
	for _, id := range ids {
		c.services[id] = newService(id, nil, c)
	}
	return c
}

func newService(id ident.ProcessID, store port.Store, peers port.Peers) *Service {
	s := New(Config{
		Self: id, Store: store, Peers: peers, Catalog: team.NewCatalog(), Decode: document.Decode,
		DecodeCellQuotas: document.DecodeCellQuotas, Recorder: timeline.NewRecorder(id, 1000), Log: slog.New(slog.DiscardHandler),
	})
	s.pageBytes = 3 * len(source("a", 1))
	return s
}

func source(name string, weight int) []byte {
	return fmt.Appendf(nil, `version: 1
team: %s
token: secret
weight: %d
kinds: [{name: k, class: request, size: {slots: 1}, deadline: 1s}]
`, name, weight)
}

// history generates random changes of documents in a store.
type history struct {
	revision  ident.Revision
	documents map[string]port.Entry // documents that exist
}

// change makes one change: a valid text, an invalid one, or a deletion.
func (h *history) change(random *rand.Rand) port.Entry {
	h.revision += ident.Revision(1 + random.IntN(3)) // other keys of the store change as well
	name := string(rune('a' + random.IntN(5)))
	e := port.Entry{Key: KeyPrefix + name, Revision: h.revision}
	switch random.IntN(5) {
	case 0:
		e.Value = []byte("weight: none\n")
	case 1: // a deletion
	default:
		e.Value = source(name, 1+random.IntN(1000))
	}
	h.documents[name] = e
	if e.Value == nil {
		delete(h.documents, name)
	}
	return e
}

// TestSpreadThroughPeers guards guarantee 8 while only one process reaches the store and the others fetch changes from
// peers, with invalid texts, deletions, several pages and interrupted fetches. No document may revert to a lower
// revision, and in the end all processes must have the same documents.
func TestSpreadThroughPeers(t *testing.T) {
	ids := []ident.ProcessID{"p0", "p1", "p2", "p3"}
	for seed := range uint64(60) {
		random := rand.New(rand.NewPCG(seed, 7))
		c := newCell(ids...)
		c.random, c.faulty = random, true
		h := &history{documents: map[string]port.Entry{}}
		highest := map[string]ident.Revision{}
		for range 60 {
			if p := c.services["p0"]; random.IntN(3) == 0 { // only p0 reaches the store
				e := h.change(random)
				p.applyEntries([]port.Entry{e})
				p.Catalog.Advance(e.Revision)
			}
			from, to := ids[random.IntN(4)], ids[1+random.IntN(3)]
			if c.services[from].Catalog.Revision() > c.services[to].Catalog.Revision() {
				c.services[to].fetch(context.Background(), from)
			}
			checkNoRevert(t, c, highest)
		}
		c.faulty = false
		for _, id := range ids[1:] {
			c.services[id].fetch(context.Background(), "p0")
			want, got := c.services["p0"].Catalog.ChangesSince(0), c.services[id].Catalog.ChangesSince(0)
			if diff := cmp.Diff(summary(want), summary(got)); diff != "" {
				t.Fatalf("seed %d: documents of %s differ from those of the process that reads the store: %s", seed, id, diff)
			}
		}
	}
}

// summary returns names and revisions without texts. It omits deletions: a process that inferred one from a missing
// name records it with a later revision.
func summary(delta team.Delta) []string {
	lines := append(slices.Clone(delta.Names), fmt.Sprint(delta.Revision))
	for _, e := range delta.Changes {
		if !e.Deleted {
			lines = append(lines, fmt.Sprintf("%s@%d", e.Name, e.Revision))
		}
	}
	return lines
}

func checkNoRevert(t *testing.T, c *cell, highest map[string]ident.Revision) {
	t.Helper()
	for id, s := range c.services {
		for _, name := range []string{"a", "b", "c", "d", "e"} {
			e, err := s.Catalog.Active(name)
			key := string(id) + name
			if err == nil && e.Revision < highest[key] {
				t.Fatalf("%s: document %s reverted from revision %d to %d", id, name, highest[key], e.Revision)
			}
			highest[key] = max(highest[key], e.Revision)
		}
	}
}

// TestDeletionBeforeStart guards against a deleted document that stays active in a process that cannot reach the store:
// the peer from which it fetches changes started after the deletion and has no record of the document.
func TestDeletionBeforeStart(t *testing.T) {
	c := newCell("started later", "disconnected")
	disconnected, startedLater := c.services["disconnected"], c.services["started later"]
	disconnected.applyEntries([]port.Entry{{Key: KeyPrefix + "a", Revision: 8, Value: source("a", 1)}})
	disconnected.Catalog.Advance(8)
	startedLater.Catalog.Advance(20)
	if !disconnected.fetch(t.Context(), "started later") || disconnected.Catalog.Has("a") {
		t.Error("the deleted document is still active")
	}
}
