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

// cell is a set of services that reach each other without a wire. A call may break off.
type cell struct {
	port.Peers
	services map[ident.ProcessID]*Service
	random   *rand.Rand
	breaks   bool
}

func (c *cell) Documents(ctx context.Context, to ident.ProcessID, after ident.Revision) (port.DocumentPage, error) {
	if c.breaks && c.random.IntN(4) == 0 {
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
		DecodeCell: document.DecodeCellQuotas, Recorder: timeline.NewRecorder(id, 1000), Log: slog.New(slog.DiscardHandler),
	})
	s.pageSize = 3 * len(source("a", 1))
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

// history is what the store went through.
type history struct {
	revision ident.Revision
	truth    map[string]port.Entry
}

// change makes one change: a valid text, one that is not valid, or a deletion.
func (h *history) change(random *rand.Rand) port.Entry {
	h.revision += ident.Revision(1 + random.IntN(3)) // other keys of the store change too
	name := string(rune('a' + random.IntN(5)))
	e := port.Entry{Key: KeyPrefix + name, Revision: h.revision}
	switch random.IntN(5) {
	case 0:
		e.Value = []byte("weight: none\n")
	case 1: // a deletion
	default:
		e.Value = source(name, 1+random.IntN(1000))
	}
	h.truth[name] = e
	if e.Value == nil {
		delete(h.truth, name)
	}
	return e
}

// TestSpreadThroughPeers guards guarantee 8 while only some processes reach the store: changes that one process skipped
// because they were not valid, deletions, several pages and fetches that break off. No document ever goes back, and in
// the end every process knows the same.
func TestSpreadThroughPeers(t *testing.T) {
	ids := []ident.ProcessID{"p0", "p1", "p2", "p3"}
	for seed := range uint64(60) {
		random := rand.New(rand.NewPCG(seed, 7))
		c := newCell(ids...)
		c.random, c.breaks = random, true
		h := &history{truth: map[string]port.Entry{}}
		highest := map[string]ident.Revision{}
		for range 60 {
			if p := c.services["p0"]; random.IntN(3) == 0 { // only p0 reaches the store
				e := h.change(random)
				p.accept([]port.Entry{e})
				p.Catalog.Advance(e.Revision)
			}
			from, to := ids[random.IntN(4)], ids[1+random.IntN(3)]
			if c.services[from].Catalog.Revision() > c.services[to].Catalog.Revision() {
				c.services[to].fetch(context.Background(), from)
			}
			checkForward(t, c, highest)
		}
		c.breaks = false
		for _, id := range ids[1:] {
			c.services[id].fetch(context.Background(), "p0")
			want, got := c.services["p0"].Catalog.ChangesSince(0), c.services[id].Catalog.ChangesSince(0)
			if diff := cmp.Diff(summary(want), summary(got)); diff != "" {
				t.Fatalf("seed %d: %s differs from the process that follows the store: %s", seed, id, diff)
			}
		}
	}
}

// summary leaves out the texts, and the deletions: a process that learned of one by the missing name has it at a later
// revision.
func summary(p team.Delta) []string {
	out := append(slices.Clone(p.Names), fmt.Sprint(p.Revision))
	for _, e := range p.Changes {
		if !e.Deleted {
			out = append(out, fmt.Sprintf("%s@%d", e.Name, e.Revision))
		}
	}
	return out
}

func checkForward(t *testing.T, c *cell, highest map[string]ident.Revision) {
	t.Helper()
	for id, s := range c.services {
		for _, name := range []string{"a", "b", "c", "d", "e"} {
			e, err := s.Catalog.Active(name)
			key := string(id) + name
			if err == nil && e.Revision < highest[key] {
				t.Fatalf("%s: document %s went back from revision %d to %d", id, name, highest[key], e.Revision)
			}
			highest[key] = max(highest[key], e.Revision)
		}
	}
}

// TestDeletionBeforeStart guards against a deleted document that lives on in a process without the store, because the
// process that it asks started after the deletion and never knew the document.
func TestDeletionBeforeStart(t *testing.T) {
	c := newCell("late", "cut off")
	cutOff, late := c.services["cut off"], c.services["late"]
	cutOff.accept([]port.Entry{{Key: KeyPrefix + "a", Revision: 8, Value: source("a", 1)}})
	cutOff.Catalog.Advance(8)
	late.Catalog.Advance(20)
	if !cutOff.fetch(t.Context(), "late") || cutOff.Catalog.Has("a") {
		t.Error("the deleted document is still in force")
	}
}
