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

// TestPausedOwner guards against an owner that is stopped for longer than its control lease and wakes up: its workers
// were taken over meanwhile, so what it does with its old epoch must be refused, and no task may run in two places.
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
				c.request(ctx, fmt.Sprintf("pause-%d", i), 700*time.Millisecond)
			}
		})
	}
	paused := c.entries[1]
	woken := make(chan time.Time, 1)
	go func() {
		time.Sleep(time.Second)
		_ = paused.cmd.Process.Signal(syscall.SIGSTOP) // the checks below fail if it did not stop
		time.Sleep(7 * time.Second)
		woken <- time.Now()
		_ = paused.cmd.Process.Signal(syscall.SIGCONT)
	}()
	for i := range requests {
		ids <- i
	}
	close(ids)
	running.Wait()
	at := <-woken
	client := callerhttp.NewClient(paused.addresses()[0], "")
	defer func() { _ = client.Close() }()
	if lost := c.lostAfter(ctx, client, paused.id, at); lost == 0 {
		t.Error("the process that was paused did not notice that it lost its workers")
	} else {
		t.Logf("the first command with an old epoch was refused %v after the pause of 7 s", lost)
	}
	checkRuns(t, c.workers, requests, slots)
}

// lostAfter waits for the first event of a lost control lease after the time, and returns how long after it came.
func (c *cell) lostAfter(ctx context.Context, client *callerhttp.Client, process string, at time.Time) time.Duration {
	for range 50 {
		reply, err := client.Timeline(ctx, "since=1m")
		if err == nil {
			for _, e := range reply.Events {
				if e.Process == process && e.Kind == "lease lost" && e.WallNS > at.UnixNano() {
					return time.Duration(e.WallNS - at.UnixNano())
				}
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return 0
}
