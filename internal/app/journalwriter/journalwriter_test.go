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

func take(t *testing.T, w *journalwriter.Service) []journal.Record {
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

// TestGroupCommit guards the bound of 4 writes/s for a partition: appends that arrive within the interval share a
// commit, and a first one does not wait.
func TestGroupCommit(t *testing.T) {
	s := startStore(t)
	w := newWriter(s, "entry-1")
	take(t, w)
	began := time.Now()
	if err := appendTo(w, "first"); err != nil {
		t.Fatal(err)
	}
	if took := time.Since(began); took > journalwriter.CommitInterval/2 {
		t.Errorf("a first append took %s", took)
	}
	before := s.Calls()[storehttp.PathPut]
	var callers sync.WaitGroup
	for i := range 100 {
		callers.Go(func() {
			if err := appendTo(w, fmt.Sprintf("order-%d", i)); err != nil {
				t.Error(err)
			}
		})
	}
	callers.Wait()
	if writes := s.Calls()[storehttp.PathPut] - before; writes > 2 {
		t.Errorf("100 appends at once took %d writes", writes)
	}
	if n := len(take(t, newWriter(s, "entry-2"))); n != 101 {
		t.Errorf("%d records were read; want 101", n)
	}
}

// TestStoreDown guards guarantee 4: what was refused with store_unavailable is not in the journal, and what is in
// doubt is told so. Appends go on when the store is back.
func TestStoreDown(t *testing.T) {
	s := startStore(t)
	w := newWriter(s, "entry-1")
	if err := appendTo(w, "not-taken"); !fault.Is(err, fault.StoreUnavailable) {
		t.Errorf("before the journal was taken: %v", err)
	}
	take(t, w)
	s.SetFaults(store.Faults{LoseAnswer: true})
	if err := appendTo(w, "lost-answer"); err != nil {
		t.Errorf("the answer was lost after the effect: %v", err)
	}
	s.SetFaults(store.Faults{Down: true})
	if err := appendTo(w, "down"); !fault.Is(err, fault.Interrupted) {
		t.Errorf("store down: %v; want interrupted, because the write may arrive", err)
	}
	before := s.Calls()[storehttp.PathPut]
	go func() { _ = appendTo(w, "in-progress") }()
	for s.Calls()[storehttp.PathPut] == before {
		time.Sleep(time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	if err := w.Append(ctx, partition, intent("waited")); !fault.Is(err, fault.StoreUnavailable) {
		t.Errorf("not part of a commit yet: %v; want store_unavailable", err)
	}
	s.SetFaults(store.Faults{})
	if err := appendTo(w, "back"); err != nil {
		t.Errorf("the store is back: %v", err)
	}
	found := map[ident.RequestID]bool{}
	for _, r := range take(t, newWriter(s, "entry-2")) {
		found[r.Work.Request] = true
	}
	if !found["lost-answer"] || !found["back"] || found["waited"] || found["not-taken"] {
		t.Errorf("the journal has %v", found)
	}
}

// slowFirst is a store whose first put is carried out only when it is released, after its caller was told of a failure.
type slowFirst struct {
	port.Store
	once    sync.Once
	arrive  chan struct{}
	arrived chan error
}

func (s *slowFirst) Put(
	ctx context.Context, key string, value []byte, expect ident.Revision, lease port.LeaseID,
) (ident.Revision, error) {
	delayed := false
	s.once.Do(func() {
		delayed = true
		go func() {
			<-s.arrive
			_, err := s.Store.Put(context.Background(), key, value, expect, lease)
			s.arrived <- err
		}()
	})
	if delayed {
		return 0, fault.New(fault.StoreUnavailable, "the call timed out")
	}
	return s.Store.Put(ctx, key, value, expect, lease)
}

// TestLateWrite guards that a write that takes effect after its caller gave it up is not stored twice and fences
// nobody: the retried takeover wins over its own late copy.
func TestLateWrite(t *testing.T) {
	s := startStore(t)
	late := &slowFirst{Store: storehttp.New(s.Address()), arrive: make(chan struct{}), arrived: make(chan error, 1)}
	w := journalwriter.New(journalwriter.Config{
		Self: "entry-1", Store: late, Codec: journalwire.Codec{}, Log: slog.New(slog.DiscardHandler),
	})
	take(t, w)
	close(late.arrive)
	if err := <-late.arrived; !fault.Is(err, fault.Conflict) {
		t.Errorf("the late copy: %v; want conflict", err)
	}
	if err := appendTo(w, "after"); err != nil {
		t.Error(err)
	}
}

// TestFormerWriterAfterTurn guards guarantee 5: a former writer that wakes after its successor wrote a whole turn of
// the ring is told stale_epoch, and what it wanted to append is not in the journal.
func TestFormerWriterAfterTurn(t *testing.T) {
	s := startStore(t)
	former, successor := newWriter(s, "entry-1"), newWriter(s, "entry-2")
	take(t, former)
	if err := appendTo(former, "before"); err != nil {
		t.Fatal(err)
	}
	for range journal.Slots + 1 { // a takeover is a segment too, and does not wait for the commit interval
		take(t, successor)
	}
	if err := appendTo(former, "late"); !fault.Is(err, fault.StaleEpoch) {
		t.Errorf("the former writer: %v; want stale_epoch", err)
	}
	if err := appendTo(successor, "after"); err != nil {
		t.Error(err)
	}
	records := take(t, newWriter(s, "entry-3"))
	if len(records) != 2 || records[0].Work.Request != "before" || records[1].Work.Request != "after" {
		t.Errorf("the journal has %v", records)
	}
}

// TestDamagedJournal guards that a damaged segment is not passed over: the journal is not taken.
func TestDamagedJournal(t *testing.T) {
	s := startStore(t)
	take(t, newWriter(s, "entry-1"))
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
