package metrics

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"skylarkstall/internal/eventlog"
	"skylarkstall/internal/pause"
	"skylarkstall/internal/port"
)

// cellInterval is how often the state of a process on the platform is read. Each reading costs processor time.
const cellInterval = 2 * time.Second

// CellMetrics are the metrics of a process on the platform.
type CellMetrics struct {
	exporter *exporter
	scope    tally.Scope
	close    func() error

	mu     sync.Mutex
	scopes map[[3]string]tally.Scope // by their tags
	shown  map[int]bool              // priorities that were shown before
	last   int64                     // log lines dropped
}

// NewCellMetrics returns metrics without values. Close ends them.
func NewCellMetrics() *CellMetrics {
	e := newExporter()
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "skylarkstall", Separator: "_", CachedReporter: e, OmitCardinalityMetrics: true,
	}, cellInterval)
	return &CellMetrics{
		exporter: e, scope: scope, close: closer.Close, scopes: map[[3]string]tally.Scope{}, shown: map[int]bool{},
	}
}

// Close reports the last values and ends the metrics.
func (c *CellMetrics) Close() error { return c.close() }

// Handler answers scrapes.
func (c *CellMetrics) Handler() http.Handler { return c.exporter }

// tagged returns the scope with tags of its own; making one takes much longer than finding it.
func (c *CellMetrics) tagged(of, name, outcome string) tally.Scope {
	key := [3]string{of, name, outcome}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.scopes[key] == nil {
		c.scopes[key] = c.scope.Tagged(map[string]string{of: name, "outcome": outcome})
	}
	return c.scopes[key]
}

// RecordEvent counts a line of the log, and times it where it tells how long something took.
func (c *CellMetrics) RecordEvent(e eventlog.Event) {
	scope := c.tagged("event", e.Name, e.Outcome)
	scope.Counter("events").Inc(1)
	if e.Took >= 0 {
		scope.Histogram("event_seconds", waitBuckets).RecordDuration(e.Took)
	}
}

// RecordCall counts and times a call to the platform: to the store, a worker or the service for permits.
func (c *CellMetrics) RecordCall(name, outcome string, took time.Duration) {
	scope := c.tagged("call", name, outcome)
	scope.Counter("calls").Inc(1)
	scope.Histogram("call_seconds", waitBuckets).RecordDuration(took)
}

// Run shows the state of the process until the context ends.
func (c *CellMetrics) Run(ctx context.Context, state func() port.ProcessState) {
	for ctx.Err() == nil {
		c.show(state())
		pause.For(ctx, cellInterval)
	}
}

func (c *CellMetrics) show(s port.ProcessState) {
	leads := 0.0
	if s.IsLeader {
		leads = 1
	}
	for name, value := range map[string]float64{
		"leads": leads, "config_version": float64(s.ConfigVersion), "workers": float64(s.Workers),
		"runs": float64(s.Runs), "doubtful_starts": float64(s.UnconfirmedStarts), "unrecorded_jobs": float64(s.UnrecordedJobs),
	} {
		c.scope.Gauge(name).Update(value)
	}
	c.scope.Counter("log_lines_dropped").Inc(s.DroppedLogLines - c.last)
	c.last = s.DroppedLogLines
	for priority := range s.WaitingTasks {
		c.shown[priority] = true
	}
	for priority := range c.shown {
		c.scope.Tagged(map[string]string{"priority": strconv.Itoa(priority)}).Gauge("waiting_tasks").
			Update(float64(s.WaitingTasks[priority]))
	}
}
