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

// TestPausedProcessUnderLoad guards against a process that is suspended for longer than its leases last and, once
// resumed, acts as if it still held them: no task may run twice at once, every caller must get its response, and each
// peer must see the process go down and come back at most once.
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
				c.checkRequest(ctx, fmt.Sprintf("pause-%d", i), runTimeOf(i))
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
	c.awaitReady(ctx, 5)

	reply, err := callerhttp.NewClient(c.entries[0].addresses()[0], "").Timeline(ctx, "")
	if err != nil {
		t.Fatal(err)
	}
	pauseEvents, peerChanges := 0, map[string]int{}
	for _, e := range reply.Events {
		switch {
		case e.Kind == string(timeline.ProcessPaused) && e.Process == paused.id:
			pauseEvents++
		case strings.HasPrefix(e.Kind, "peer ") && e.Detail == paused.id:
			peerChanges[e.Process+" "+e.Kind]++
		}
	}
	if pauseEvents == 0 {
		t.Errorf("process %s did not detect its pause", paused.id)
	}
	// A peer comes up at first contact and once more after the pause.
	for change, n := range peerChanges {
		if limit := map[bool]int{true: 1, false: 2}[strings.HasSuffix(change, "down")]; n > limit {
			t.Errorf("%s: %d events, want at most %d", change, n, limit)
		}
	}
}

func (c *cell) signal(p *process, signal syscall.Signal) {
	if err := p.cmd.Process.Signal(signal); err != nil {
		c.t.Error(err)
	}
}
