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

// updateShedding sets the gauges of what is refused because the leader starts less than is asked. Those of priorities that are not stated
// any more return to 0.
func (c *CellMetrics) updateShedding(shedding map[int]admission.Shedding) {
	for priority := range shedding {
		c.shedPriorities[priority] = true
	}
	for priority := range c.shedPriorities {
		scope := c.scope.Tagged(map[string]string{"priority": strconv.Itoa(priority)})
		scope.Gauge("start_wait_seconds").Update(shedding[priority].Wait.Seconds())
		scope.Gauge("shed_part").Update(shedding[priority].Refused)
	}
}
