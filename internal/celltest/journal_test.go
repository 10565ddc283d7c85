// Package celltest tests guarantees that need a whole cell.
package celltest

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

// onceCell is a cell whose workers count the starts of each request.
type onceCell struct {
	*devcell.Cell
	t   *testing.T
	ctx context.Context

	mu     sync.Mutex
	starts map[ident.RequestID]int
}

func startOnceCell(t *testing.T, processes int) *onceCell {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	t.Cleanup(cancel)
	c := &onceCell{t: t, ctx: ctx, starts: map[ident.RequestID]int{}}
	cell, err := devcell.Start(ctx, devcell.Settings{
		Processes: processes, Workers: 3, Log: slog.New(slog.DiscardHandler), Observe: c.observe,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cell.Close)
	c.Cell = cell
	if err := cell.AwaitReady(ctx); err != nil {
		t.Fatal(err)
	}
	return c
}

func (c *onceCell) observe(_ ident.WorkerID, o worker.Observation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if o.Started {
		c.starts[o.Task.Work.Request]++
	}
}

func (c *onceCell) started(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.starts[ident.RequestID(id)]
}

// run sends a request of the kind through the process at the address. The task answers with the request id.
func (c *onceCell) run(address, kind, id string, runMS int64) (string, error) {
	return c.call(address, callerhttp.RunRequest{RequestID: id, Kind: kind}, runMS)
}

// runWithin asks again for a request that is not repeatable and ran 10 ms.
func (c *onceCell) runWithin(address, id string, deadlineMS int64) (string, error) {
	return c.call(address, callerhttp.RunRequest{RequestID: id, Kind: "print-order", DeadlineMS: deadlineMS}, 10)
}

func (c *onceCell) call(address string, call callerhttp.RunRequest, runMS int64) (string, error) {
	payload, err := json.Marshal(worker.Payload{RunMS: runMS, Echo: call.RequestID})
	if err != nil {
		return "", err
	}
	call.Team, call.Payload = "vembanad", payload
	reply, err := callerhttp.NewClient(address, "vembanad-dev-token").Run(c.ctx, call)
	return string(reply.Output), err
}

// expect runs the request and checks its output and that it was started once.
func (c *onceCell) expect(address, kind, id string, runMS int64) {
	c.t.Helper()
	output, err := c.run(address, kind, id, runMS)
	if err != nil || output != id {
		c.t.Errorf("%s %s: output %q, error %v", kind, id, output, err)
	}
	if n := c.started(id); n != 1 {
		c.t.Errorf("%s %s: %d starts; want 1", kind, id, n)
	}
}

func (c *onceCell) writes() int { return c.Store.CallCounts()[storehttp.PathPut] }

// TestOnceWithStoreFaults guards guarantees 4 and 5 while the store is slow, loses answers and is down: a request
// that is not repeatable starts once, or is refused and does not start.
func TestOnceWithStoreFaults(t *testing.T) {
	t.Parallel()
	c := startOnceCell(t, 2)
	address := c.Nodes[0].CallerAddress()
	c.Store.SetFaults(store.Faults{Latency: 300 * time.Millisecond})
	c.expect(address, "print-order", "slow", 10)
	c.Store.SetFaults(store.Faults{DropResponse: true})
	c.expect(address, "print-order", "lost-answer", 10)

	c.Store.SetFaults(store.Faults{Unavailable: true})
	began := time.Now()
	_, err := c.run(address, "print-order", "refused", 10)
	if !fault.Is(err, fault.StoreUnavailable) || c.started("refused") != 0 {
		t.Errorf("store down: error %v, %d starts; want store_unavailable and none", err, c.started("refused"))
	}
	if took := time.Since(began); took > 5*time.Second {
		t.Errorf("store down: refused after %s", took)
	}
	c.expect(address, "proof", "repeatable", 10)

	c.Store.SetFaults(store.Faults{})
	c.expect(c.Nodes[1].CallerAddress(), "print-order", "refused", 10)
}

// TestOutcomeWaitsForStore guards that the outcome of work that is not repeatable is stored before its answer: the
// store fails after the start and is back before the deadline.
func TestOutcomeWaitsForStore(t *testing.T) {
	t.Parallel()
	c := startOnceCell(t, 1)
	address := c.Nodes[0].CallerAddress()
	ended := make(chan error, 1)
	go func() {
		_, err := c.run(address, "print-order", "outage", 500)
		ended <- err
	}()
	for c.started("outage") == 0 && c.ctx.Err() == nil {
		time.Sleep(10 * time.Millisecond)
	}
	c.Store.SetFaults(store.Faults{Unavailable: true})
	select {
	case err := <-ended:
		t.Fatalf("answered before the outcome was stored: %v", err)
	case <-time.After(1500 * time.Millisecond):
	}
	c.Store.SetFaults(store.Faults{})
	if err := <-ended; err != nil {
		t.Errorf("after the outage: %v", err)
	}
	c.expect(address, "print-order", "outage", 500)
}

// TestOnceThroughTwoProcesses guards deduplication: one id that arrives through two processes at once runs once, and
// the same id with other content is refused.
func TestOnceThroughTwoProcesses(t *testing.T) {
	t.Parallel()
	c := startOnceCell(t, 2)
	var arrivals sync.WaitGroup
	for i := range 6 {
		arrivals.Go(func() {
			output, err := c.run(c.Nodes[i%2].CallerAddress(), "print-order", "double", 200)
			if err != nil || output != "double" {
				t.Errorf("arrival %d: output %q, error %v", i, output, err)
			}
		})
	}
	arrivals.Wait()
	if n := c.started("double"); n != 1 {
		t.Errorf("%d starts", n)
	}
	if _, err := c.run(c.Nodes[1].CallerAddress(), "print-order", "double", 201); !fault.Is(err, fault.Conflict) {
		t.Errorf("other content: %v; want conflict", err)
	}
}

// TestStoreCalls guards the budget of the store: none for repeatable requests, none while idle, and at most 4 writes/s
// for each partition under load.
func TestStoreCalls(t *testing.T) {
	t.Parallel()
	c := startOnceCell(t, 2)
	address := c.Nodes[0].CallerAddress()
	c.expect(address, "print-order", "first", 1) // every partition is taken once this is answered, or soon after
	for settled := -1; settled != c.writes(); time.Sleep(time.Second) {
		settled = c.writes()
	}
	before := c.Store.CallCounts()
	c.load(address, "proof", 2*time.Second)
	time.Sleep(time.Second)
	after := c.Store.CallCounts()
	for _, path := range []string{storehttp.PathPut, storehttp.PathGet, storehttp.PathList, storehttp.PathDelete} {
		if n := after[path] - before[path]; n != 0 {
			t.Errorf("repeatable requests and idling: %d calls of %s", n, path)
		}
	}
	const seconds = 4
	requests := c.load(address, "print-order", seconds*time.Second)
	writes := c.writes() - after[storehttp.PathPut]
	t.Logf("%d not repeatable requests in %d s: %.1f writes/s, %.2f writes for each request",
		requests, seconds, float64(writes)/seconds, float64(writes)/float64(requests))
	if limit := 4 * ident.PartitionCount * (seconds + 1); writes > limit {
		t.Errorf("%d writes in %d s; the limit is %d", writes, seconds, limit)
	}
}

// load sends requests from 16 callers for the time and returns their number.
func (c *onceCell) load(address, kind string, d time.Duration) int {
	var callers sync.WaitGroup
	var mu sync.Mutex
	sent := 0
	until := time.Now().Add(d)
	for caller := range 16 {
		callers.Go(func() {
			for i := 0; time.Now().Before(until); i++ {
				id := fmt.Sprintf("load-%s-%d-%d", kind, caller, i)
				if _, err := c.run(address, kind, id, 1); err != nil {
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
