// Package metrics registers the metrics of a process with tally and shows them to a scraper. Everything is registered
// in this file; the services keep counts of their own, which are read once a second.
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

// interval is how often the counts are read.
const interval = time.Second

// waitBuckets go from 1 ms to about 4 minutes; the target for urgent work at full size is 1.1 s.
var waitBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 19)

// Sources tell the counts and the state of the process.
type Sources struct {
	Counts        func() meter.Reading
	Digest        func(time.Time) fleet.Digest
	Traffic       func() peerwire.Traffic
	LiveProcesses func() int // processes that count as alive
	Revision      func() ident.Revision
}

// Metrics are the registered metrics of a process.
type Metrics struct {
	exporter *exporter
	scope    tally.Scope
	close    func() error
	waits    [work.ClassCount]tally.Histogram
	last     map[counterName]int64
	queues   map[meter.Queue]bool // shown before; they go to 0 when empty
}

// counterName names one counter.
type counterName struct{ name, tag, value, outcome string }

// New returns metrics without values. Close ends them.
func New() *Metrics {
	e := newExporter()
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "skylarkstall", Separator: "_", CachedReporter: e, OmitCardinalityMetrics: true,
	}, interval)
	m := &Metrics{
		exporter: e, scope: scope, close: closer.Close, last: map[counterName]int64{}, queues: map[meter.Queue]bool{},
	}
	for class := range m.waits {
		tags := map[string]string{"class": work.Class(class).String()}
		m.waits[class] = scope.Tagged(tags).Histogram("wait_seconds", waitBuckets)
	}
	return m
}

// Close reports the last values and ends the metrics.
func (m *Metrics) Close() error { return m.close() }

// Handler answers scrapes.
func (m *Metrics) Handler() http.Handler { return m.exporter }

// Waited implements meter.Sink.
func (m *Metrics) Waited(class work.Class, wait time.Duration) {
	if class < work.ClassCount {
		m.waits[class].RecordDuration(wait)
	}
}

// Run reads the sources once a second until the context ends.
func (m *Metrics) Run(ctx context.Context, sources Sources) {
	for ctx.Err() == nil {
		m.collect(time.Now(), sources)
		pause.For(ctx, interval)
	}
}

func (m *Metrics) collect(now time.Time, sources Sources) {
	counts := sources.Counts()
	m.work(counts)
	for call, n := range counts.Store {
		m.count(counterName{"store_calls", "call", call.Name, call.Outcome}, n)
	}
	for call, n := range counts.Peers {
		m.count(counterName{"peer_calls", "call", call.Name, call.Outcome}, n)
	}
	m.reserved(sources.Digest(now))
	m.traffic(sources.Traffic())
	m.gauge("live_processes", float64(sources.LiveProcesses()))
	m.gauge("documents_revision", float64(sources.Revision()))
	m.process()
}

func (m *Metrics) work(counts meter.Reading) {
	for kind, n := range counts.Refusals {
		m.count(counterName{"refusals", "kind", kind, ""}, n)
	}
	m.count(counterName{"retries", "", "", ""}, counts.Retries)
	m.count(counterName{"lease_losses", "", "", ""}, counts.Events[timeline.LeaseLost])
	m.count(counterName{"takeovers", "of", "task", ""}, counts.Events[timeline.TakenOver])
	m.count(counterName{"takeovers", "of", "partition", ""}, counts.Events[timeline.PartitionTaken])
	m.count(counterName{"takeovers", "of", "worker", ""}, counts.Events[timeline.Claimed])
	m.count(counterName{"pauses", "", "", ""}, counts.Events[timeline.Paused])
	for q := range m.queues {
		m.queue(q, counts.Waiting[q])
	}
	for q, n := range counts.Waiting {
		m.queues[q] = true
		m.queue(q, n)
	}
}

func (m *Metrics) queue(q meter.Queue, n int) {
	tags := map[string]string{"class": q.Class.String(), "team": string(q.Team)}
	m.scope.Tagged(tags).Gauge("waiting_tasks").Update(float64(n))
}

// reserved shows the share of each resource that is reserved on the workers that the process owns.
func (m *Metrics) reserved(d fleet.Digest) {
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

func (m *Metrics) traffic(t peerwire.Traffic) {
	m.count(counterName{"peer_bytes", "direction", "in", ""}, t.BytesIn)
	m.count(counterName{"peer_bytes", "direction", "out", ""}, t.BytesOut)
	m.count(counterName{"peer_messages", "direction", "in", ""}, t.MessagesIn)
	m.count(counterName{"peer_messages", "direction", "out", ""}, t.MessagesOut)
	m.count(counterName{"peer_sessions_replaced", "", "", ""}, t.Replaced)
	m.gauge("peer_sessions", float64(t.Sessions))
}

// process shows what the process costs its VM.
func (m *Metrics) process() {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) == nil {
		m.gauge("process_cpu_seconds", time.Duration(usage.Utime.Nano()+usage.Stime.Nano()).Seconds())
	}
	if bytes, ok := resident(); ok {
		m.gauge("process_resident_bytes", float64(bytes))
	}
}

func (m *Metrics) gauge(name string, value float64) { m.scope.Gauge(name).Update(value) }

// count moves a counter to a total; tally wants the difference.
func (m *Metrics) count(s counterName, total int64) {
	tags := map[string]string{}
	if s.tag != "" {
		tags[s.tag] = s.value
	}
	if s.outcome != "" {
		tags["outcome"] = s.outcome
	}
	m.scope.Tagged(tags).Counter(s.name).Inc(total - m.last[s])
	m.last[s] = total
}
