// Package routing keeps the routing table of a process up to date with the configuration that the operator wrote.
package routing

import (
	"context"
	"log/slog"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/route"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/pause"
	"skylarkstall/internal/port"
)

// Timing of configuration updates. A change must become active within 2 s, even if a watch delivers no events.
const (
	watchWait     = 900 * time.Millisecond
	callTimeout   = 500 * time.Millisecond
	retryInterval = 200 * time.Millisecond
	// unconfirmedAfter is the age of the last confirmation from which the configuration may be outdated. Without a fault
	// it is confirmed about every watchWait.
	unconfirmedAfter = 2 * time.Second
)

// DecodeFunc parses a configuration as the operator wrote it. It fails with Invalid.
type DecodeFunc func(source []byte) (route.Config, error)

// ConfigWatcher watches the configuration and applies changes to a routing table.
type ConfigWatcher struct {
	key    string // key of the configuration in the store
	store  port.TxnStore
	leader port.Scheduler
	decode DecodeFunc
	table  *route.Table
	log    *slog.Logger

	unconfirmed bool // reported as not confirmed
}

// New returns a watcher that updates the table. While the store is unreachable it reads the configuration from the leader.
func New(
	key string, store port.TxnStore, leader port.Scheduler, decode DecodeFunc, table *route.Table, log *slog.Logger,
) *ConfigWatcher {
	return &ConfigWatcher{key: key, store: store, leader: leader, decode: decode, table: table, log: log}
}

// Run applies changes of the configuration until the context ends.
func (w *ConfigWatcher) Run(ctx context.Context) {
	for ctx.Err() == nil {
		asOf, err := w.readFromStore(ctx)
		w.reportAge(time.Now())
		if err != nil {
			w.log.Warn("configuration not read", "error", err, "in_force", w.table.Config().Version)
			w.readFromLeader(ctx)
			pause.For(ctx, retryInterval)
			continue
		}
		w.watch(ctx, asOf)
	}
}

// readFromStore applies the stored configuration and returns the revision to watch from.
func (w *ConfigWatcher) readFromStore(ctx context.Context) (ident.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sentAt := time.Now()
	entries, asOf, err := w.store.List(ctx, w.key)
	if err != nil {
		return 0, err
	}
	for _, entry := range entries {
		if entry.Key == w.key {
			w.table.Confirm(w.apply(entry.Value, "store"), sentAt, "store")
		}
	}
	return asOf, nil
}

// reportAge logs when the configuration has not been confirmed for long, and when it is confirmed again.
func (w *ConfigWatcher) reportAge(now time.Time) {
	version, confirmed := w.table.Config().Version, w.table.Confirmed()
	if version == 0 {
		return
	}
	age := now.Sub(confirmed.At)
	switch unconfirmed := age > unconfirmedAfter; {
	case unconfirmed && !w.unconfirmed:
		w.log.Warn("configuration may be outdated", "version", version, "confirmed_ms", age.Milliseconds(), "from", confirmed.Source)
		w.unconfirmed = true
	case !unconfirmed && w.unconfirmed:
		w.log.Info("configuration confirmed again", "version", version, "from", confirmed.Source)
		w.unconfirmed = false
	}
}

// watch applies the changes of one watch call. It returns after a bounded time so that the configuration is read again,
// because a watch may miss changes.
func (w *ConfigWatcher) watch(ctx context.Context, after ident.Revision) {
	watchCtx, cancel := context.WithTimeout(ctx, watchWait+callTimeout)
	defer cancel()
	events, _, err := w.store.Watch(watchCtx, w.key, after, watchWait)
	if err != nil && !fault.Is(err, fault.Compacted) && ctx.Err() == nil {
		w.log.Warn("configuration not watched", "error", err)
		pause.For(ctx, retryInterval)
	}
	for _, event := range events {
		if event.Key == w.key && event.Value != nil {
			w.apply(event.Value, "watch")
		}
	}
}

// readFromLeader applies the leader's configuration while the store is unreachable.
func (w *ConfigWatcher) readFromLeader(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	source, err := w.leader.Config(ctx)
	if err != nil {
		w.log.Info("configuration not had from the leader", "error", err)
		return
	}
	if len(source) > 0 {
		w.apply(source, "leader")
	}
}

// apply activates the configuration if it is newer than the active one, and returns its version, or 0 if it cannot be
// decoded.
func (w *ConfigWatcher) apply(source []byte, from string) uint64 {
	config, err := w.decode(source)
	if err != nil {
		w.log.Error("configuration not understood", "from", from, "error", err)
		return 0
	}
	confirmed := w.table.Confirmed()
	if w.table.Apply(config) {
		w.log.Info("configuration in force", "version", config.Version, "queues", len(config.Queues), "from", from,
			"confirmed_ms", ageMs(confirmed))
	}
	return config.Version
}

// ageMs returns how long ago the configuration was confirmed, or 0 if it never was.
func ageMs(c route.Confirmation) int64 {
	if c.At.IsZero() {
		return 0
	}
	return time.Since(c.At).Milliseconds()
}
