//go:build review

package standins3

import (
	"fmt"
	"testing"
	"time"

	"skylarkstall/platform/platformtest"
)

// Attempts of a task before and after the change of the configuration.
const (
	attemptsBefore = 4
	attemptsAfter  = 2
	// settleTime is `finish_s` and a second.
	settleTime = 15 * time.Second
)

// TestReplacedRoute replaces a route by one with fewer attempts at the same address, while a task waits that has failed as often.
func TestReplacedRoute(t *testing.T) {
	urgent := route("urgent", 0, attemptsBefore)
	c := newCell(t, 3, config(1, urgent, route("batch", 1, attemptsBefore)))
	for n := range 2 {
		c.addWorker(fmt.Sprintf("w%02d", n), "desk", platformtest.Capacity{CPU: 8000, MemMb: 65536}, "a", "r1-1")
	}
	time.Sleep(5 * time.Second) // until all processes run and the workers are known

	const id, path = "00000000000000a1", "/batch/00000000000000a1"
	c.submit(path, map[string]any{"spec": specOf(work{RunMs: 1200, Fails: attemptsAfter}), "steps": []map[string]any{
		{"count": 1, "cpu": 4000, "memMb": 1000, "estimateMs": 1200},
	}})
	time.Sleep(1500 * time.Millisecond) // the second run of the task is in progress
	c.submit("/urgent/00000000000000a2", map[string]any{"spec": specOf(work{RunMs: 5000}), "steps": []map[string]any{
		{"count": 4, "cpu": 4000, "memMb": 1000, "estimateMs": 5000}, // as many as there is room for
	}})
	time.Sleep(1500 * time.Millisecond) // the task has failed twice and waits for room
	if hasTrouble() {
		next := route("batch", 1, attemptsAfter)
		next["name"] = "batch-next"
		c.store.Put("op/config", config(2, urgent, next))
		c.record.add("configuration 2: the route batch is removed, and batch-next with %d attempts is added at its address", attemptsAfter)
	}
	urgentState := c.awaitState("/urgent/00000000000000a2", 20*time.Second, "completed")
	state := c.awaitState(path, settleTime, "completed", "failed")
	starts, failures := c.ofJob(id, "failed")
	c.record.add("%d starts, %d ends failed; the other job is %s", starts, failures, urgentState)
	c.record.conclude(state != "completed" && state != "failed",
		"LOST: %v after the last run on the workers the job is shown as %q, and nothing of it runs", settleTime, state)
}
