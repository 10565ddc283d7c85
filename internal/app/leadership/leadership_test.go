package leadership_test

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"skylarkstall/internal/app/leadership"
	"skylarkstall/internal/domain/fitness"
	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/port"
)

// fakeStore is a store that holds only the leader key and has compacted its history: every watch fails with Compacted.
type fakeStore struct {
	port.TxnStore
	mu    sync.Mutex
	entry port.Entry
}

func (s *fakeStore) set(leader string, revision ident.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entry = port.Entry{Key: port.LeaderKey, Value: []byte(leader), Revision: revision}
}

func (s *fakeStore) List(context.Context, string) ([]port.Entry, ident.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return []port.Entry{s.entry}, s.entry.Revision, nil
}

func (s *fakeStore) Watch(
	ctx context.Context, _ string, _ ident.Revision, _ time.Duration,
) ([]port.Entry, ident.Revision, error) {
	select {
	case <-time.After(100 * time.Millisecond):
		return nil, 0, fault.New(fault.Compacted, "the history is compacted")
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	}
}

// fakeCodec decodes the bytes of a leader record as the process id.
type fakeCodec struct{ port.RecordCodec }

func (fakeCodec) DecodeLeader(raw []byte) (port.Leader, error) {
	return port.Leader{Process: ident.ProcessID(raw), Incarnation: 2}, nil
}

// fakeFollower records which leaders were followed.
type fakeFollower struct {
	mu       sync.Mutex
	followed []ident.ProcessID
	largest  fitness.Share // in touch
}

func (f *fakeFollower) Follow(ctx context.Context, leader port.Leader) port.FollowResult {
	f.mu.Lock()
	f.followed = append(f.followed, leader.Process)
	f.mu.Unlock()
	<-ctx.Done()
	return port.LeaderSessionLost
}

func (f *fakeFollower) LargestShare() fitness.Share { return f.largest }

func (f *fakeFollower) DiscoverLeader(context.Context) (port.Leader, bool) {
	return port.Leader{}, false
}

// TestLostHistory guards against a follower that closes its session to a live leader, with every call on it, because a
// watch fails after the store compacted its history, and against one that then misses a change of leader.
func TestLostHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, sessions := &fakeStore{}, &fakeFollower{}
		store.set("a", 7)
		self := port.Leader{Process: "c", Incarnation: 1}
		election := leadership.New(self, store, fakeCodec{}, sessions, nil, slog.New(slog.DiscardHandler))
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() { defer close(ended); election.Run(ctx) }()
		expect := func(want ...ident.ProcessID) {
			t.Helper()
			time.Sleep(5 * time.Second)
			sessions.mu.Lock()
			defer sessions.mu.Unlock()
			if len(sessions.followed) != len(want) || sessions.followed[len(want)-1] != want[len(want)-1] {
				t.Errorf("followed %v, want %v", sessions.followed, want)
			}
		}
		expect("a")
		store.set("b", 9)
		expect("a", "b")
		cancel()
		<-ended
	})
}
