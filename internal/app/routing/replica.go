package routing

import (
	"log/slog"
	"runtime/debug"
	"time"

	"skylarkstall/internal/domain/account"
	"skylarkstall/internal/domain/route"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/port"
)

// DecodeFunc parses a configuration as the operator wrote it. It fails with Invalid.
type DecodeFunc func(source []byte) (route.Config, error)

// Replica applies configurations to the routing table of a process, whoever they come from. It implements
// port.ConfigReplica.
type Replica struct {
	table  *route.Table
	decode DecodeFunc
	clock  port.Clock
	log    *slog.Logger
}

// NewReplica returns a replica that updates the table and dates evidence by the clock.
func NewReplica(table *route.Table, decode DecodeFunc, clock port.Clock, log *slog.Logger) *Replica {
	return &Replica{table: table, decode: decode, clock: clock, log: log}
}

// Now implements port.ConfigReplica.
func (r *Replica) Now() time.Time { return r.clock() }

// Current implements port.ConfigReplica.
func (r *Replica) Current() (port.ConfigStatus, []byte) {
	config, confirmed := r.table.Active()
	return port.ConfigStatus{Version: config.Version, Confirmed: confirmed.At}, config.Source
}

// Apply implements port.ConfigReplica.
func (r *Replica) Apply(source []byte, from string) { r.apply(source, from) }

// apply activates the configuration if it is newer than the active one, and returns its version, or 0 if it cannot be
// decoded.
func (r *Replica) apply(source []byte, from string) uint64 {
	config, err := r.decodeGuarded(source)
	if err != nil {
		r.log.Error("configuration not understood", "from", from, "error", err)
		return 0
	}
	confirmed := r.table.Confirmed()
	if r.table.Apply(config) {
		r.log.Info("configuration in force", "version", config.Version, "queues", len(config.Queues), "from", from,
			"accounts", config.Accounts.Len(), "confirmed_ms", ageMs(confirmed, r.clock()))
	}
	return config.Version
}

// decodeGuarded is like decode, and fails with Invalid after a panic: the configuration reaches all processes at the same time.
func (r *Replica) decodeGuarded(source []byte) (config route.Config, err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fault.New(fault.Invalid, "panic: %v\n%s", p, debug.Stack())
		}
	}()
	return r.decode(source)
}

// ageMs returns how long ago the configuration was confirmed, or 0 if it never was.
func ageMs(e account.Evidence, now time.Time) int64 {
	age, _ := e.Age(now)
	return age.Milliseconds()
}

// Confirm implements port.ConfigReplica.
func (r *Replica) Confirm(status port.ConfigStatus, from string) {
	r.table.Confirm(status.Version, status.Confirmed, from)
}
