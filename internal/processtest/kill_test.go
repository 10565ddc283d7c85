package processtest

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sort"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"skylarkstall/internal/adapter/callerhttp"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/standin/worker"
)

// TestKillOneOfSevenUnderLoad guards against work that is lost, doubled or answered with another request's output
// when an entry process is killed while 300 requests run through seven processes.
func TestKillOneOfSevenUnderLoad(t *testing.T) {
	t.Parallel()
	if testing.Short() {
		t.Skip("starts 16 processes")
	}
	const requests, callers, slots = 300, 24, 8
	ctx, cancel := context.WithTimeout(context.Background(), 90*time.Second)
	defer cancel()
	c := startCell(ctx, t, 7, 7)

	ids := make(chan int)
	var running sync.WaitGroup
	for range callers {
		running.Go(func() {
			for i := range ids {
				c.request(ctx, fmt.Sprintf("load-%d", i), runTime(i))
			}
		})
	}
	for i := range requests {
		if i == requests/3 {
			c.entries[3].kill()
		}
		ids <- i
	}
	close(ids)
	running.Wait()
	checkRuns(t, c.workers, requests, slots)
}

// runTime is short but for every eighth task, which runs longer than it takes to detect a dead process: a new home that
// does not learn of it would start it a second time.
func runTime(i int) time.Duration {
	if i%8 == 0 {
		return 6 * time.Second
	}
	return time.Duration(50+i%150) * time.Millisecond
}

// request runs a request as a caller does: through any process, again with the same id when the answer was lost.
func (c *cell) request(ctx context.Context, id string, run time.Duration) {
	payload, err := json.Marshal(worker.Payload{RunMS: run.Milliseconds(), Echo: id})
	if err != nil {
		c.t.Error(err)
		return
	}
	call := callerhttp.RunRequest{Team: "vembanad", RequestID: id, Kind: "proof", DeadlineMS: 60_000, Payload: payload}
	for {
		entry := c.entries[rand.IntN(len(c.entries))]
		reply, err := callerhttp.NewClient(entry.addresses()[0], "vembanad-dev-token").Run(ctx, call)
		switch {
		case err == nil && string(reply.Output) == id:
			return
		case err == nil:
			c.t.Errorf("%s got the output %q", id, reply.Output)
			return
		case ctx.Err() != nil || !fault.KindOf(err).Response().Retryable:
			c.t.Errorf("%s through %s: %v", id, entry.id, err)
			return
		}
	}
}

// span is one run of a task on a worker.
type span struct {
	worker     string
	start, end int64 // Unix nanoseconds
}

// checkRuns checks from the workers' own output that every task ran, never in two places at once, and never more than
// the slots of a worker.
func checkRuns(t *testing.T, workers []*process, tasks, slots int) {
	t.Helper()
	spans := map[string][]span{}
	for _, w := range workers {
		running, most := map[string]int64{}, 0
		for _, line := range w.output() {
			fields := strings.Fields(line)
			at, err := strconv.ParseInt(fields[1], 10, 64)
			if err != nil {
				t.Fatalf("%s: %q", w.id, line)
			}
			run := fields[2] + "@" + fields[3]
			if fields[0] == "start" {
				running[run] = at
				most = max(most, len(running))
				continue
			}
			spans[fields[2]] = append(spans[fields[2]], span{w.id, running[run], at})
			delete(running, run)
		}
		if most > slots {
			t.Errorf("%s ran %d tasks at once; it has %d slots", w.id, most, slots)
		}
	}
	if len(spans) != tasks {
		t.Errorf("%d tasks ran, want %d", len(spans), tasks)
	}
	again := 0
	for task, runs := range spans {
		sort.Slice(runs, func(i, j int) bool { return runs[i].start < runs[j].start })
		for i := 1; i < len(runs); i++ {
			again++
			if runs[i].start < runs[i-1].end {
				t.Errorf("%s ran on %s and %s at once", task, runs[i-1].worker, runs[i].worker)
			}
		}
	}
	t.Logf("%d tasks, %d runs again after a former one ended", len(spans), again)
}
