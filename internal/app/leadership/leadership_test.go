package leadership_test

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"skylarkstall/internal/app/leadership"
	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/port"
)

// ledger is a store without history: it has the leader's key, and every watch fails.
type ledger struct {
	port.TxnStore
	mu    sync.Mutex
	entry port.Entry
}

func (l *ledger) set(leader string, revision ident.Revision) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entry = port.Entry{Key: port.LeaderKey, Value: []byte(leader), Revision: revision}
}

func (l *ledger) List(context.Context, string) ([]port.Entry, ident.Revision, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return []port.Entry{l.entry}, l.entry.Revision, nil
}

func (l *ledger) Watch(
	ctx context.Context, _ string, _ ident.Revision, _ time.Duration,
) ([]port.Entry, ident.Revision, error) {
	select {
	case <-time.After(100 * time.Millisecond):
		return nil, 0, fault.New(fault.Compacted, "the history is gone")
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	}
}

// records takes the bytes of a leader's record for its process.
type records struct{ port.RecordCodec }

func (records) DecodeLeader(raw []byte) (port.Leader, error) {
	return port.Leader{Process: ident.ProcessID(raw), Incarnation: 2}, nil
}

// follower notes which leaders were followed.
type follower struct {
	mu       sync.Mutex
	followed []ident.ProcessID
}

func (f *follower) Follow(ctx context.Context, leader port.Leader) port.FollowResult {
	f.mu.Lock()
	f.followed = append(f.followed, leader.Process)
	f.mu.Unlock()
	<-ctx.Done()
	return port.LeaderSessionLost
}

func (f *follower) DiscoverLeader(context.Context) (port.Leader, bool) { return port.Leader{}, false }

// TestLostHistory guards against a follower that drops its session to a living leader, and every call on it, because the
// store has dropped its history; and against one that misses a change of leader meanwhile.
func TestLostHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, sessions := &ledger{}, &follower{}
		store.set("a", 7)
		self := port.Leader{Process: "c", Incarnation: 1}
		election := leadership.New(self, 0, store, records{}, sessions, nil, slog.New(slog.DiscardHandler))
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() { defer close(ended); election.Run(ctx) }()
		expect := func(want ...ident.ProcessID) {
			t.Helper()
			time.Sleep(5 * time.Second)
			sessions.mu.Lock()
			defer sessions.mu.Unlock()
			if len(sessions.followed) != len(want) || sessions.followed[len(want)-1] != want[len(want)-1] {
				t.Errorf("sessions to %v; want %v", sessions.followed, want)
			}
		}
		expect("a")
		store.set("b", 9)
		expect("a", "b")
		cancel()
		<-ended
	})
}
