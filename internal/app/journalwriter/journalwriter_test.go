package journalwriter_test

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"time"

	"skylarkstall/internal/adapter/journalwire"
	"skylarkstall/internal/adapter/storehttp"
	"skylarkstall/internal/app/journalwriter"
	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/journal"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/port"
	"skylarkstall/internal/standin/store"
)

const partition = ident.PartitionID(7)

func startStore(t *testing.T) *store.Store {
	t.Helper()
	s, err := store.Start("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

func newWriter(s *store.Store, id ident.ProcessID) *journalwriter.Service {
	return journalwriter.New(journalwriter.Config{
		Self: id, Store: storehttp.New(s.Address()), Codec: journalwire.Codec{}, Log: slog.New(slog.DiscardHandler),
	})
}

func takeOver(t *testing.T, w *journalwriter.Service) []journal.Record {
	t.Helper()
	records, err := w.TakeOver(context.Background(), partition)
	if err != nil {
		t.Fatal(err)
	}
	return records
}

func intent(id string) journal.Record {
	return journal.Record{
		Kind: journal.Intent, Work: ident.WorkID{Team: "vembanad", Request: ident.RequestID(id)},
		Expires: time.Now().Add(time.Hour),
	}
}

func appendTo(w *journalwriter.Service, id string) error {
	return w.Append(context.Background(), partition, intent(id))
}

// TestGroupCommit guards the limit of 4 writes/s per partition: appends that arrive within the commit interval must
// share a commit, and the first one must not wait.
func TestGroupCommit(t *testing.T) {
	s := startStore(t)
	w := newWriter(s, "entry-1")
	takeOver(t, w)
	began := time.Now()
	if err := appendTo(w, "first"); err != nil {
		t.Fatal(err)
	}
	if took := time.Since(began); took > journalwriter.CommitInterval/2 {
		t.Errorf("the first append took %s; want at most half the commit interval", took)
	}
	before := s.CallCounts()[storehttp.PathPut]
	var callers sync.WaitGroup
	for i := range 100 {
		callers.Go(func() {
			if err := appendTo(w, fmt.Sprintf("order-%d", i)); err != nil {
				t.Error(err)
			}
		})
	}
	callers.Wait()
	if writes := s.CallCounts()[storehttp.PathPut] - before; writes > 2 {
		t.Errorf("100 concurrent appends took %d writes; want at most 2", writes)
	}
	if n := len(takeOver(t, newWriter(s, "entry-2"))); n != 101 {
		t.Errorf("%d records read; want 101", n)
	}
}

// TestStoreDown guards guarantee 4: records rejected with store_unavailable must not be in the journal, and a commit
// that may still take effect must be reported as interrupted. Appends must succeed again when the store is back.
func TestStoreDown(t *testing.T) {
	s := startStore(t)
	w := newWriter(s, "entry-1")
	if err := appendTo(w, "not-taken"); !fault.Is(err, fault.StoreUnavailable) {
		t.Errorf("append before the takeover: error %v; want store_unavailable", err)
	}
	takeOver(t, w)
	s.SetFaults(store.Faults{DropResponse: true})
	if err := appendTo(w, "lost-answer"); err != nil {
		t.Errorf("append whose response was lost after it took effect: error %v", err)
	}
	s.SetFaults(store.Faults{Unavailable: true})
	if err := appendTo(w, "down"); !fault.Is(err, fault.Interrupted) {
		t.Errorf("append while the store is down: error %v; want interrupted, because the write may still take effect", err)
	}
	before := s.CallCounts()[storehttp.PathPut]
	go func() { _ = appendTo(w, "in-progress") }()
	for s.CallCounts()[storehttp.PathPut] == before {
		time.Sleep(time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	if err := w.Append(ctx, partition, intent("waited")); !fault.Is(err, fault.StoreUnavailable) {
		t.Errorf("append that was not part of a commit yet: error %v; want store_unavailable", err)
	}
	s.SetFaults(store.Faults{})
	if err := appendTo(w, "back"); err != nil {
		t.Errorf("append after the store is back: error %v", err)
	}
	found := map[ident.RequestID]bool{}
	for _, r := range takeOver(t, newWriter(s, "entry-2")) {
		found[r.Work.Request] = true
	}
	if !found["lost-answer"] || !found["back"] || found["waited"] || found["not-taken"] {
		t.Errorf("the journal contains the requests %v", found)
	}
}

// delayedPutStore is a store whose first put returns an error at once and is performed only after release is closed.
type delayedPutStore struct {
	port.Store
	once    sync.Once
	release chan struct{}
	result  chan error // receives the result of the delayed put
}

func (s *delayedPutStore) Put(
	ctx context.Context, key string, value []byte, expect ident.Revision, lease port.LeaseID,
) (ident.Revision, error) {
	delayed := false
	s.once.Do(func() {
		delayed = true
		go func() {
			<-s.release
			_, err := s.Store.Put(context.Background(), key, value, expect, lease)
			s.result <- err
		}()
	})
	if delayed {
		return 0, fault.New(fault.StoreUnavailable, "the call timed out")
	}
	return s.Store.Put(ctx, key, value, expect, lease)
}

// TestLateWrite guards against a delayed write that arrives after its caller has retried it: it must neither be stored
// a second time nor fence the writer. The retried takeover succeeds, and its delayed copy is rejected.
func TestLateWrite(t *testing.T) {
	s := startStore(t)
	delayed := &delayedPutStore{
		Store: storehttp.New(s.Address()), release: make(chan struct{}), result: make(chan error, 1),
	}
	w := journalwriter.New(journalwriter.Config{
		Self: "entry-1", Store: delayed, Codec: journalwire.Codec{}, Log: slog.New(slog.DiscardHandler),
	})
	takeOver(t, w)
	close(delayed.release)
	if err := <-delayed.result; !fault.Is(err, fault.Conflict) {
		t.Errorf("delayed copy of the takeover: error %v; want conflict", err)
	}
	if err := appendTo(w, "after"); err != nil {
		t.Error(err)
	}
}

// TestFormerWriterAfterTurn guards guarantee 5: a previous writer that resumes after its successor has overwritten the
// whole ring must get stale_epoch, and its records must not be in the journal.
func TestFormerWriterAfterTurn(t *testing.T) {
	s := startStore(t)
	previous, successor := newWriter(s, "entry-1"), newWriter(s, "entry-2")
	takeOver(t, previous)
	if err := appendTo(previous, "before"); err != nil {
		t.Fatal(err)
	}
	for range journal.SlotCount + 1 { // a takeover writes a segment without waiting for the commit interval
		takeOver(t, successor)
	}
	if err := appendTo(previous, "late"); !fault.Is(err, fault.StaleEpoch) {
		t.Errorf("append by the previous writer: error %v; want stale_epoch", err)
	}
	if err := appendTo(successor, "after"); err != nil {
		t.Error(err)
	}
	records := takeOver(t, newWriter(s, "entry-3"))
	if len(records) != 2 || records[0].Work.Request != "before" || records[1].Work.Request != "after" {
		t.Errorf("the journal contains %v; want the records before and after", records)
	}
}

// TestDamagedJournal guards against a takeover that skips a corrupt segment: the takeover must fail.
func TestDamagedJournal(t *testing.T) {
	s := startStore(t)
	takeOver(t, newWriter(s, "entry-1"))
	client := storehttp.New(s.Address())
	entry, err := client.Get(context.Background(), journalwriter.KeyPrefix(partition)+"1")
	if err != nil {
		t.Fatal(err)
	}
	entry.Value[len(entry.Value)-1] ^= 1
	if _, err := client.Put(context.Background(), entry.Key, entry.Value, entry.Revision, 0); err != nil {
		t.Fatal(err)
	}
	if _, err := newWriter(s, "entry-2").TakeOver(context.Background(), partition); !fault.Is(err, fault.Internal) {
		t.Errorf("error %v; want internal", err)
	}
}
