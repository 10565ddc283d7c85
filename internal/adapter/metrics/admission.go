package metrics

import (
	"strconv"
	"time"

	"skylarkstall/internal/domain/account"
	"skylarkstall/internal/domain/admission"
)

// RecordRefusal counts a job that was refused for want of room.
func (c *CellMetrics) RecordRefusal(id account.ID, reason admission.Reason) {
	name := string(id)
	c.mu.Lock()
	if !c.refusingAccounts[name] {
		if len(c.refusingAccounts) < maxAccountLabels {
			c.refusingAccounts[name] = true
		} else {
			name = string(otherAccounts)
		}
	}
	c.mu.Unlock()
	c.tagged("account", name, string(reason)).Counter("refused_jobs").Inc(1)
}

// updateRoom sets the gauges of the expected waits for room. Those of priorities with room return to 0.
func (c *CellMetrics) updateRoom(waits map[int]time.Duration) {
	for priority := range waits {
		c.roomPriorities[priority] = true
	}
	for priority := range c.roomPriorities {
		c.scope.Tagged(map[string]string{"priority": strconv.Itoa(priority)}).Gauge("room_wait_seconds").Update(waits[priority].Seconds())
	}
}
