package configsync

import (
	"bytes"
	"context"
	"log/slog"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"skylarkstall/internal/adapter/storehttp"
	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/port"
	"skylarkstall/internal/standin/store"
)

// faultyStore is a store of which a test can drop requests and responses.
type faultyStore struct {
	port.Store
	dropRequests, dropResponses atomic.Int32 // number of subsequent writes
}

func (s *faultyStore) Put(
	ctx context.Context, key string, value []byte, expect ident.Revision, lease port.LeaseID,
) (ident.Revision, error) {
	lost := fault.New(fault.StoreUnavailable, "call dropped by the test")
	if s.dropRequests.Add(-1) >= 0 {
		return 0, lost
	}
	revision, err := s.Store.Put(ctx, key, value, expect, lease)
	if s.dropResponses.Add(-1) >= 0 {
		return 0, lost
	}
	return revision, err
}

func startStore(t *testing.T) (*store.Store, *faultyStore) {
	t.Helper()
	standin, err := store.Start("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(standin.Close)
	return standin, &faultyStore{Store: storehttp.New(standin.Address())}
}

// TestApply guards against a change whose reported result differs from the contents of the store, also when requests or
// responses are lost.
func TestApply(t *testing.T) {
	tests := map[string]struct {
		name    string
		source  []byte
		prepare func(*store.Store, *faultyStore)
		stale   bool // expect an earlier revision
		want    fault.Kind
		text    string // contained in the error
		weight  string // in the store after the change
	}{
		"success":          {weight: "weight: 2", want: fault.Internal},
		"lost request":     {prepare: func(_ *store.Store, faulty *faultyStore) { faulty.dropRequests.Store(1) }, weight: "weight: 2"},
		"lost response":    {prepare: func(_ *store.Store, faulty *faultyStore) { faulty.dropResponses.Store(1) }, weight: "weight: 2"},
		"both lost":        {prepare: func(_ *store.Store, faulty *faultyStore) { faulty.dropRequests.Store(1); faulty.dropResponses.Store(1) }, weight: "weight: 2"},
		"stale revision":   {stale: true, want: fault.Conflict, text: "- weight: 1\n+ weight: 2", weight: "weight: 1"},
		"store down":       {prepare: func(s *store.Store, _ *faultyStore) { s.SetFaults(store.Faults{Unavailable: true}) }, want: fault.StoreUnavailable},
		"another team":     {name: "other", want: fault.Invalid, text: `team "team", not "other"`, weight: "weight: 1"},
		"invalid document": {source: []byte("weight: x"), want: fault.Invalid, text: "line 1", weight: "weight: 1"},
		"too large":        {source: bytes.Repeat([]byte(" "), 300<<10), want: fault.TooLarge, weight: "weight: 1"},
		"invalid quotas":   {name: "_cell", source: []byte("version: 1\nquotas:\n  team: {cores: -1}\n"), want: fault.Invalid, text: "line 3: quotas.team.cores", weight: "weight: 1"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			ctx := t.Context()
			standin, faulty := startStore(t)
			revision, err := faulty.Put(ctx, KeyPrefix+"team", source("team", 1), 0, 0)
			if err != nil {
				t.Fatal(err)
			}
			if test.stale {
				revision--
			}
			if test.prepare != nil {
				test.prepare(standin, faulty)
			}
			if test.name == "" {
				test.name = "team"
			}
			if test.source == nil {
				test.source = source("team", 2)
			}
			s := newService("p", faulty, nil)
			applied, err := s.Apply(ctx, test.name, test.source, revision)
			switch {
			case test.want == fault.Internal && (err != nil || applied <= revision):
				t.Errorf("revision %d, error %v; want success", applied, err)
			case test.want != fault.Internal && !fault.Is(err, test.want):
				t.Errorf("error %v; want kind %v", err, test.want)
			case err != nil && !strings.Contains(err.Error(), test.text):
				t.Errorf("error %v; want %q in it", err, test.text)
			}
			standin.SetFaults(store.Faults{})
			entry, _ := faulty.Get(ctx, KeyPrefix+"team")
			if !bytes.Contains(entry.Value, []byte(test.weight)) {
				t.Errorf("the store contains %s; want %s", entry.Value, test.weight)
			}
		})
	}
}

// TestRace guards against two operators whose conflicting changes are both reported as successful: of several changes
// to the same revision exactly one must succeed, also when responses are lost.
func TestRace(t *testing.T) {
	_, faulty := startStore(t)
	faulty.dropResponses.Store(2)
	s := newService("p", faulty, nil)
	var successes, conflicts atomic.Int32
	var changes sync.WaitGroup
	for i := range 8 {
		changes.Go(func() {
			_, err := s.Apply(t.Context(), "team", source("team", 1+i), 0)
			switch {
			case err == nil:
				successes.Add(1)
			case fault.Is(err, fault.Conflict) || fault.Is(err, fault.Interrupted):
				conflicts.Add(1)
			default:
				t.Error(err)
			}
		})
	}
	changes.Wait()
	if successes.Load() != 1 || conflicts.Load() != 7 {
		t.Errorf("%d changes succeeded and %d failed with a conflict; want 1 and 7", successes.Load(), conflicts.Load())
	}
}

// TestStoreWentBack guards guarantee 8 when the store was restored to an older state: active documents must stay
// active, the rollback must be logged, and a change must be rejected instead of being accepted without taking effect.
func TestStoreWentBack(t *testing.T) {
	_, current := startStore(t)
	_, older := startStore(t)
	ctx := t.Context()
	revision := ident.Revision(0)
	for i := range 5 {
		var err error
		if revision, err = current.Put(ctx, KeyPrefix+"team", source("team", 1+i), revision, 0); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := older.Put(ctx, KeyPrefix+"team", source("team", 900), 0, 0); err != nil {
		t.Fatal(err)
	}
	s := newService("p", current, nil)
	var log bytes.Buffer
	s.Log = slog.New(slog.NewTextHandler(&log, nil))
	followFor(ctx, s)
	s.Store = older
	followFor(ctx, s)
	if stored, err := s.Catalog.Get("team"); err != nil || stored.Document.Weight != 5 {
		t.Errorf("active weight %d, error %v; want 5", stored.Document.Weight, err)
	}
	if !strings.Contains(log.String(), "store reverted to an older state; keeping the active documents") {
		t.Errorf("the rollback is not logged: %s", log.String())
	}
	if _, err := s.Apply(ctx, "team", source("team", 7), 1); !fault.Is(err, fault.StoreUnavailable) {
		t.Errorf("apply: error %v; want store_unavailable", err)
	}
	// A later deletion in the store takes effect.
	s.applyEntries([]port.Entry{{Key: KeyPrefix + "team", Revision: revision + 1}})
	if _, err := s.Catalog.Get("team"); !fault.Is(err, fault.NotFound) {
		t.Errorf("deleted document: error %v; want not_found", err)
	}
	s.applyEntries([]port.Entry{{Key: KeyPrefix + "team", Revision: revision, Value: source("team", 5)}})
	if _, err := s.Catalog.Get("team"); !fault.Is(err, fault.NotFound) {
		t.Errorf("a delayed change restored a deleted document")
	}
}

func followFor(ctx context.Context, s *Service) {
	ctx, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
	defer cancel()
	_ = s.follow(ctx) // returns when the context ends
}
