// Package routing keeps the routes of a process up to date with what the operator has written.
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

// Times of following the configuration. A change has to be in force within two seconds, also when a watch hears nothing.
const (
	watchWait   = 900 * time.Millisecond
	callTimeout = 500 * time.Millisecond
	retryPause  = 200 * time.Millisecond
)

// DecodeFunc reads a configuration as the operator wrote it. It fails with Invalid.
type DecodeFunc func(source []byte) (route.Config, error)

// ConfigWatcher follows the configuration.
type ConfigWatcher struct {
	key    string // where the operator writes
	ledger port.TxnStore
	leader port.Scheduler
	decode DecodeFunc
	table  *route.Table
	log    *slog.Logger
}

// New returns a router of the table. The leader is asked while the store is not reached.
func New(
	key string, ledger port.TxnStore, leader port.Scheduler, decode DecodeFunc, table *route.Table, log *slog.Logger,
) *ConfigWatcher {
	return &ConfigWatcher{key: key, ledger: ledger, leader: leader, decode: decode, table: table, log: log}
}

// Run follows the configuration until the context ends.
func (r *ConfigWatcher) Run(ctx context.Context) {
	for ctx.Err() == nil {
		asOf, err := r.read(ctx)
		if err != nil {
			r.log.Warn("configuration not read", "error", err, "in_force", r.table.Config().Version)
			r.askLeader(ctx)
			pause.For(ctx, retryPause)
			continue
		}
		r.await(ctx, asOf)
	}
}

// read applies what the store has and returns the revision to watch from.
func (r *ConfigWatcher) read(ctx context.Context) (ident.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	items, asOf, err := r.ledger.List(ctx, r.key)
	if err != nil {
		return 0, err
	}
	for _, item := range items {
		if item.Key == r.key {
			r.apply(item.Value, "store")
		}
	}
	return asOf, nil
}

// await applies the changes of one watch. It returns after a while in any case, because a watch may hear nothing.
func (r *ConfigWatcher) await(ctx context.Context, after ident.Revision) {
	waiting, cancel := context.WithTimeout(ctx, watchWait+callTimeout)
	defer cancel()
	events, _, err := r.ledger.Watch(waiting, r.key, after, watchWait)
	if err != nil && !fault.Is(err, fault.Compacted) && ctx.Err() == nil {
		r.log.Warn("configuration not watched", "error", err)
		pause.For(ctx, retryPause)
	}
	for _, item := range events {
		if item.Key == r.key && item.Value != nil {
			r.apply(item.Value, "watch")
		}
	}
}

// askLeader applies the leader's configuration while the store is not reached.
func (r *ConfigWatcher) askLeader(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	source, err := r.leader.Config(ctx)
	if err != nil {
		r.log.Info("configuration not had from the leader", "error", err)
		return
	}
	if len(source) > 0 {
		r.apply(source, "leader")
	}
}

func (r *ConfigWatcher) apply(source []byte, from string) {
	config, err := r.decode(source)
	if err != nil {
		r.log.Error("configuration not understood", "from", from, "error", err)
		return
	}
	if r.table.Apply(config) {
		r.log.Info("configuration in force", "version", config.Version, "queues", len(config.Queues), "from", from)
	}
}
