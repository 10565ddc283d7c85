package metrics

import (
	"strings"
	"testing"
	"time"

	"skylarkstall/internal/port"
)

// TestRackWaitMetrics guards against waits that are counted again with each update, and against counters that fall when another term begins.
func TestRackWaitMetrics(t *testing.T) {
	c := NewCellMetrics()
	for _, waits := range []port.RackWaits{
		{Paid: 4, Vain: 1, Saved: 3 * time.Second, Lost: time.Second},
		{Paid: 6, Vain: 1, Saved: 5 * time.Second, Lost: time.Second},
		{}, // not the leader any more
		{Paid: 2, Vain: 2, Saved: time.Second, Lost: 2 * time.Second},
	} {
		c.update(port.ProcessState{RackWaits: waits})
	}
	text := scrape(t, c)
	for _, line := range []string{
		`skylarkstall_rack_waits{outcome="paid"} 8`, `skylarkstall_rack_waits{outcome="vain"} 3`,
		`skylarkstall_rack_wait_saved_ms 6000`, `skylarkstall_rack_wait_lost_ms 3000`,
	} {
		if !strings.Contains(text, line+"\n") {
			t.Errorf("no line %q", line)
		}
	}
}
