package metrics

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"skylarkstall/internal/domain/account"
	"skylarkstall/internal/eventlog"
	"skylarkstall/internal/pause"
	"skylarkstall/internal/port"
)

// cellInterval is the interval between two reads of the process state. Each read uses CPU time.
const cellInterval = 2 * time.Second

// CellMetrics contains the metrics of a process of a cell on the users' platform.
type CellMetrics struct {
	exporter *exporter
	scope    tally.Scope
	close    func() error

	passes           map[string]tally.Counter // passes of placement by outcome
	passSeconds      tally.Histogram
	stepsTried       tally.Histogram
	mu               sync.Mutex
	scopes           map[[3]string]tally.Scope    // scopes by label name, label value and outcome
	seenPriorities   map[int]bool                 // priorities that were exported before; their gauge is set to 0 without tasks
	queues           map[string]queueGauges       // queues that were exported before
	accounts         map[account.ID]accountGauges // accounts that were exported before
	lastDroppedLines int64                        // total at the last update
	refusingAccounts map[string]bool              // accounts of which refusals are counted
	roomPriorities   map[int]bool                 // priorities of which the room was exported before
	shedPriorities   map[int]bool                 // priorities of which the refused part was exported before

	lastDroppedStarts int // of the term, at the last update
	lastRackWaits     port.RackWaits
}

// NewCellMetrics registers the metrics of a process. Close must be called to report the last values.
func NewCellMetrics() *CellMetrics {
	e := newExporter()
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "skylarkstall", Separator: "_", CachedReporter: e, OmitCardinalityMetrics: true,
	}, cellInterval)
	c := &CellMetrics{
		exporter: e, scope: scope, close: closer.Close, scopes: map[[3]string]tally.Scope{}, seenPriorities: map[int]bool{},
		queues: map[string]queueGauges{}, accounts: map[account.ID]accountGauges{}, refusingAccounts: map[string]bool{}, roomPriorities: map[int]bool{}, shedPriorities: map[int]bool{}, passes: map[string]tally.Counter{},
		passSeconds: scope.Histogram("placement_pass_seconds", passBuckets),
		stepsTried:  scope.Histogram("placement_steps_tried", stepBuckets),
	}
	for _, outcome := range []string{passComplete, passPartial, passNoneTried} {
		c.passes[outcome] = scope.Tagged(map[string]string{"outcome": outcome}).Counter("placement_passes")
	}
	return c
}

// Close reports the last values and stops reporting.
func (c *CellMetrics) Close() error { return c.close() }

// Handler returns the handler for scrape requests.
func (c *CellMetrics) Handler() http.Handler { return c.exporter }

// tagged returns the scope with the given label and outcome. Scopes are cached because creating one is much slower than a
// lookup.
func (c *CellMetrics) tagged(label, name, outcome string) tally.Scope {
	key := [3]string{label, name, outcome}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.scopes[key] == nil {
		c.scopes[key] = c.scope.Tagged(map[string]string{label: name, "outcome": outcome})
	}
	return c.scopes[key]
}

// RecordEvent counts a log event, and records its duration if it has one.
func (c *CellMetrics) RecordEvent(e eventlog.Event) {
	scope := c.tagged("event", e.Name, e.Outcome)
	scope.Counter("events").Inc(1)
	if e.Took >= 0 {
		scope.Histogram("event_seconds", waitBuckets).RecordDuration(e.Took)
	}
}

// RecordCall counts a call to the store, a worker or the permit service, and records its duration.
func (c *CellMetrics) RecordCall(name, outcome string, took time.Duration) {
	scope := c.tagged("call", name, outcome)
	scope.Counter("calls").Inc(1)
	scope.Histogram("call_seconds", waitBuckets).RecordDuration(took)
}

// Run exports the state of the process periodically until the context ends.
func (c *CellMetrics) Run(ctx context.Context, state func() port.ProcessState) {
	for ctx.Err() == nil {
		c.update(state())
		pause.For(ctx, cellInterval)
	}
}

func (c *CellMetrics) update(s port.ProcessState) {
	reportUsage(c.scope)
	for name, value := range map[string]float64{
		"leads": boolValue(s.IsLeader), "placement_behind": boolValue(s.PlacementBehind),
		"config_version": float64(s.ConfigVersion), "config_age_seconds": s.ConfigAge.Seconds(),
		"workers": float64(s.Workers), "runs": float64(s.Runs), "doubtful_starts": float64(s.UnconfirmedStarts), "unrecorded_jobs": float64(s.UnrecordedJobs),
		"start_rate": s.StartRate, "asked_rate": s.AskedRate,
		"leader_late_seconds": s.LateFor.Seconds(), "start_limit": float64(s.StartLimit), "starts_in_progress": float64(s.StartsInProgress),
	} {
		c.scope.Gauge(name).Update(value)
	}
	c.scope.Counter("log_lines_dropped").Inc(s.DroppedLogLines - c.lastDroppedLines)
	c.lastDroppedLines = s.DroppedLogLines
	c.scope.Counter("starts_dropped").Inc(int64(max(s.DroppedStarts-c.lastDroppedStarts, 0))) // each term counts anew
	c.lastDroppedStarts = s.DroppedStarts
	for priority := range s.WaitingTasks {
		c.seenPriorities[priority] = true
	}
	for priority := range c.seenPriorities {
		c.scope.Tagged(map[string]string{"priority": strconv.Itoa(priority)}).Gauge("waiting_tasks").
			Update(float64(s.WaitingTasks[priority]))
	}
	c.updateQueues(s.Queues)
	c.updateRoom(s.RoomWaits)
	c.updateShedding(s.Shedding)
	c.updateAccounts(s.Accounts)
	c.updateRackWaits(s.RackWaits)
}

// updateRackWaits counts the waits for racks that have ended since the last update. Each term counts anew.
func (c *CellMetrics) updateRackWaits(waits port.RackWaits) {
	last := c.lastRackWaits
	if waits.Paid < last.Paid || waits.Vain < last.Vain {
		last = port.RackWaits{}
	}
	c.lastRackWaits = waits
	for outcome, count := range map[string]int{"paid": waits.Paid - last.Paid, "vain": waits.Vain - last.Vain} {
		c.scope.Tagged(map[string]string{"outcome": outcome}).Counter("rack_waits").Inc(int64(count))
	}
	c.scope.Counter("rack_wait_saved_ms").Inc((waits.Saved - last.Saved).Milliseconds())
	c.scope.Counter("rack_wait_lost_ms").Inc((waits.Lost - last.Lost).Milliseconds())
}

func boolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
