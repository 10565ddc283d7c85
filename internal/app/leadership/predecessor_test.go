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
	e := leadership.New(self, c.store, cellwire.RecordCodec{}, follower, lead, slog.New(slog.DiscardHandler))
	c.wg.Go(func() { e.Run(ctx) })
	return cancel
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
