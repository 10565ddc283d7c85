package leadership_test

import (
	"context"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"skylarkstall/internal/adapter/cellwire"
	"skylarkstall/internal/app/leadership"
	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/port"
)

// keyStore is a store in memory. Its leases do not expire, but can be ended.
type keyStore struct {
	port.TxnStore
	mu       sync.Mutex
	revision ident.Revision
	entries  map[string]port.Entry
	leases   port.LeaseID // granted so far
	ended    map[port.LeaseID]bool
	cutOff   uint64 // incarnation of a process that cannot renew its lease
}

func newKeyStore() *keyStore {
	return &keyStore{entries: map[string]port.Entry{}, ended: map[port.LeaseID]bool{}}
}

func (s *keyStore) Get(_ context.Context, key string) (port.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e, ok := s.entries[key]; ok {
		return e, nil
	}
	return port.Entry{}, fault.New(fault.NotFound, "no key %s", key)
}

func (s *keyStore) List(_ context.Context, prefix string) ([]port.Entry, ident.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []port.Entry
	for key, e := range s.entries {
		if strings.HasPrefix(key, prefix) {
			list = append(list, e)
		}
	}
	return list, s.revision, nil
}

func (s *keyStore) Watch(
	ctx context.Context, key string, after ident.Revision, wait time.Duration,
) ([]port.Entry, ident.Revision, error) {
	for end := time.Now().Add(wait); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(10 * time.Millisecond) {
		e, err := s.Get(ctx, key)
		if err != nil || e.Revision > after {
			return []port.Entry{{Key: key}}, after, nil //nolint:nilerr // the key was deleted
		}
	}
	return nil, after, ctx.Err()
}

func (s *keyStore) Commit(_ context.Context, txn port.Txn) (port.CommitResult, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range txn.If {
		if s.entries[c.Key].Revision != c.Revision {
			return port.CommitResult{}, fault.New(fault.Conflict, "key %s has another revision", c.Key)
		}
	}
	s.revision++
	for _, w := range txn.Writes {
		s.entries[w.Key] = port.Entry{Key: w.Key, Value: w.Value, Revision: s.revision, Lease: w.Lease}
	}
	for _, key := range txn.Deletes {
		delete(s.entries, key)
	}
	return port.CommitResult{Revision: s.revision}, nil
}

func (s *keyStore) Grant(context.Context, time.Duration) (port.LeaseID, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leases++
	return s.leases, nil
}

func (s *keyStore) KeepAlive(_ context.Context, lease port.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended[lease] {
		return fault.New(fault.NotFound, "lease %d has ended", lease)
	}
	return nil
}

func (s *keyStore) EndLease(_ context.Context, lease port.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.ended[lease] = true
	for key, e := range s.entries {
		if e.Lease == lease {
			delete(s.entries, key)
		}
	}
	return nil
}

// TestWeakLeaderHandsOver guards against a cell that is led for good by a process with a small share of a processor, which
// took the key first when all processes had lost power, and against two leaders at a time during the handover.
func TestWeakLeaderHandsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newKeyStore()
		var mu sync.Mutex
		var leading []ident.ProcessID
		var terms []ident.ProcessID
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		start := func(id ident.ProcessID, incarnation uint64, delay time.Duration) {
			self := port.Leader{Process: id, Incarnation: incarnation, ElectionDelay: delay}
			lead := func(ctx context.Context, _ leadership.Term) bool {
				mu.Lock()
				leading, terms = append(leading, id), append(terms, id)
				if len(leading) > 1 {
					t.Errorf("%v lead at the same time", leading)
				}
				mu.Unlock()
				<-ctx.Done()
				mu.Lock()
				leading = nil
				mu.Unlock()
				return false
			}
			e := leadership.New(self, store, cellwire.RecordCodec{}, &fakeFollower{}, lead, slog.New(slog.DiscardHandler))
			wg.Go(func() { e.Run(ctx) })
		}
		start("weak", 1, 200*time.Millisecond)
		time.Sleep(time.Second)
		start("weak too", 2, 200*time.Millisecond)
		time.Sleep(3 * time.Second)
		mu.Lock()
		if len(terms) != 1 || terms[0] != "weak" {
			t.Errorf("terms of %v; want only weak", terms)
		}
		mu.Unlock()
		start("strong", 3, 0)
		time.Sleep(3 * time.Second)
		mu.Lock()
		if len(terms) != 2 || terms[1] != "strong" {
			t.Errorf("terms of %v; want weak, then strong within 3 s of its start", terms)
		}
		mu.Unlock()
		cancel()
		wg.Wait()
	})
}

// TestLeaderGivesWay guards against a leader that cannot do its work and takes the key again at once, before a process with a
// longer election delay can.
func TestLeaderGivesWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newKeyStore()
		var mu sync.Mutex
		var terms []ident.ProcessID
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		start := func(id ident.ProcessID, incarnation uint64, delay time.Duration, able bool) {
			self := port.Leader{Process: id, Incarnation: incarnation, ElectionDelay: delay}
			lead := func(ctx context.Context, _ leadership.Term) bool {
				mu.Lock()
				terms = append(terms, id)
				mu.Unlock()
				if able {
					<-ctx.Done()
				}
				return !able
			}
			e := leadership.New(self, store, cellwire.RecordCodec{}, &fakeFollower{}, lead, slog.New(slog.DiscardHandler))
			wg.Go(func() { e.Run(ctx) })
		}
		start("unable", 1, 0, false)
		time.Sleep(time.Second)
		start("able", 2, 400*time.Millisecond, true)
		time.Sleep(5 * time.Second)
		mu.Lock()
		if n := len(terms); n == 0 || n > 3 || terms[n-1] != "able" {
			t.Errorf("terms of %v; want able to lead once unable has given way", terms)
		}
		mu.Unlock()
		cancel()
		wg.Wait()
	})
}
