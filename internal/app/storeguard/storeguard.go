// Package storeguard is a circuit breaker for writes to the store. While the store is unreachable, transactions fail at
// once: one that was sent without a response may still take effect, but one that was not sent certainly does not.
package storeguard

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/notify"
	"skylarkstall/internal/pause"
	"skylarkstall/internal/port"
)

// Timing of the probes while the store is unreachable.
const (
	probeInterval = 150 * time.Millisecond
	probeTimeout  = 400 * time.Millisecond
)

// Breaker wraps a store and tracks from the results of calls whether it is reachable. It implements port.TxnStore.
type Breaker struct {
	store port.TxnStore
	log   *slog.Logger

	mu               sync.Mutex
	unreachable      bool
	unreachableSince time.Time
	changed          notify.Broadcast
}

// New returns a circuit breaker for the store. Run probes the store while it is unreachable.
func New(store port.TxnStore, log *slog.Logger) *Breaker { return &Breaker{store: store, log: log} }

// Run probes the store while it is unreachable, until the context ends.
func (g *Breaker) Run(ctx context.Context) {
	for ctx.Err() == nil {
		changed := g.changed.Changed()
		if !g.isUnreachable() {
			select {
			case <-changed:
			case <-ctx.Done():
			}
			continue
		}
		pause.For(ctx, probeInterval)
		probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
		_, _ = g.Get(probeCtx, port.LeaderKey) // Get observes the result
		cancel()
	}
}

func (g *Breaker) isUnreachable() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.unreachable
}

// observe derives from the result of a call whether the store is reachable. Calls that were canceled are ignored.
func (g *Breaker) observe(ctx context.Context, err error) {
	if errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	unreachable := fault.Is(err, fault.Interrupted) || fault.Is(err, fault.Unavailable)
	g.mu.Lock()
	defer g.mu.Unlock()
	if unreachable == g.unreachable {
		return
	}
	if unreachable {
		g.log.Warn("store lost", "error", err)
		g.unreachableSince = time.Now()
	} else {
		g.log.Info("store regained", "away_ms", time.Since(g.unreachableSince).Milliseconds())
	}
	g.unreachable = unreachable
	g.changed.Signal()
}

// Get implements port.TxnStore.
func (g *Breaker) Get(ctx context.Context, key string) (port.Entry, error) {
	entry, err := g.store.Get(ctx, key)
	g.observe(ctx, err)
	return entry, err
}

// List implements port.TxnStore.
func (g *Breaker) List(ctx context.Context, prefix string) ([]port.Entry, ident.Revision, error) {
	entries, asOf, err := g.store.List(ctx, prefix)
	g.observe(ctx, err)
	return entries, asOf, err
}

// Watch implements port.TxnStore. Its result is not observed: an interrupted watch does not show that the store is
// unreachable.
func (g *Breaker) Watch(
	ctx context.Context, prefix string, after ident.Revision, wait time.Duration,
) ([]port.Entry, ident.Revision, error) {
	return g.store.Watch(ctx, prefix, after, wait)
}

// Commit implements port.TxnStore. It fails with Unavailable at once while the store is unreachable.
func (g *Breaker) Commit(ctx context.Context, txn port.Txn) (port.CommitResult, error) {
	if g.isUnreachable() {
		return port.CommitResult{}, fault.New(fault.Unavailable, "store unreachable; transaction not sent")
	}
	committed, err := g.store.Commit(ctx, txn)
	g.observe(ctx, err)
	return committed, err
}

// Grant implements port.TxnStore.
func (g *Breaker) Grant(ctx context.Context, ttl time.Duration) (port.LeaseID, error) {
	lease, err := g.store.Grant(ctx, ttl)
	g.observe(ctx, err)
	return lease, err
}

// KeepAlive implements port.TxnStore.
func (g *Breaker) KeepAlive(ctx context.Context, lease port.LeaseID) error {
	err := g.store.KeepAlive(ctx, lease)
	g.observe(ctx, err)
	return err
}
