// Package storeguard watches whether a process reaches the store, and refuses writes at once while it does not: a write
// that was sent and not answered may still be carried out, but one that was not sent certainly is not.
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

// Times of looking whether the store is back.
const (
	probePause   = 150 * time.Millisecond
	probeTimeout = 400 * time.Millisecond
)

// Breaker is a store with what is known of the way to it. It implements port.Ledger.
type Breaker struct {
	ledger port.TxnStore
	log    *slog.Logger

	mu      sync.Mutex
	away    bool
	since   time.Time
	changed notify.Broadcast
}

// New returns a guard of the store. Run looks whether the store is back.
func New(ledger port.TxnStore, log *slog.Logger) *Breaker { return &Breaker{ledger: ledger, log: log} }

// Run probes the store while it is away, until the context ends.
func (g *Breaker) Run(ctx context.Context) {
	for ctx.Err() == nil {
		changed := g.changed.Changed()
		if !g.isAway() {
			select {
			case <-changed:
			case <-ctx.Done():
			}
			continue
		}
		pause.For(ctx, probePause)
		probing, cancel := context.WithTimeout(ctx, probeTimeout)
		_, _ = g.Get(probing, port.LeaderKey) // Get notes what it finds
		cancel()
	}
}

func (g *Breaker) isAway() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.away
}

// note keeps what a call says about the way to the store. A call that its own caller gave up says nothing.
func (g *Breaker) note(ctx context.Context, err error) {
	if errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	away := fault.Is(err, fault.Interrupted) || fault.Is(err, fault.Unavailable)
	g.mu.Lock()
	defer g.mu.Unlock()
	if away == g.away {
		return
	}
	if away {
		g.log.Warn("store lost", "error", err)
		g.since = time.Now()
	} else {
		g.log.Info("store regained", "away_ms", time.Since(g.since).Milliseconds())
	}
	g.away = away
	g.changed.Signal()
}

// Get implements port.Ledger.
func (g *Breaker) Get(ctx context.Context, key string) (port.Entry, error) {
	entry, err := g.ledger.Get(ctx, key)
	g.note(ctx, err)
	return entry, err
}

// List implements port.Ledger.
func (g *Breaker) List(ctx context.Context, prefix string) ([]port.Entry, ident.Revision, error) {
	entries, asOf, err := g.ledger.List(ctx, prefix)
	g.note(ctx, err)
	return entries, asOf, err
}

// Watch implements port.Ledger. A watch that is cut says nothing about the store.
func (g *Breaker) Watch(
	ctx context.Context, prefix string, after ident.Revision, wait time.Duration,
) ([]port.Entry, ident.Revision, error) {
	return g.ledger.Watch(ctx, prefix, after, wait)
}

// Commit implements port.Ledger. It fails with Unavailable at once while the store is away.
func (g *Breaker) Commit(ctx context.Context, txn port.Txn) (port.CommitResult, error) {
	if g.isAway() {
		return port.CommitResult{}, fault.New(fault.Unavailable, "the store is away; nothing was sent")
	}
	committed, err := g.ledger.Commit(ctx, txn)
	g.note(ctx, err)
	return committed, err
}

// Grant implements port.Ledger.
func (g *Breaker) Grant(ctx context.Context, ttl time.Duration) (port.LeaseID, error) {
	lease, err := g.ledger.Grant(ctx, ttl)
	g.note(ctx, err)
	return lease, err
}

// KeepAlive implements port.Ledger.
func (g *Breaker) KeepAlive(ctx context.Context, lease port.LeaseID) error {
	err := g.ledger.KeepAlive(ctx, lease)
	g.note(ctx, err)
	return err
}
