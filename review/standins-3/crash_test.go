//go:build review

package standins3

import (
	"fmt"
	"testing"
	"time"

	"skylarkstall/platform/platformtest"
)

// Sizes of the deployment and of the disruption.
const (
	rackSize      = 6
	otherWorkers  = 38 // the rack is a share of 0.136
	rackLabel     = "r1-1"
	crashCount    = 3
	crashDowntime = 500 * time.Millisecond
	crashUptime   = 1300 * time.Millisecond
	settleTime    = 15 * time.Second // finish_s and a second
)

// TestCrashingRack lets the workers of one rack crash three times while jobs that need its label run, of which no run fails.
func TestCrashingRack(t *testing.T) {
	c := newCell(t, 3, config(1, route("batch", 1, 3)))
	capacity := platformtest.Capacity{CPU: 32000, MemMb: 65536}
	var rack []*worker
	for n := range rackSize {
		rack = append(rack, c.addWorker(fmt.Sprintf("w%02d", n), "desk", capacity, "b", rackLabel))
	}
	for n := range otherWorkers {
		c.addWorker(fmt.Sprintf("w%02d", rackSize+n), "desk", capacity, "a", fmt.Sprintf("r1-%d", 2+n/rackSize))
	}
	time.Sleep(5 * time.Second) // until all processes run and the workers are known

	jobs := map[string]map[string]any{
		"00000000000000a1": {"spec": specOf(work{RunMs: 3000}), "steps": []map[string]any{
			{"count": rackSize, "cpu": 5500, "memMb": 10000, "estimateMs": 3000, "requiredLabel": rackLabel, "antiAffinity": 1},
		}},
		"00000000000000a2": {"spec": specOf(work{RunMs: 270, Lasts: true}), "steps": []map[string]any{
			{"count": rackSize, "cpu": 6700, "memMb": 7000, "requiredLabel": rackLabel, "antiAffinity": 1, "longRunning": true},
		}},
	}
	for id, job := range jobs {
		c.submit("/batch/"+id, job)
	}
	if hasTrouble() {
		time.Sleep(400 * time.Millisecond)
		for range crashCount {
			for _, w := range rack {
				w.crash(crashDowntime)
			}
			time.Sleep(crashDowntime + crashUptime)
		}
	}
	broken := 0
	for id := range jobs {
		state := c.awaitState("/batch/"+id, settleTime, "completed", "failed")
		starts, failures := c.ofJob(id, "failed")
		c.record.add("job %s is shown as %q after %d starts, of which %d have ended failed", id, state, starts, failures)
		if state == "failed" && failures == 0 {
			broken++
		}
	}
	c.record.conclude(broken > 0, "LOST: %d of %d accepted jobs are shown as failed, of which no run has ended failed and which nobody has cancelled",
		broken, len(jobs))
}
