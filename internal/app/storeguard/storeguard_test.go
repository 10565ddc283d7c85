package storeguard

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"skylarkstall/internal/fault"
	"skylarkstall/internal/port"
)

// reachableStore loses the response to a renewal of a lease and handles all other calls.
type reachableStore struct{ port.TxnStore }

func (reachableStore) KeepAlive(context.Context, port.LeaseID) error {
	return fault.New(fault.Interrupted, "no response")
}

func (reachableStore) Get(context.Context, string) (port.Entry, error) { return port.Entry{}, nil }

func (reachableStore) Commit(context.Context, port.Txn) (port.CommitResult, error) {
	return port.CommitResult{}, nil
}

// TestWriteAfterLostResponse guards against jobs that are refused for a while after an unrelated call got no response, although the
// store is reachable.
func TestWriteAfterLostResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		b := New(reachableStore{}, slog.New(slog.DiscardHandler))
		go b.Run(ctx)
		if err := b.KeepAlive(ctx, 1); !fault.Is(err, fault.Interrupted) {
			t.Fatalf("renewal: %v, want interrupted", err)
		}
		start := time.Now()
		synctest.Wait()
		if _, err := b.Commit(ctx, port.Txn{}); err != nil {
			t.Errorf("transaction %v after the lost response: %v, want it sent", time.Since(start), err)
		}
	})
}

// silentStore responds to no call, and counts the probes.
type silentStore struct {
	port.TxnStore
	probes *int
}

func (silentStore) KeepAlive(context.Context, port.LeaseID) error {
	return fault.New(fault.Interrupted, "no response")
}

func (s silentStore) Get(context.Context, string) (port.Entry, error) {
	*s.probes++
	return port.Entry{}, fault.New(fault.Unavailable, "connect")
}

// TestProbesOfSilentStore guards against probes without a pause, and against a transaction that is sent while the store is unreachable.
func TestProbesOfSilentStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		probes := 0
		b := New(silentStore{probes: &probes}, slog.New(slog.DiscardHandler))
		go b.Run(ctx)
		_ = b.KeepAlive(ctx, 1)
		time.Sleep(10*probeInterval - time.Millisecond)
		synctest.Wait()
		if _, err := b.Commit(ctx, port.Txn{}); !fault.Is(err, fault.Unavailable) {
			t.Errorf("transaction: %v, want unavailable", err)
		}
		if probes > 10 {
			t.Errorf("%d probes in ten intervals, want at most 10", probes)
		}
	})
}
