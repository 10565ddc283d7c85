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

// TestKillOneOfSevenUnderLoad guards against requests that are lost, run twice at once or get another request's output
// when one of seven entry processes is killed while 300 requests run.
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
				c.checkRequest(ctx, fmt.Sprintf("load-%d", i), runTimeOf(i))
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

// runTimeOf returns the run time of a task. Every eighth task runs longer than the detection of a dead process takes, so
// that a new home that does not learn of the running task would start it a second time.
func runTimeOf(i int) time.Duration {
	if i%8 == 0 {
		return 6 * time.Second
	}
	return time.Duration(50+i%150) * time.Millisecond
}

// checkRequest runs a request as a caller does: through a random entry process, and after a retryable error again with
// the same request id. It checks that the output is that of the request.
func (c *cell) checkRequest(ctx context.Context, id string, runTime time.Duration) {
	payload, err := json.Marshal(worker.Payload{RunMS: runTime.Milliseconds(), Echo: id})
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
			c.t.Errorf("%s: got output %q, want %q", id, reply.Output, id)
			return
		case ctx.Err() != nil || !fault.KindOf(err).Response().Retryable:
			c.t.Errorf("%s through %s: %v", id, entry.id, err)
			return
		}
	}
}

// taskRun is one run of a task on a worker.
type taskRun struct {
	worker     string
	start, end int64 // Unix nanoseconds
}

// checkRuns checks, from the starts and ends that the workers print, that every task ran, that no task ran in two places
// at once, and that no worker ran more tasks at once than it has slots.
func checkRuns(t *testing.T, workers []*process, tasks, slots int) {
	t.Helper()
	runsByTask := map[string][]taskRun{}
	for _, w := range workers {
		running, maxRunning := map[string]int64{}, 0
		for _, line := range w.output() {
			fields := strings.Fields(line)
			timestamp, err := strconv.ParseInt(fields[1], 10, 64)
			if err != nil {
				t.Fatalf("worker %s: output line %q has no time: %v", w.id, line, err)
			}
			run := fields[2] + "@" + fields[3]
			if fields[0] == "start" {
				running[run] = timestamp
				maxRunning = max(maxRunning, len(running))
				continue
			}
			runsByTask[fields[2]] = append(runsByTask[fields[2]], taskRun{w.id, running[run], timestamp})
			delete(running, run)
		}
		if maxRunning > slots {
			t.Errorf("worker %s ran %d tasks at once; it has %d slots", w.id, maxRunning, slots)
		}
	}
	if len(runsByTask) != tasks {
		t.Errorf("%d tasks ran, want %d", len(runsByTask), tasks)
	}
	reruns := 0
	for task, runs := range runsByTask {
		sort.Slice(runs, func(i, j int) bool { return runs[i].start < runs[j].start })
		for i := 1; i < len(runs); i++ {
			reruns++
			if runs[i].start < runs[i-1].end {
				t.Errorf("task %s ran on workers %s and %s at once, for %v: the first from %v to %v, the second to %v", task,
					runs[i-1].worker, runs[i].worker, time.Duration(min(runs[i-1].end, runs[i].end)-runs[i].start),
					time.Unix(0, runs[i-1].start), time.Unix(0, runs[i-1].end), time.Unix(0, runs[i].end))
			}
		}
	}
	t.Logf("%d tasks ran; %d runs started after an earlier run of the same task had ended", len(runsByTask), reruns)
}
