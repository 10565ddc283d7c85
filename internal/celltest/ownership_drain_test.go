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

// loadBalancer selects ready processes for requests, as the load balancer of the platform does: it probes the readiness of
// each process at intervals.
type loadBalancer struct {
	mu       sync.Mutex
	nodes    []*devcell.Node
	ready    []*devcell.Node
	probedAt time.Time // start of the round of probes that set ready
}

func (b *loadBalancer) set(nodes []*devcell.Node) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.nodes = nodes
}

func (b *loadBalancer) probe(ctx context.Context) {
	b.mu.Lock()
	nodes := b.nodes
	b.mu.Unlock()
	probedAt := time.Now()
	responses := make([]error, len(nodes))
	var probes sync.WaitGroup
	for i, n := range nodes {
		probes.Go(func() {
			client := callerhttp.NewClient(n.CallerAddress(), "")
			responses[i] = client.Ready(ctx)
			_ = client.Close()
		})
	}
	probes.Wait()
	var ready []*devcell.Node
	for i, n := range nodes {
		if responses[i] == nil {
			ready = append(ready, n)
		}
	}
	b.mu.Lock()
	b.ready, b.probedAt = ready, probedAt
	b.mu.Unlock()
}

// maxProbeAge is the age from which the load balancer does not use the result of a probe. A draining process accepts
// connections for drainAcceptPeriod after it has ceased to be ready, so an older result says nothing about the process.
const maxProbeAge = drainAcceptPeriod / 2

// pick returns a ready process, or nil, and the time since the probes that found it ready.
func (b *loadBalancer) pick(i int) (*devcell.Node, time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	age := time.Since(b.probedAt)
	if len(b.ready) == 0 || age > maxProbeAge {
		return nil, 0
	}
	return b.ready[i%len(b.ready)], age
}

// drainAcceptPeriod is the time for which a draining process still accepts connections.
const drainAcceptPeriod = time.Second

// longRunTime is longer than drainAcceptPeriod, so that requests are in progress when the listener closes.
const longRunTime = 1500 * time.Millisecond

// load sends requests from concurrent callers until the context ends. It returns the number of completed requests and the
// errors of the failed ones.
func (b *loadBalancer) load(ctx context.Context, callers int, runTime time.Duration) (completed int64, failures []error) {
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
				id, d := fmt.Sprintf("load-%d-%d", c, i), runTime
				if c%4 == 0 {
					d = longRunTime
				}
				sent := time.Now()
				if err := runRequest(context.Background(), n, id, d); err != nil {
					mu.Lock()
					failures = append(failures, fmt.Errorf(
						"%s through %s, %v after it was selected, %v after its readiness probe: %w", id, n.ID, time.Since(sent), age+time.Since(sent), err))
					mu.Unlock()
				}
				count.Add(1)
			}
		})
	}
	running.Wait()
	return count.Load(), failures
}

// TestRollingReplacement verifies guarantee 7: while every process of the cell is replaced, one after the other, every
// request succeeds and runs once.
func TestRollingReplacement(t *testing.T) {
	t.Parallel()
	cell, recorder := startRecordedCell(t, devcell.Settings{Processes: 3, Workers: 6, DrainAcceptPeriod: drainAcceptPeriod})
	b := &loadBalancer{}
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
		replaced <- replaceAllNodes(ctx, cell, b)
	}()
	completed, failures := b.load(ctx, 12, 50*time.Millisecond)
	if err := <-replaced; err != nil {
		t.Fatal(err)
	}
	for i, err := range failures {
		if i < 5 {
			t.Error(err)
		}
	}
	recorder.check(t, cell, true)
	t.Logf("%d requests completed, %d of them failed", completed, len(failures))
	if completed < 100 {
		t.Errorf("%d requests completed, want at least 100", completed)
	}
}

func replaceAllNodes(ctx context.Context, cell *devcell.Cell, b *loadBalancer) error {
	nodes := append([]*devcell.Node(nil), cell.Nodes...)
	for i := range nodes {
		previous := nodes[i]
		replacement, err := cell.AddNode(fmt.Sprintf("entry-%d", len(cell.Nodes)+1), i)
		if err != nil {
			return err
		}
		client := callerhttp.NewClient(replacement.CallerAddress(), "")
		for client.Ready(ctx) != nil && ctx.Err() == nil {
			time.Sleep(20 * time.Millisecond)
		}
		_ = client.Close()
		nodes[i] = replacement
		b.set(append([]*devcell.Node{previous}, nodes...))
		previous.Stop()
		cell.RemoveVM(string(previous.ID))
		b.set(append([]*devcell.Node(nil), nodes...))
	}
	return nil
}
