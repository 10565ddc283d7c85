package celltest_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"skylarkstall/internal/adapter/callerhttp"
	"skylarkstall/internal/devcell"
)

// ownershipBalancer sends requests to ready processes, as the platform's load ownershipBalancer does: it asks each
// for its readiness from time to time.
type ownershipBalancer struct {
	mu    sync.Mutex
	nodes []*devcell.Node
	ready []*devcell.Node
	asked time.Time // when the round of questions began that ready is from
}

func (b *ownershipBalancer) set(nodes []*devcell.Node) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.nodes = nodes
}

func (b *ownershipBalancer) probe(ctx context.Context) {
	b.mu.Lock()
	nodes := b.nodes
	b.mu.Unlock()
	asked := time.Now()
	var ready []*devcell.Node
	for _, n := range nodes {
		client := callerhttp.NewClient(n.CallerAddress(), "")
		if client.Ready(ctx) == nil {
			ready = append(ready, n)
		}
		_ = client.Close()
	}
	b.mu.Lock()
	b.ready, b.asked = ready, asked
	b.mu.Unlock()
}

// pick returns a ready process and how old that knowledge is, or nil.
func (b *ownershipBalancer) pick(i int) (*devcell.Node, time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.ready) == 0 {
		return nil, 0
	}
	return b.ready[i%len(b.ready)], time.Since(b.asked)
}

// ownershipLongRun is longer than the grace of a drain, so that requests are in progress when the listener closes.
const ownershipLongRun = 1500 * time.Millisecond

// load keeps callers ownershipBusy until the context ends and returns the answers and the failures.
func (b *ownershipBalancer) load(ctx context.Context, callers int, runFor time.Duration) (answered int64, failures []error) {
	var running sync.WaitGroup
	var mu sync.Mutex
	var count atomic.Int64
	for c := range callers {
		running.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				n, age := b.pick(c + i)
				if n == nil {
					time.Sleep(10 * time.Millisecond)
					continue
				}
				id, d := fmt.Sprintf("load-%d-%d", c, i), runFor
				if c%4 == 0 {
					d = ownershipLongRun
				}
				sent := time.Now()
				if err := ownershipRun(context.Background(), n, id, d); err != nil {
					mu.Lock()
					failures = append(failures, fmt.Errorf("%s through %s, %v after it was picked, %v after it was asked: %w",
						id, n.ID, time.Since(sent), age+time.Since(sent), err))
					mu.Unlock()
				}
				count.Add(1)
			}
		})
	}
	running.Wait()
	return count.Load(), failures
}

// TestRollingReplacement guards guarantee 7: while every process of the cell is replaced, one after the other, every
// request gets its answer and runs once.
func TestRollingReplacement(t *testing.T) {
	t.Parallel()
	cell, watch := ownershipStartCell(t, devcell.Settings{Processes: 3, Workers: 6, DrainAcceptPeriod: 500 * time.Millisecond})
	b := &ownershipBalancer{}
	b.set(append([]*devcell.Node(nil), cell.Nodes...))
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	b.probe(ctx)
	go func() {
		for ctx.Err() == nil {
			b.probe(ctx)
			time.Sleep(50 * time.Millisecond)
		}
	}()
	replaced := make(chan error, 1)
	go func() {
		defer stop()
		replaced <- ownershipReplaceAll(ctx, cell, b)
	}()
	answered, failures := b.load(ctx, 12, 50*time.Millisecond)
	if err := <-replaced; err != nil {
		t.Fatal(err)
	}
	for i, err := range failures {
		if i < 5 {
			t.Error(err)
		}
	}
	watch.check(t, cell, true)
	t.Logf("%d requests answered, %d failed", answered, len(failures))
	if answered < 100 {
		t.Errorf("only %d requests were answered", answered)
	}
}

func ownershipReplaceAll(ctx context.Context, cell *devcell.Cell, b *ownershipBalancer) error {
	nodes := append([]*devcell.Node(nil), cell.Nodes...)
	for i := range nodes {
		old := nodes[i]
		fresh, err := cell.AddNode(fmt.Sprintf("entry-%d", len(cell.Nodes)+1), i)
		if err != nil {
			return err
		}
		client := callerhttp.NewClient(fresh.CallerAddress(), "")
		for client.Ready(ctx) != nil && ctx.Err() == nil {
			time.Sleep(20 * time.Millisecond)
		}
		_ = client.Close()
		nodes[i] = fresh
		b.set(append([]*devcell.Node{old}, nodes...))
		old.Stop()
		cell.RemoveVM(string(old.ID))
		b.set(append([]*devcell.Node(nil), nodes...))
	}
	return nil
}
