// Package routing keeps the routing table of a process up to date with the configuration that the operator wrote. It comes
// from the store, and beside that from other processes, so that a process that the store rejects learns of changes too.
package routing

import (
	"context"
	"log/slog"
	"time"

	"skylarkstall/internal/domain/ident"
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

// ConfigWatcher watches the configuration in the store and applies changes to the replica.
type ConfigWatcher struct {
	key     string // key of the configuration in the store
	store   port.TxnStore
	replica *Replica
	log     *slog.Logger

	unconfirmed bool // reported as not confirmed

	// read is the latest record that was decoded, and its version. The record is decoded once, since with many accounts that takes longer than
	// all else that a small process does in a second.
	read struct {
		revision ident.Revision
		version  uint64
	}
}

// New returns a watcher that updates the replica.
func New(key string, store port.TxnStore, replica *Replica, log *slog.Logger) *ConfigWatcher {
	return &ConfigWatcher{key: key, store: store, replica: replica, log: log}
}

// Run applies changes of the configuration until the context ends.
func (w *ConfigWatcher) Run(ctx context.Context) {
	for ctx.Err() == nil {
		asOf, err := w.readConfig(ctx)
		w.reportAge(w.replica.Now())
		if err != nil {
			status, _ := w.replica.Current()
			w.log.Warn("configuration not read", "error", err, "in_force", status.Version)
			pause.For(ctx, retryInterval)
			continue
		}
		w.watch(ctx, asOf)
	}
}

// readConfig applies the stored configuration and returns the revision to watch from.
func (w *ConfigWatcher) readConfig(ctx context.Context) (ident.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sentAt := w.replica.Now()
	entries, asOf, err := w.store.List(ctx, w.key)
	if err != nil {
		return 0, err
	}
	for _, entry := range entries {
		if entry.Key == w.key {
			w.replica.Confirm(port.ConfigStatus{Version: w.apply(entry), Confirmed: sentAt}, "store")
		}
	}
	return asOf, nil
}

// apply applies a record of the configuration and returns its version, or 0 if it cannot be decoded.
func (w *ConfigWatcher) apply(entry port.Entry) uint64 {
	if entry.Revision != 0 && entry.Revision == w.read.revision {
		return w.read.version
	}
	version := w.replica.apply(entry.Value, "store")
	if version != 0 {
		w.read.revision, w.read.version = entry.Revision, version
	}
	return version
}

// reportAge logs when the configuration has not been confirmed for long, and when it is confirmed again.
func (w *ConfigWatcher) reportAge(now time.Time) {
	version, confirmed := w.replica.table.Config().Version, w.replica.table.Confirmed()
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
			w.replica.apply(event.Value, "watch")
		}
	}
}
