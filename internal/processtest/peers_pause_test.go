package processtest

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"skylarkstall/internal/adapter/callerhttp"
	"skylarkstall/internal/domain/timeline"
)

// TestPausedProcessUnderLoad guards against a process that is paused for longer than its leases and then goes on as
// if nothing had happened: no task runs twice at once, every caller gets its answer, and the process leaves and comes
// back once.
func TestPausedProcessUnderLoad(t *testing.T) {
	if testing.Short() {
		t.Skip("starts 12 processes")
	}
	const requests, callers, slots, pause = 80, 16, 8, 7 * time.Second
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	c := startCell(ctx, t, 5, 5)
	paused := c.entries[2]

	ids := make(chan int)
	var running sync.WaitGroup
	for range callers {
		running.Go(func() {
			for i := range ids {
				c.request(ctx, fmt.Sprintf("pause-%d", i), runTime(i))
			}
		})
	}
	for i := range requests {
		if i == requests/3 {
			c.signal(paused, syscall.SIGSTOP)
			time.AfterFunc(pause, func() { c.signal(paused, syscall.SIGCONT) })
		}
		ids <- i
	}
	close(ids)
	running.Wait()
	checkRuns(t, c.workers, requests, slots)
	c.awaitOwned(ctx, 5)

	reply, err := callerhttp.NewClient(c.entries[0].addresses()[0], "").Timeline(ctx, "")
	if err != nil {
		t.Fatal(err)
	}
	noticed, changes := 0, map[string]int{}
	for _, e := range reply.Events {
		switch {
		case e.Kind == string(timeline.ProcessPaused) && e.Process == paused.id:
			noticed++
		case strings.HasPrefix(e.Kind, "peer ") && e.Detail == paused.id:
			changes[e.Process+" "+e.Kind]++
		}
	}
	if noticed == 0 {
		t.Error("the process did not notice that it was paused")
	}
	for change, n := range changes {
		if limit := map[bool]int{true: 1, false: 2}[strings.HasSuffix(change, "down")]; n > limit {
			t.Errorf("%s %d times; the first contact and one return are the limit", change, n)
		}
	}
}

func (c *cell) signal(p *process, signal syscall.Signal) {
	if err := p.cmd.Process.Signal(signal); err != nil {
		c.t.Error(err)
	}
}
