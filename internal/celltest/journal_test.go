// Package celltest tests guarantees on whole cells that run in one process.
package celltest_test

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"time"

	"skylarkstall/internal/adapter/callerhttp"
	"skylarkstall/internal/adapter/storehttp"
	"skylarkstall/internal/devcell"
	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/standin/store"
	"skylarkstall/internal/standin/worker"
)

// countingCell is a cell that counts the starts of each request on its workers.
type countingCell struct {
	*devcell.Cell
	t   *testing.T
	ctx context.Context

	mu     sync.Mutex
	starts map[ident.RequestID]int
}

func startCountingCell(t *testing.T, processes int) *countingCell {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	t.Cleanup(cancel)
	c := &countingCell{t: t, ctx: ctx, starts: map[ident.RequestID]int{}}
	cell, err := devcell.Start(ctx, devcell.Settings{
		Processes: processes, Workers: 3, Log: slog.New(slog.DiscardHandler), Observe: c.countStart,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cell.Close)
	logOwnershipOnFailure(t, cell)
	c.Cell = cell
	if err := cell.AwaitReady(ctx); err != nil {
		t.Fatal(err)
	}
	return c
}

func (c *countingCell) countStart(_ ident.WorkerID, o worker.Observation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if o.Started {
		c.starts[o.Task.Work.Request]++
	}
}

func (c *countingCell) startCount(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.starts[ident.RequestID(id)]
}

// sendRequest sends a request through the process at the address and returns its output. The task echoes the request id.
func (c *countingCell) sendRequest(address, kind, id string, runMS int64) (string, error) {
	return c.send(address, callerhttp.RunRequest{RequestID: id, Kind: kind}, runMS)
}

// sendWithDeadline sends a request that is not repeatable and runs for 10 ms, with a deadline.
func (c *countingCell) sendWithDeadline(address, id string, deadlineMS int64) (string, error) {
	return c.send(address, callerhttp.RunRequest{RequestID: id, Kind: "print-order", DeadlineMS: deadlineMS}, 10)
}

func (c *countingCell) send(address string, call callerhttp.RunRequest, runMS int64) (string, error) {
	payload, err := json.Marshal(worker.Payload{RunMS: runMS, Echo: call.RequestID})
	if err != nil {
		return "", err
	}
	call.Team, call.Payload = "vembanad", payload
	reply, err := callerhttp.NewClient(address, "vembanad-dev-token").Run(c.ctx, call)
	return string(reply.Output), err
}

// checkRunsOnce sends the request and checks its output and that it has been started exactly once.
func (c *countingCell) checkRunsOnce(address, kind, id string, runMS int64) {
	c.t.Helper()
	output, err := c.sendRequest(address, kind, id, runMS)
	if err != nil || output != id {
		c.t.Errorf("%s %s: got output %q, error %v; want output %q", kind, id, output, err, id)
	}
	if n := c.startCount(id); n != 1 {
		c.t.Errorf("%s %s: %d starts, want 1", kind, id, n)
	}
}

func (c *countingCell) storeWrites() int { return c.Store.CallCounts()[storehttp.PathPut] }

// TestOnceWithStoreFaults verifies guarantees 4 and 5 while the store is slow, loses responses or is unavailable: a
// request that is not repeatable is started exactly once, or rejected and not started.
func TestOnceWithStoreFaults(t *testing.T) {
	t.Parallel()
	c := startCountingCell(t, 2)
	address := c.Nodes[0].CallerAddress()
	c.Store.SetFaults(store.Faults{Latency: 300 * time.Millisecond})
	c.checkRunsOnce(address, "print-order", "slow", 10)
	c.Store.SetFaults(store.Faults{DropResponse: true})
	c.checkRunsOnce(address, "print-order", "lost-answer", 10)

	// A home that has not read its journal cannot tell that a request did not run. After this request it has read it.
	samePartition := otherIDInPartition(ident.WorkID{Team: "vembanad", Request: "refused"})
	c.checkRunsOnce(address, "print-order", string(samePartition.Request), 10)
	c.Store.SetFaults(store.Faults{Unavailable: true})
	startTime := time.Now()
	_, err := c.sendRequest(address, "print-order", "refused", 10)
	if !fault.Is(err, fault.StoreUnavailable) || c.startCount("refused") != 0 {
		t.Errorf("store unavailable: got error %v and %d starts, want store_unavailable and no start", err,
			c.startCount("refused"))
	}
	if took := time.Since(startTime); took > 5*time.Second {
		t.Errorf("store unavailable: rejected after %s, want at most 5 s", took)
	}
	c.checkRunsOnce(address, "proof", "repeatable", 10)

	c.Store.SetFaults(store.Faults{})
	c.checkRunsOnce(c.Nodes[1].CallerAddress(), "print-order", "refused", 10)
}

// TestStoreFailsBeforeTakeover verifies guarantees 4 and 5 when the store becomes unavailable before the home of a request
// has read its journal: the request must not start, and its error must not be one that a retry contradicts.
func TestStoreFailsBeforeTakeover(t *testing.T) {
	t.Parallel()
	c := startCountingCell(t, 2)
	c.Store.SetFaults(store.Faults{Unavailable: true})
	_, err := c.sendWithDeadline(c.Nodes[0].CallerAddress(), "early", 3000)
	if !fault.Is(err, fault.Interrupted) && !fault.Is(err, fault.StoreUnavailable) || c.startCount("early") != 0 {
		t.Errorf("store unavailable: got error %v and %d starts, want interrupted or store_unavailable and no start", err,
			c.startCount("early"))
	}
	c.Store.SetFaults(store.Faults{})
	c.checkRunsOnce(c.Nodes[1].CallerAddress(), "print-order", "early", 10)
}

// TestOutcomeWaitsForStore guards against a response that is sent before the outcome of work that is not repeatable has
// been stored. The store becomes unavailable after the start and is back before the deadline.
func TestOutcomeWaitsForStore(t *testing.T) {
	t.Parallel()
	c := startCountingCell(t, 1)
	address := c.Nodes[0].CallerAddress()
	response := make(chan error, 1)
	go func() {
		_, err := c.sendRequest(address, "print-order", "outage", 500)
		response <- err
	}()
	for c.startCount("outage") == 0 && c.ctx.Err() == nil {
		time.Sleep(10 * time.Millisecond)
	}
	c.Store.SetFaults(store.Faults{Unavailable: true})
	select {
	case err := <-response:
		t.Fatalf("got a response before the outcome was stored: %v", err)
	case <-time.After(1500 * time.Millisecond):
	}
	c.Store.SetFaults(store.Faults{})
	if err := <-response; err != nil {
		t.Errorf("response after the outage: %v", err)
	}
	c.checkRunsOnce(address, "print-order", "outage", 500)
}

// TestOnceThroughTwoProcesses verifies deduplication: a request that arrives through two processes at once runs once, and
// a request with the same id and other content is rejected.
func TestOnceThroughTwoProcesses(t *testing.T) {
	t.Parallel()
	c := startCountingCell(t, 2)
	var copies sync.WaitGroup
	for i := range 6 {
		copies.Go(func() {
			output, err := c.sendRequest(c.Nodes[i%2].CallerAddress(), "print-order", "double", 200)
			if err != nil || output != "double" {
				t.Errorf("copy %d of the request: output %q, error %v", i, output, err)
			}
		})
	}
	copies.Wait()
	if n := c.startCount("double"); n != 1 {
		t.Errorf("request started %d times, want 1", n)
	}
	if _, err := c.sendRequest(c.Nodes[1].CallerAddress(), "print-order", "double", 201); !fault.Is(err, fault.Conflict) {
		t.Errorf("same id with other content: got %v, want conflict", err)
	}
}

// TestStoreCalls verifies the limits on store calls: none for repeatable requests, none while idle, and at most 4
// writes/s per partition under load.
func TestStoreCalls(t *testing.T) {
	t.Parallel()
	c := startCountingCell(t, 2)
	address := c.Nodes[0].CallerAddress()
	// Every journal has been taken over when this request gets its response, or soon after.
	c.checkRunsOnce(address, "print-order", "first", 1)
	for previous := -1; previous != c.storeWrites(); time.Sleep(time.Second) {
		previous = c.storeWrites()
	}
	before := c.Store.CallCounts()
	c.sendLoad(address, "proof", 2*time.Second)
	time.Sleep(time.Second)
	after := c.Store.CallCounts()
	for _, path := range []string{storehttp.PathPut, storehttp.PathGet, storehttp.PathList, storehttp.PathDelete} {
		if n := after[path] - before[path]; n != 0 {
			t.Errorf("repeatable requests and idle time: %d calls of %s, want none", n, path)
		}
	}
	const seconds = 4
	requests := c.sendLoad(address, "print-order", seconds*time.Second)
	writes := c.storeWrites() - after[storehttp.PathPut]
	t.Logf("%d requests that are not repeatable in %d s: %.1f writes/s, %.2f writes per request",
		requests, seconds, float64(writes)/seconds, float64(writes)/float64(requests))
	if limit := 4 * ident.PartitionCount * (seconds + 1); writes > limit {
		t.Errorf("%d writes in %d s, want at most %d", writes, seconds, limit)
	}
}

// sendLoad sends requests from 16 concurrent callers for the given time and returns the number of requests.
func (c *countingCell) sendLoad(address, kind string, d time.Duration) int {
	var callers sync.WaitGroup
	var mu sync.Mutex
	sent := 0
	endTime := time.Now().Add(d)
	for caller := range 16 {
		callers.Go(func() {
			for i := 0; time.Now().Before(endTime); i++ {
				id := fmt.Sprintf("load-%s-%d-%d", kind, caller, i)
				if _, err := c.sendRequest(address, kind, id, 1); err != nil {
					c.t.Errorf("%s: %v", id, err)
					return
				}
				mu.Lock()
				sent++
				mu.Unlock()
			}
		})
	}
	callers.Wait()
	return sent
}
