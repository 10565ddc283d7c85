package scheduler

import (
	"context"
	"slices"
	"testing"
	"time"

	"skylarkstall/internal/domain/workflow"
	"skylarkstall/internal/port"
)

// recordingStore accepts every transaction and keeps the last one.
type recordingStore struct {
	port.TxnStore
	last port.Txn
}

func (r *recordingStore) Commit(_ context.Context, txn port.Txn) (port.CommitResult, error) {
	r.last = txn
	return port.CommitResult{Revision: 1}, nil
}

// TestTombstonesAreDeleted guards against tombstones that fill the store and the memory of the leader, and against one that is
// deleted while the write that it prevents may still be on its way.
func TestTombstonesAreDeleted(t *testing.T) {
	s, store := newLeader(t), &recordingStore{}
	s.ports.Store, s.settings.StatusRetention = store, time.Minute
	s.tombstones["new"] = time.Now()
	const old = 40
	for i := range old {
		s.tombstones[workflow.ID(rune('A'+i))] = time.Now().Add(-s.settings.StatusRetention - time.Second)
	}
	for range 2 {
		s.deleteExpired(t.Context())
		if ops := len(store.last.If) + len(store.last.Deletes); ops > port.MaxTxnOps {
			t.Fatalf("a transaction has %d operations, want at most %d", ops, port.MaxTxnOps)
		}
		if slices.Contains(store.last.Deletes, port.JobPrefix+"new") {
			t.Error("a tombstone is deleted before its retention has ended")
		}
	}
	if len(s.tombstones) != 1 {
		t.Errorf("%d tombstones are left, want 1", len(s.tombstones))
	}
}
