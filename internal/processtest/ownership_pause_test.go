package processtest

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"skylarkstall/internal/adapter/callerhttp"
)

// TestPausedOwner guards against an owner that is suspended for longer than its control lease and then resumes. Other
// processes have taken over its workers by then, so its calls with the old epoch must be refused, and no task may run in
// two places.
func TestPausedOwner(t *testing.T) {
	t.Parallel()
	if testing.Short() {
		t.Skip("starts 8 processes")
	}
	const requests, callers, slots = 60, 12, 8
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	c := startCell(ctx, t, 3, 3)
	ids := make(chan int)
	var running sync.WaitGroup
	for range callers {
		running.Go(func() {
			for i := range ids {
				c.checkRequest(ctx, fmt.Sprintf("pause-%d", i), 700*time.Millisecond)
			}
		})
	}
	paused := c.someOwner(ctx)
	resumed := make(chan time.Time, 1)
	go func() {
		time.Sleep(time.Second)
		_ = paused.cmd.Process.Signal(syscall.SIGSTOP) // if this fails, the checks below fail
		time.Sleep(7 * time.Second)
		resumed <- time.Now()
		_ = paused.cmd.Process.Signal(syscall.SIGCONT)
	}()
	for i := range requests {
		ids <- i
	}
	close(ids)
	running.Wait()
	resumedAt := <-resumed
	client := callerhttp.NewClient(paused.addresses()[0], "")
	defer func() { _ = client.Close() }()
	if delay := c.awaitLeaseLoss(ctx, client, paused.id, resumedAt); delay == 0 {
		t.Errorf("process %s recorded no lost lease after its pause", paused.id)
	} else {
		t.Logf("first lost lease recorded %v after the pause of 7 s", delay)
	}
	checkRuns(t, c.workers, requests, slots)
}

// someOwner returns an entry process that owns a worker. On a busy machine some own none.
func (c *cell) someOwner(ctx context.Context) *process {
	c.t.Helper()
	client := callerhttp.NewClient(c.entries[0].addresses()[0], "")
	defer func() { _ = client.Close() }()
	reply, err := client.CellStatus(ctx)
	if err != nil {
		c.t.Fatal(err)
	}
	for _, status := range reply.Processes {
		for _, p := range c.entries {
			if status.ID == p.id && len(status.Workers) > 0 {
				return p
			}
		}
	}
	c.t.Fatal("no entry process owns a worker")
	return nil
}

// awaitLeaseLoss waits up to 5 s until the process has recorded the loss of a control lease after the given time. It
// returns the time between the two, or 0 if there was no such event.
func (c *cell) awaitLeaseLoss(
	ctx context.Context, client *callerhttp.Client, process string, since time.Time,
) time.Duration {
	for range 50 {
		reply, err := client.Timeline(ctx, "since=1m")
		if err == nil {
			for _, e := range reply.Events {
				if e.Process == process && e.Kind == "lease lost" && e.WallNS > since.UnixNano() {
					return time.Duration(e.WallNS - since.UnixNano())
				}
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return 0
}
