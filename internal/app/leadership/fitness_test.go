package leadership_test

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"skylarkstall/internal/adapter/cellwire"
	"skylarkstall/internal/app/leadership"
	"skylarkstall/internal/domain/fitness"
	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/port"
)

// unevenCell is a cell of processes with different shares of a processor, all of which know the largest one.
type unevenCell struct {
	t       *testing.T
	store   port.TxnStore
	ctx     context.Context
	wg      sync.WaitGroup
	largest fitness.Share

	mu      sync.Mutex
	leading int
	terms   []ident.ProcessID
	late    bool // the leader is late as long as it leads
}

func (c *unevenCell) start(id ident.ProcessID, incarnation uint64, share fitness.Share) {
	self := port.Leader{Process: id, Incarnation: incarnation, Share: share, ElectionDelay: fitness.StartingDelay(share)}
	e := leadership.New(self, c.store, cellwire.RecordCodec{}, &fakeFollower{largest: c.largest}, func(
		ctx context.Context, term leadership.Term,
	) bool {
		c.lead(ctx, id, term)
		return false
	}, slog.New(slog.DiscardHandler))
	c.wg.Go(func() { e.Run(c.ctx) })
}

func (c *unevenCell) lead(ctx context.Context, id ident.ProcessID, term leadership.Term) {
	c.mu.Lock()
	c.terms = append(c.terms, id)
	if c.leading++; c.leading > 1 {
		c.t.Errorf("%d processes lead at the same time, of terms %v", c.leading, c.terms)
	}
	c.mu.Unlock()
	if term.HasPredecessor && !term.PredecessorStopped {
		c.t.Errorf("term %d begins without a record that the one before has ended", term.Number)
	}
	for ctx.Err() == nil {
		c.mu.Lock()
		if c.late {
			term.Lateness.Note(fitness.PassesBehind, time.Now())
		}
		c.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(100 * time.Millisecond):
		}
	}
	c.mu.Lock()
	c.leading--
	c.mu.Unlock()
}

func (c *unevenCell) expectTerms(when string, want ...ident.ProcessID) {
	c.t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !slices.Equal(c.terms, want) {
		c.t.Errorf("%s: terms of %v, want %v", when, c.terms, want)
	}
}

func testUnevenCell(t *testing.T, largest fitness.Share, scenario func(*unevenCell)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		c := &unevenCell{t: t, store: newKeyStore(), ctx: ctx, largest: largest}
		scenario(c)
		cancel()
		c.wg.Wait()
	})
}

// TestFirstBackHandsOver guards against a cell that is led for good by a middle-sized VM, which was the first back after a loss of
// power of all, and against a next leader that has to wait for it.
func TestFirstBackHandsOver(t *testing.T) {
	testUnevenCell(t, 0.8, func(c *unevenCell) {
		c.start("middle", 1, 0.48)
		time.Sleep(500 * time.Millisecond)
		c.start("large", 2, 0.8)
		c.start("small", 3, 0.144)
		c.start("middle too", 4, 0.48)
		time.Sleep(2 * time.Second)
		c.expectTerms("2 s after the others", "middle", "large")
		time.Sleep(time.Minute)
		c.expectTerms("a minute later", "middle", "large")
	})
}

// TestLateLeaderHandsOver guards against a hand-over to a process that joins while the leader keeps up, and against a leader that keeps
// the lead although it is late.
func TestLateLeaderHandsOver(t *testing.T) {
	testUnevenCell(t, 0.8, func(c *unevenCell) {
		c.start("middle", 1, 0.48)
		time.Sleep(20 * time.Second)
		c.start("large", 2, 0.8)
		time.Sleep(20 * time.Second)
		c.expectTerms("while the leader keeps up", "middle")
		c.mu.Lock()
		c.late = true
		c.mu.Unlock()
		time.Sleep(2500 * time.Millisecond)
		c.expectTerms("2.5 s after the load began", "middle", "large")
		time.Sleep(time.Minute)
		c.expectTerms("a minute after the load began, with the larger VM late too", "middle", "large")
	})
}

// TestEqualProcessesStay guards against a lead that moves among equal processes, however late they are.
func TestEqualProcessesStay(t *testing.T) {
	testUnevenCell(t, 0.4, func(c *unevenCell) {
		c.late = true
		for i, id := range []ident.ProcessID{"a", "b", "c"} {
			c.start(id, uint64(i+1), 0.4)
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(time.Minute)
		c.expectTerms("after a minute", "a")
	})
}

// expiringStore is a keyStore of which the leases expire.
type expiringStore struct {
	*keyStore
	mu      sync.Mutex
	expires map[port.LeaseID]time.Time
	ttl     map[port.LeaseID]time.Duration
}

func (s *expiringStore) Grant(ctx context.Context, ttl time.Duration) (port.LeaseID, error) {
	lease, err := s.keyStore.Grant(ctx, ttl)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ttl[lease], s.expires[lease] = ttl, time.Now().Add(ttl)
	return lease, err
}

func (s *expiringStore) KeepAlive(ctx context.Context, lease port.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !time.Now().Before(s.expires[lease]) {
		return fault.New(fault.NotFound, "lease %d has expired", lease)
	}
	s.expires[lease] = time.Now().Add(s.ttl[lease])
	return s.keyStore.KeepAlive(ctx, lease)
}

func (s *expiringStore) Get(ctx context.Context, key string) (port.Entry, error) {
	entry, err := s.keyStore.Get(ctx, key)
	s.mu.Lock()
	expired := err == nil && entry.Lease != 0 && !time.Now().Before(s.expires[entry.Lease])
	s.mu.Unlock()
	if expired {
		_ = s.EndLease(ctx, entry.Lease)
		return port.Entry{}, fault.New(fault.NotFound, "no key %s", key)
	}
	return entry, err
}

// TestOfferStands guards against a leader that finds no offer when it falls behind, because the processes that could make one all wait
// for the next time.
func TestOfferStands(t *testing.T) {
	testUnevenCell(t, 0.8, func(c *unevenCell) {
		c.store = &expiringStore{keyStore: newKeyStore(), expires: map[port.LeaseID]time.Time{}, ttl: map[port.LeaseID]time.Duration{}}
		c.start("middle", 1, 0.48)
		time.Sleep(20 * time.Second)
		for i, id := range []ident.ProcessID{"a", "b", "c"} {
			c.start(id, uint64(i+2), 0.8)
		}
		time.Sleep(time.Second)
		for range 100 {
			time.Sleep(300 * time.Millisecond)
			if _, err := c.store.Get(c.ctx, port.SuccessorKey); err != nil {
				t.Fatalf("no offer: %v", err)
			}
		}
		c.expectTerms("while the leader keeps up", "middle")
	})
}

// TestOfferOfOtherVersions guards against an offer that is misread: of a process of an earlier version, which tells no share, or one that
// something else has written.
func TestOfferOfOtherVersions(t *testing.T) {
	for offer, want := range map[string]int{"old": 2, "odd x": 2, "odd 800 x": 2, "odd 99999999999": 2, "new 800": 2, "equal 144": 1} {
		testUnevenCell(t, 0, func(c *unevenCell) {
			c.start("small", 1, 0.144)
			time.Sleep(time.Second)
			_, err := c.store.Commit(c.ctx, port.Txn{Writes: []port.Write{{Key: port.SuccessorKey, Value: []byte(offer)}}})
			if err != nil {
				t.Fatal(err)
			}
			time.Sleep(5 * time.Second)
			c.mu.Lock()
			defer c.mu.Unlock()
			if len(c.terms) != want {
				t.Errorf("offer %q: %d terms, want %d", offer, len(c.terms), want)
			}
		})
	}
}
