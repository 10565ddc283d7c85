// Package metrics registers the metrics of a process with tally and exports them in the Prometheus text format. Services
// keep their own counts, which are collected once a second.
package metrics

import (
	"context"
	"net/http"
	"syscall"
	"time"

	"github.com/uber-go/tally/v4"

	"skylarkstall/internal/adapter/peerwire"
	"skylarkstall/internal/app/meter"
	"skylarkstall/internal/domain/fleet"
	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/timeline"
	"skylarkstall/internal/domain/work"
	"skylarkstall/internal/pause"
)

// interval is the interval between two collections.
const interval = time.Second

// waitBuckets range from 1 ms to about 4 minutes. The target for the wait of urgent work in a cell of full size is 1.1 s.
var waitBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 19)

// Sources provide the counts and the state of the process.
type Sources struct {
	Counts        func() meter.Snapshot
	Digest        func(time.Time) fleet.Digest
	Traffic       func() peerwire.Traffic
	LiveProcesses func() int // number of live processes
	Revision      func() ident.Revision
}

// Metrics are the registered metrics of a process.
type Metrics struct {
	exporter   *exporter
	scope      tally.Scope
	close      func() error
	waits      [work.ClassCount]tally.Histogram
	lastTotals map[counterKey]int64
	seenQueues map[meter.QueueKey]bool // queues that were exported before; their gauge is set to 0 when they are empty
}

// counterKey identifies a counter by its name and tags.
type counterKey struct{ name, tag, value, outcome string }

// New registers the metrics of a process. Close must be called to report the last values.
func New() *Metrics {
	e := newExporter()
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "skylarkstall", Separator: "_", CachedReporter: e, OmitCardinalityMetrics: true,
	}, interval)
	m := &Metrics{
		exporter: e, scope: scope, close: closer.Close, lastTotals: map[counterKey]int64{}, seenQueues: map[meter.QueueKey]bool{},
	}
	for class := range m.waits {
		tags := map[string]string{"class": work.Class(class).String()}
		m.waits[class] = scope.Tagged(tags).Histogram("wait_seconds", waitBuckets)
	}
	return m
}

// Close reports the last values and stops reporting.
func (m *Metrics) Close() error { return m.close() }

// Handler returns the handler for scrape requests.
func (m *Metrics) Handler() http.Handler { return m.exporter }

// RecordWait implements meter.Sink.
func (m *Metrics) RecordWait(class work.Class, wait time.Duration) {
	if class < work.ClassCount {
		m.waits[class].RecordDuration(wait)
	}
}

// Run collects the sources once a second until the context ends.
func (m *Metrics) Run(ctx context.Context, sources Sources) {
	for ctx.Err() == nil {
		m.collect(time.Now(), sources)
		pause.For(ctx, interval)
	}
}

func (m *Metrics) collect(now time.Time, sources Sources) {
	counts := sources.Counts()
	m.workCounts(counts)
	for call, n := range counts.StoreCalls {
		m.countTo(counterKey{"store_calls", "call", call.Name, call.Outcome}, n)
	}
	for call, n := range counts.PeerCalls {
		m.countTo(counterKey{"peer_calls", "call", call.Name, call.Outcome}, n)
	}
	m.reservedShares(sources.Digest(now))
	m.peerTraffic(sources.Traffic())
	m.gauge("live_processes", float64(sources.LiveProcesses()))
	m.gauge("documents_revision", float64(sources.Revision()))
	reportUsage(m.scope)
}

func (m *Metrics) workCounts(counts meter.Snapshot) {
	for kind, n := range counts.Refusals {
		m.countTo(counterKey{"refusals", "kind", kind, ""}, n)
	}
	m.countTo(counterKey{"retries", "", "", ""}, counts.Retries)
	m.countTo(counterKey{"lease_losses", "", "", ""}, counts.Events[timeline.LeaseLost])
	m.countTo(counterKey{"takeovers", "of", "task", ""}, counts.Events[timeline.TakenOver])
	m.countTo(counterKey{"takeovers", "of", "partition", ""}, counts.Events[timeline.PartitionTakenOver])
	m.countTo(counterKey{"takeovers", "of", "worker", ""}, counts.Events[timeline.Claimed])
	m.countTo(counterKey{"pauses", "", "", ""}, counts.Events[timeline.ProcessPaused])
	for q := range m.seenQueues {
		m.waitingTasks(q, counts.WaitingTasks[q])
	}
	for q, n := range counts.WaitingTasks {
		m.seenQueues[q] = true
		m.waitingTasks(q, n)
	}
}

func (m *Metrics) waitingTasks(q meter.QueueKey, n int) {
	tags := map[string]string{"class": q.Class.String(), "team": string(q.Team)}
	m.scope.Tagged(tags).Gauge("waiting_tasks").Update(float64(n))
}

// reservedShares exports the reserved share of each resource on the workers that the process owns.
func (m *Metrics) reservedShares(d fleet.Digest) {
	for name, pair := range map[string][2]int64{
		"cores":        {d.Free.MilliCores, d.Capacity.MilliCores},
		"memory":       {d.Free.MemoryBytes, d.Capacity.MemoryBytes},
		"accelerators": {d.Free.Accelerators, d.Capacity.Accelerators},
		"slots":        {d.Free.Slots, d.Capacity.Slots},
	} {
		share := 0.0
		if free, capacity := pair[0], pair[1]; capacity > 0 {
			share = 1 - float64(free)/float64(capacity)
		}
		m.scope.Tagged(map[string]string{"resource": name}).Gauge("reserved_share").Update(share)
	}
}

func (m *Metrics) peerTraffic(t peerwire.Traffic) {
	m.countTo(counterKey{"peer_bytes", "direction", "in", ""}, t.BytesIn)
	m.countTo(counterKey{"peer_bytes", "direction", "out", ""}, t.BytesOut)
	m.countTo(counterKey{"peer_messages", "direction", "in", ""}, t.MessagesIn)
	m.countTo(counterKey{"peer_messages", "direction", "out", ""}, t.MessagesOut)
	m.countTo(counterKey{"peer_sessions_replaced", "", "", ""}, t.ReplacedSessions)
	m.gauge("peer_sessions", float64(t.OpenSessions))
}

// reportUsage exports the CPU time and memory of the process.
func reportUsage(scope tally.Scope) {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) == nil {
		scope.Gauge("process_cpu_seconds").Update(time.Duration(usage.Utime.Nano() + usage.Stime.Nano()).Seconds())
	}
	if bytes, ok := residentBytes(); ok {
		scope.Gauge("process_resident_bytes").Update(float64(bytes))
	}
}

func (m *Metrics) gauge(name string, value float64) { m.scope.Gauge(name).Update(value) }

// countTo raises a counter to a total. Tally counters take increments.
func (m *Metrics) countTo(key counterKey, total int64) {
	tags := map[string]string{}
	if key.tag != "" {
		tags[key.tag] = key.value
	}
	if key.outcome != "" {
		tags["outcome"] = key.outcome
	}
	m.scope.Tagged(tags).Counter(key.name).Inc(total - m.lastTotals[key])
	m.lastTotals[key] = total
}
