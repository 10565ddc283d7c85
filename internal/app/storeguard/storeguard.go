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

// Run probes the store while it is unreachable, until the context ends. The first probe comes at once: the failed call may have been
// late only because this process got no processor.
func (b *Breaker) Run(ctx context.Context) {
	for ctx.Err() == nil {
		changed := b.changed.Changed()
		if !b.isUnreachable() {
			select {
			case <-changed:
			case <-ctx.Done():
			}
			continue
		}
		probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
		_, _ = b.Get(probeCtx, port.LeaderKey) // Get observes the result
		cancel()
		if b.isUnreachable() {
			pause.For(ctx, probeInterval)
		}
	}
}

func (b *Breaker) isUnreachable() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.unreachable
}

// observe derives from the result of a call whether the store is reachable. Calls that were canceled are ignored.
func (b *Breaker) observe(ctx context.Context, err error) {
	if errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	unreachable := fault.Is(err, fault.Interrupted) || fault.Is(err, fault.Unavailable)
	b.mu.Lock()
	defer b.mu.Unlock()
	if unreachable == b.unreachable {
		return
	}
	if unreachable {
		b.log.Warn("store lost", "error", err)
		b.unreachableSince = time.Now()
	} else {
		b.log.Info("store regained", "away_ms", time.Since(b.unreachableSince).Milliseconds())
	}
	b.unreachable = unreachable
	b.changed.Signal()
}

// Get implements port.TxnStore.
func (b *Breaker) Get(ctx context.Context, key string) (port.Entry, error) {
	entry, err := b.store.Get(ctx, key)
	b.observe(ctx, err)
	return entry, err
}

// List implements port.TxnStore.
func (b *Breaker) List(ctx context.Context, prefix string) ([]port.Entry, ident.Revision, error) {
	entries, asOf, err := b.store.List(ctx, prefix)
	b.observe(ctx, err)
	return entries, asOf, err
}

// ListPage implements port.TxnStore.
func (b *Breaker) ListPage(ctx context.Context, prefix, after string) (port.Page, error) {
	page, err := b.store.ListPage(ctx, prefix, after)
	b.observe(ctx, err)
	return page, err
}

// Watch implements port.TxnStore. Its result is not observed: an interrupted watch does not show that the store is
// unreachable.
func (b *Breaker) Watch(
	ctx context.Context, prefix string, after ident.Revision, wait time.Duration,
) ([]port.Entry, ident.Revision, error) {
	return b.store.Watch(ctx, prefix, after, wait)
}

// Commit implements port.TxnStore. It fails with Unavailable at once while the store is unreachable.
func (b *Breaker) Commit(ctx context.Context, txn port.Txn) (port.CommitResult, error) {
	if b.isUnreachable() {
		return port.CommitResult{}, fault.New(fault.Unavailable, "store unreachable; transaction not sent")
	}
	committed, err := b.store.Commit(ctx, txn)
	b.observe(ctx, err)
	return committed, err
}

// Grant implements port.TxnStore.
func (b *Breaker) Grant(ctx context.Context, ttl time.Duration) (port.LeaseID, error) {
	lease, err := b.store.Grant(ctx, ttl)
	b.observe(ctx, err)
	return lease, err
}

// KeepAlive implements port.TxnStore.
func (b *Breaker) KeepAlive(ctx context.Context, lease port.LeaseID) error {
	err := b.store.KeepAlive(ctx, lease)
	b.observe(ctx, err)
	return err
}

// EndLease implements port.TxnStore.
func (b *Breaker) EndLease(ctx context.Context, lease port.LeaseID) error {
	err := b.store.EndLease(ctx, lease)
	b.observe(ctx, err)
	return err
}
