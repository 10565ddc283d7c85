package metrics

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"skylarkstall/internal/domain/objective"
	"skylarkstall/internal/port"
)

// scrape returns the text that a scrape gets after the last values were reported.
func scrape(t *testing.T, c *CellMetrics) string {
	t.Helper()
	if err := c.Close(); err != nil {
		t.Fatal(err)
	}
	return c.exporter.text()
}

// TestPassMetrics guards against passes that try no step, although steps are ready, and are not told from passes with nothing to do.
func TestPassMetrics(t *testing.T) {
	c := NewCellMetrics()
	for _, pass := range []port.PlacementPass{
		{Took: time.Millisecond},
		{Took: time.Millisecond, Tried: 7},
		{Took: 5 * time.Millisecond, Tried: 7, Left: 1},
		{Took: 9 * time.Millisecond, Left: 3000},
		{Took: time.Minute, Tried: 1_000_000},
	} {
		c.RecordPass(pass)
	}
	c.update(port.ProcessState{PlacementBehind: true})
	text := scrape(t, c)
	for _, line := range []string{
		`skylarkstall_placement_passes{outcome="complete"} 3`, `skylarkstall_placement_passes{outcome="partial"} 1`,
		`skylarkstall_placement_passes{outcome="none_tried"} 1`, `skylarkstall_placement_behind 1`,
		`skylarkstall_placement_pass_seconds_bucket{le="0.0064"} 3`, `skylarkstall_placement_pass_seconds_bucket{le="+Inf"} 5`,
		`skylarkstall_placement_steps_tried_bucket{le="0"} 2`, `skylarkstall_placement_steps_tried_bucket{le="8"} 4`,
		`skylarkstall_placement_steps_tried_bucket{le="8192"} 4`, `skylarkstall_placement_steps_tried_bucket{le="+Inf"} 5`,
	} {
		if !strings.Contains(text, line+"\n") {
			t.Errorf("no line %q", line)
		}
	}
	if strings.Contains(text, "e+308") {
		t.Error("the largest number is a bound of a histogram")
	}
	if t.Failed() {
		t.Log(text)
	}
}

// TestQueueMetrics guards against a gauge of an empty queue that does not return to 0, and against queues whose names change all the
// time and fill the memory of the process.
func TestQueueMetrics(t *testing.T) {
	c := NewCellMetrics()
	for i := range 2 * maxQueueLabels {
		c.update(port.ProcessState{Queues: map[string]port.QueueState{fmt.Sprintf("q%d", i): {WaitingTasks: 1, OldestWait: time.Second}}})
	}
	c.update(port.ProcessState{Queues: map[string]port.QueueState{
		"q3": {WaitingTasks: 30, OldestWait: 1500 * time.Millisecond}, "late": {WaitingTasks: 2, OldestWait: time.Second},
		"later": {WaitingTasks: 3, OldestWait: 2 * time.Second, Standings: [objective.Count]int{1, 2, 0}, ExcessSteps: 4},
	}})
	text := scrape(t, c)
	for _, line := range []string{
		`skylarkstall_queue_waiting_tasks{queue="q3"} 30`, `skylarkstall_queue_oldest_wait_seconds{queue="q3"} 1.5`,
		`skylarkstall_queue_waiting_tasks{queue="q4"} 0`, `skylarkstall_queue_oldest_wait_seconds{queue="q4"} 0`,
		`skylarkstall_queue_waiting_jobs{queue="(other)",standing="in_time"} 1`, `skylarkstall_queue_waiting_jobs{queue="(other)",standing="late"} 2`,
		`skylarkstall_queue_waiting_jobs{queue="q4",standing="hopeless"} 0`, `skylarkstall_queue_excess_steps{queue="(other)"} 4`,
		`skylarkstall_queue_waiting_tasks{queue="(other)"} 5`, `skylarkstall_queue_oldest_wait_seconds{queue="(other)"} 2`,
	} {
		if !strings.Contains(text, line+"\n") {
			t.Errorf("no line %q", line)
		}
	}
	if n := strings.Count(text, "skylarkstall_queue_waiting_tasks{"); n != maxQueueLabels+1 {
		t.Errorf("%d queues, want %d", n, maxQueueLabels+1)
	}
}

// TestUsageMetrics guards against a leader without processor time that cannot be told from one whose passes are dear.
func TestUsageMetrics(t *testing.T) {
	c := NewCellMetrics()
	c.update(port.ProcessState{})
	text := scrape(t, c)
	for _, name := range []string{"skylarkstall_process_cpu_seconds", "skylarkstall_process_resident_bytes"} {
		if !strings.Contains(text, "\n"+name+" ") {
			t.Errorf("no line for %s", name)
		}
	}
}
