package leadership_test

import (
	"context"
	"log/slog"
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

// testCell runs elections on one store and records the terms.
type testCell struct {
	t     *testing.T
	store *keyStore
	wg    sync.WaitGroup

	mu    sync.Mutex
	terms []leadership.Term
	ended map[uint64]bool // by number of the term: its leader has stopped
}

func newTestCell(t *testing.T) *testCell {
	return &testCell{t: t, store: newKeyStore(), ended: map[uint64]bool{}}
}

// start runs a process until the returned function is called.
func (c *testCell) start(id ident.ProcessID, incarnation uint64, follower port.Follower) (stop func()) {
	ctx, cancel := context.WithCancel(c.t.Context())
	lead := func(ctx context.Context, term leadership.Term) bool {
		c.mu.Lock()
		c.terms = append(c.terms, term)
		c.mu.Unlock()
		<-ctx.Done()
		c.mu.Lock()
		c.ended[term.Number] = true
		c.mu.Unlock()
		return false
	}
	self := port.Leader{Process: id, Incarnation: incarnation}
	e := leadership.New(self, cellStore{c.store, incarnation}, cellwire.RecordCodec{}, follower, lead, slog.New(slog.DiscardHandler))
	c.wg.Go(func() { e.Run(ctx) })
	return cancel
}

// cellStore is the store as one process reaches it.
type cellStore struct {
	*keyStore
	incarnation uint64
}

// KeepAlive fails without a response if the process is cut off.
func (s cellStore) KeepAlive(ctx context.Context, lease port.LeaseID) error {
	s.mu.Lock()
	cutOff := s.cutOff
	s.mu.Unlock()
	if cutOff == s.incarnation {
		return fault.New(fault.Interrupted, "no response")
	}
	return s.keyStore.KeepAlive(ctx, lease)
}

// cutOffLeader lets the lease of the first leader expire, which does not notice.
func (c *testCell) cutOffLeader() {
	c.store.mu.Lock()
	c.store.cutOff = 1
	c.store.mu.Unlock()
	_ = c.store.EndLease(c.t.Context(), 1)
}

// lastTerm returns the latest term, after a check of its number.
func (c *testCell) lastTerm(number uint64) leadership.Term {
	c.t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	if n := len(c.terms); n == 0 || c.terms[n-1].Number != number {
		c.t.Fatalf("terms %+v; want %d as the last one", c.terms, number)
	}
	return c.terms[number-1]
}

// refusedFollower is refused by the leader once the channel is closed.
type refusedFollower struct {
	fakeFollower
	refused chan struct{}
}

func (f *refusedFollower) Follow(ctx context.Context, _ port.Leader) port.FollowResult {
	select {
	case <-f.refused:
		return port.LeaderDead
	case <-ctx.Done():
		return port.LeaderSessionLost
	}
}

// TestRefusingLeaderLives guards against two leaders: connections to the leader are refused on the way, another process takes its
// key, and the leader goes on because its lease can still be renewed. Its successor must not take it for one that has stopped.
func TestRefusingLeaderLives(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, refused := newTestCell(t), make(chan struct{})
		stopOld := c.start("old", 1, &fakeFollower{})
		time.Sleep(time.Second)
		stopNext := c.start("next", 2, &refusedFollower{refused: refused})
		time.Sleep(time.Second)
		close(refused)
		time.Sleep(time.Second)
		if term := c.lastTerm(2); term.PredecessorStopped {
			t.Error("the successor takes a leader for stopped that runs")
		}
		c.mu.Lock()
		if !c.ended[1] {
			t.Error("the leader goes on 1 s after another process has taken its key")
		}
		c.mu.Unlock()
		stopNext()
		stopOld()
		c.wg.Wait()
	})
}

// TestShortTermHidesEarlierLeader guards against two runs of a task: the second leader stopped before the first one, which is cut
// off from the store, had certainly stopped, and the third leader took the clean end of the second term for the end of both.
func TestShortTermHidesEarlierLeader(t *testing.T) {
	for name, c := range map[string]struct {
		secondTerm time.Duration
		stopped    bool
	}{
		"short term": {secondTerm: 2 * time.Second},
		"long term":  {secondTerm: leadership.MaxRenewalGap + time.Second, stopped: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cell := newTestCell(t)
				stopFirst := cell.start("first", 1, &fakeFollower{})
				time.Sleep(time.Second)
				cell.cutOffLeader()
				stopSecond := cell.start("second", 2, &fakeFollower{})
				time.Sleep(time.Millisecond)
				began := time.Now()
				stopThird := cell.start("third", 3, &fakeFollower{})
				time.Sleep(c.secondTerm)
				if cell.lastTerm(2).PredecessorStopped {
					t.Error("a leader that is cut off counts as stopped")
				}
				stopSecond()
				time.Sleep(time.Second)
				term := cell.lastTerm(3)
				if term.PredecessorStopped != c.stopped {
					t.Errorf("earlier leaders have stopped: %v, want %v", term.PredecessorStopped, c.stopped)
				}
				if silent := term.EarlierSilentAt.Sub(began); !c.stopped && silent != leadership.MaxRenewalGap {
					t.Errorf("the first leader is silent %v after it was replaced, want %v", silent, leadership.MaxRenewalGap)
				}
				stopFirst()
				stopThird()
				cell.wg.Wait()
			})
		})
	}
}

// TestLossSoonAfterHandover guards against a leader that waits for leaders before its predecessor, although these had stopped when
// the predecessor took over a moment ago.
func TestLossSoonAfterHandover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cell := newTestCell(t)
		stopFirst := cell.start("first", 1, &fakeFollower{})
		time.Sleep(time.Second)
		if term := cell.lastTerm(1); !term.EarlierSilentAt.IsZero() {
			t.Errorf("the first leader waits until %v for earlier ones", term.EarlierSilentAt)
		}
		cell.cutOffLeader()
		stopSecond := cell.start("second", 2, &fakeFollower{})
		time.Sleep(time.Second)
		if term := cell.lastTerm(2); term.PredecessorStopped || !term.EarlierSilentAt.IsZero() {
			t.Errorf("second term %+v; want to wait for the first leader, and for none before it", term)
		}
		stopFirst()
		stopSecond()
		cell.wg.Wait()
	})
}
