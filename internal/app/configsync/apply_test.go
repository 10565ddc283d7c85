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

// wrapped lets a test fail calls on the way to the store and on the way back.
type wrapped struct {
	port.Store
	loseCalls, loseAnswers atomic.Int32 // of the next writes
}

func (w *wrapped) Put(
	ctx context.Context, key string, value []byte, expect ident.Revision, lease port.LeaseID,
) (ident.Revision, error) {
	lost := fault.New(fault.StoreUnavailable, "lost")
	if w.loseCalls.Add(-1) >= 0 {
		return 0, lost
	}
	revision, err := w.Store.Put(ctx, key, value, expect, lease)
	if w.loseAnswers.Add(-1) >= 0 {
		return 0, lost
	}
	return revision, err
}

func startStore(t *testing.T) (*store.Store, *wrapped) {
	t.Helper()
	standin, err := store.Start("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(standin.Close)
	return standin, &wrapped{Store: storehttp.New(standin.Address())}
}

// TestApply guards the answer to a change: what it tells is what happened in the store, also when calls or answers are
// lost.
func TestApply(t *testing.T) {
	tests := map[string]struct {
		name    string
		source  []byte
		prepare func(*store.Store, *wrapped)
		stale   bool // expect a former revision
		want    fault.Kind
		text    string // in the error
		weight  string // in the store afterwards
	}{
		"normal":           {weight: "weight: 2", want: fault.Internal},
		"a lost call":      {prepare: func(_ *store.Store, w *wrapped) { w.loseCalls.Store(1) }, weight: "weight: 2"},
		"a lost answer":    {prepare: func(_ *store.Store, w *wrapped) { w.loseAnswers.Store(1) }, weight: "weight: 2"},
		"both lost":        {prepare: func(_ *store.Store, w *wrapped) { w.loseCalls.Store(1); w.loseAnswers.Store(1) }, weight: "weight: 2"},
		"a former one":     {stale: true, want: fault.Conflict, text: "- weight: 1\n+ weight: 2", weight: "weight: 1"},
		"the store down":   {prepare: func(s *store.Store, _ *wrapped) { s.SetFaults(store.Faults{Unavailable: true}) }, want: fault.StoreUnavailable},
		"of another team":  {name: "other", want: fault.Invalid, text: `team "team", not "other"`, weight: "weight: 1"},
		"not valid":        {source: []byte("weight: x"), want: fault.Invalid, text: "line 1", weight: "weight: 1"},
		"too large":        {source: bytes.Repeat([]byte(" "), 300<<10), want: fault.TooLarge, weight: "weight: 1"},
		"cell quotas, bad": {name: "_cell", source: []byte("version: 1\nquotas:\n  team: {cores: -1}\n"), want: fault.Invalid, text: "line 3: quotas.team.cores", weight: "weight: 1"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			ctx := t.Context()
			standin, w := startStore(t)
			revision, err := w.Put(ctx, KeyPrefix+"team", source("team", 1), 0, 0)
			if err != nil {
				t.Fatal(err)
			}
			if test.stale {
				revision--
			}
			if test.prepare != nil {
				test.prepare(standin, w)
			}
			if test.name == "" {
				test.name = "team"
			}
			if test.source == nil {
				test.source = source("team", 2)
			}
			s := newService("p", w, nil)
			applied, err := s.Apply(ctx, test.name, test.source, revision)
			switch {
			case test.want == fault.Internal && (err != nil || applied <= revision):
				t.Errorf("revision %d, %v; want a success", applied, err)
			case test.want != fault.Internal && !fault.Is(err, test.want):
				t.Errorf("%v; want %v", err, test.want)
			case err != nil && !strings.Contains(err.Error(), test.text):
				t.Errorf("%v; want %q in it", err, test.text)
			}
			standin.SetFaults(store.Faults{})
			entry, _ := w.Get(ctx, KeyPrefix+"team")
			if !bytes.Contains(entry.Value, []byte(test.weight)) {
				t.Errorf("the store has %s; want %s", entry.Value, test.weight)
			}
		})
	}
}

// TestRace guards against two operators who both believe that their change is in force: of several changes to the same
// revision exactly one wins, also when answers are lost.
func TestRace(t *testing.T) {
	_, w := startStore(t)
	w.loseAnswers.Store(2)
	s := newService("p", w, nil)
	var wins, conflicts atomic.Int32
	var racing sync.WaitGroup
	for i := range 8 {
		racing.Go(func() {
			_, err := s.Apply(t.Context(), "team", source("team", 1+i), 0)
			switch {
			case err == nil:
				wins.Add(1)
			case fault.Is(err, fault.Conflict) || fault.Is(err, fault.Interrupted):
				conflicts.Add(1)
			default:
				t.Error(err)
			}
		})
	}
	racing.Wait()
	if wins.Load() != 1 || conflicts.Load() != 7 {
		t.Errorf("%d changes won and %d were told of a conflict; want 1 and 7", wins.Load(), conflicts.Load())
	}
}

// TestStoreWentBack guards guarantee 8 against a store that was restored to an older state: documents in force stay,
// the log tells, and a change is refused instead of being accepted and not taking effect.
func TestStoreWentBack(t *testing.T) {
	_, now := startStore(t)
	_, older := startStore(t)
	ctx := t.Context()
	revision := ident.Revision(0)
	for i := range 5 {
		var err error
		if revision, err = now.Put(ctx, KeyPrefix+"team", source("team", 1+i), revision, 0); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := older.Put(ctx, KeyPrefix+"team", source("team", 900), 0, 0); err != nil {
		t.Fatal(err)
	}
	s := newService("p", now, nil)
	var log bytes.Buffer
	s.Log = slog.New(slog.NewTextHandler(&log, nil))
	followFor(ctx, s)
	s.Store = older
	followFor(ctx, s)
	if stored, err := s.Catalog.Get("team"); err != nil || stored.Document.Weight != 5 {
		t.Errorf("weight %d in force, %v; want 5", stored.Document.Weight, err)
	}
	if !strings.Contains(log.String(), "the store went back to an older state") {
		t.Errorf("the log does not tell: %s", log.String())
	}
	if _, err := s.Apply(ctx, "team", source("team", 7), 1); !fault.Is(err, fault.StoreUnavailable) {
		t.Errorf("apply: %v; want store_unavailable", err)
	}
	// A deletion that the store tells of later still counts.
	s.accept([]port.Entry{{Key: KeyPrefix + "team", Revision: revision + 1}})
	if _, err := s.Catalog.Get("team"); !fault.Is(err, fault.NotFound) {
		t.Errorf("a deleted document: %v; want not_found", err)
	}
	s.accept([]port.Entry{{Key: KeyPrefix + "team", Revision: revision, Value: source("team", 5)}})
	if _, err := s.Catalog.Get("team"); !fault.Is(err, fault.NotFound) {
		t.Errorf("a late message brought a deleted document back")
	}
}

func followFor(ctx context.Context, s *Service) {
	ctx, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
	defer cancel()
	_ = s.follow(ctx) // ends with the context
}
