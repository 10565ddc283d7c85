package scheduler

import (
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"os"
	"runtime"
	"runtime/pprof"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/permit"
	"skylarkstall/internal/domain/pool"
	"skylarkstall/internal/domain/resource"
	"skylarkstall/internal/domain/route"
	"skylarkstall/internal/domain/workflow"
	"skylarkstall/internal/port"
)

// simulatedWorker runs tasks for as long as they declare.
type simulatedWorker struct {
	running map[workflow.RunRef]bool
	ended   []port.EndedRun
	numbers uint64
	changed chan struct{}
}

// simulatedCell is what surrounds a leader: workers, the permit service and the store. Calls take as long as on a cell of the users.
type simulatedCell struct {
	port.TxnStore
	began time.Time

	mu       sync.Mutex
	workers  map[ident.WorkerID]*simulatedWorker
	duration map[workflow.ID]time.Duration // of the tasks of a job
	revision ident.Revision
	starts   int
}

const simulatedLatency = time.Millisecond

func (c *simulatedCell) Start(_ context.Context, to port.Target, request port.StartRequest) (time.Duration, error) {
	time.Sleep(2 * simulatedLatency)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.starts++
	c.workers[to.Worker].running[request.RunRef] = true
	time.AfterFunc(c.duration[request.Task.Job], func() { c.end(to.Worker, request.RunRef, workflow.Done) })
	return time.Since(c.began), nil
}

func (c *simulatedCell) end(id ident.WorkerID, run workflow.RunRef, outcome workflow.Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.workers[id]
	if !w.running[run] {
		return
	}
	delete(w.running, run)
	w.numbers++
	w.ended = append(w.ended, port.EndedRun{Number: w.numbers, End: workflow.End{Run: run, Outcome: outcome}})
	select {
	case w.changed <- struct{}{}:
	default:
	}
}

func (c *simulatedCell) Stop(_ context.Context, to port.Target, run workflow.RunRef, _ ident.Epoch) error {
	time.Sleep(2 * simulatedLatency)
	c.end(to.Worker, run, workflow.Stopped)
	return nil
}

func (c *simulatedCell) Throttle(context.Context, port.Target, pool.Throttle, ident.Epoch) error {
	return nil
}

func (c *simulatedCell) Sync(ctx context.Context, to port.Target, request port.SyncRequest) (port.SyncReply, error) {
	time.Sleep(simulatedLatency)
	c.mu.Lock()
	w := c.workers[to.Worker]
	for len(w.ended) > 0 && w.ended[0].Number <= request.AckThrough {
		w.ended = w.ended[1:]
	}
	empty := len(w.ended) == 0
	c.mu.Unlock()
	if empty {
		select {
		case <-w.changed:
		case <-time.After(request.Wait):
		case <-ctx.Done():
			return port.SyncReply{}, ctx.Err()
		}
	}
	time.Sleep(simulatedLatency)
	c.mu.Lock()
	defer c.mu.Unlock()
	reply := port.SyncReply{WorkerClock: time.Since(c.began), Incarnation: 1}
	for run := range w.running {
		reply.Running = append(reply.Running, port.RunningRun{RunRef: run})
	}
	reply.Ended = append(reply.Ended, w.ended...)
	return reply, nil
}

func (c *simulatedCell) RequestPermits(
	_ context.Context, step workflow.StepRef, workers []ident.WorkerID,
) (map[ident.WorkerID]permit.Ticket, error) {
	expires := time.Now().Add(2500 * time.Millisecond)
	time.Sleep(50*time.Millisecond + time.Duration(len(workers))*time.Millisecond)
	tickets := map[ident.WorkerID]permit.Ticket{}
	for _, id := range workers {
		hash := fnv.New32()
		fmt.Fprint(hash, step, id)
		if hash.Sum32()%100 < 40 {
			tickets[id] = permit.Ticket{Value: "t", Expires: expires}
		}
	}
	return tickets, nil
}

func (c *simulatedCell) RequestPermitsVia(
	ctx context.Context, _ ident.ProcessID, step workflow.StepRef, workers []ident.WorkerID,
) (map[ident.WorkerID]permit.Ticket, error) {
	return c.RequestPermits(ctx, step, workers)
}

func (c *simulatedCell) Peers() []ident.ProcessID {
	var names []ident.ProcessID
	for i := range 146 {
		names = append(names, ident.ProcessID(fmt.Sprintf("p%03d", i)))
	}
	return names
}

func (c *simulatedCell) Commit(context.Context, port.Txn) (port.CommitResult, error) {
	time.Sleep(4 * time.Millisecond)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.revision++
	return port.CommitResult{Revision: c.revision}, nil
}

type noProgressCodec struct{ port.RecordCodec }

func (noProgressCodec) EncodeProgress(workflow.Progress) []byte { return nil }

func (c *simulatedCell) addWorkers(s *Scheduler, count int) {
	for i := range count {
		id := ident.WorkerID(fmt.Sprintf("w%04d", i))
		c.workers[id] = &simulatedWorker{running: map[workflow.RunRef]bool{}, changed: make(chan struct{}, 1)}
		s.addWorker(pool.WorkerInfo{
			ID: id, Service: "desk", Incarnation: 1, Capacity: resource.Vector{MilliCores: 32000, MemoryBytes: 64 << 30},
		})
		s.setRecorded(id, true)
	}
}

type simulatedKind struct {
	name     string
	priority int
	perS     float64
	steps    int
	width    int
	cores    int64
	memGB    int64
	duration time.Duration
	policy   route.PermitPolicy
}

func (c *simulatedCell) submit(s *Scheduler, number int, k simulatedKind, r *rand.Rand) {
	job := port.AcceptedJob{Spec: workflow.Spec{ID: workflow.ID(fmt.Sprintf("%s-%d", k.name, number))}, AcceptedAt: time.Now()}
	for i := range k.steps {
		step := workflow.Step{Count: 1 + r.IntN(2*k.width), Checkpointing: k.priority > 0}
		step.Size = resource.Vector{MilliCores: k.cores, MemoryBytes: k.memGB << 30}
		if i > 0 {
			step.DependsOn = []int{i - 1}
		}
		job.Spec.Steps = append(job.Spec.Steps, step)
	}
	policy := k.policy
	job.Queue = route.Queue{Name: k.name, Service: "desk", MaxAttempts: 3, Priority: k.priority, PermitPolicy: &policy}
	c.mu.Lock()
	c.duration[job.Spec.ID] = time.Duration((0.5 + r.Float64()) * float64(k.duration))
	c.mu.Unlock()
	_ = s.Notify(context.Background(), job)
}

func TestSimulatedLoad(t *testing.T) {
	rate := 1.0
	if v := os.Getenv("SIM_RATE"); v != "" {
		fmt.Sscan(v, &rate)
	}
	kinds := []simulatedKind{
		{"proof", 0, 41, 2, 11, 7000, 13, 850 * time.Millisecond, route.PermitPolicy{CallLatency: 43 * time.Millisecond, WorkerLatency: 611 * time.Microsecond}},
		{"colour", 2, 6.2, 2, 41, 9000, 13, 3200 * time.Millisecond, route.PermitPolicy{CallLatency: 572 * time.Millisecond, WorkerLatency: 8060 * time.Microsecond}},
		{"plate", 1, 0.45, 1, 40, 9000, 9, 40 * time.Second, route.PermitPolicy{CallLatency: 416 * time.Millisecond, WorkerLatency: 5980 * time.Microsecond}},
	}
	if p := os.Getenv("SIM_PROFILE"); p != "" {
		f, _ := os.Create(p)
		_ = pprof.StartCPUProfile(f)
		defer pprof.StopCPUProfile()
	}
	synctest.Test(t, func(t *testing.T) {
		s := newLeaderFor(t)
		c := &simulatedCell{began: time.Now().Add(-time.Minute), workers: map[ident.WorkerID]*simulatedWorker{}, duration: map[workflow.ID]time.Duration{}}
		passes, tried := 0, 0
		s.ports = Ports{Store: c, RecordCodec: noProgressCodec{}, RunClient: c, PermitClient: c, PeerPermitClients: c,
			ObservePass: func(p port.PlacementPass) { passes++; tried += p.Tried }}
		s.historyRead = true
		s.mu.Lock()
		c.addWorkers(s, 1100)
		s.mu.Unlock()
		s.goTask(func() { s.runPlacement(s.ctx) })
		s.goTask(func() { s.reportWaits(s.ctx) })
		for range committers {
			s.goTask(func() { s.commitProgress(s.ctx) })
		}
		time.Sleep(2 * time.Second)
		r := rand.New(rand.NewPCG(1, 2))
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		cpu := processTime()
		const seconds = 15
		due := make([]float64, len(kinds))
		for i := range seconds * 200 {
			for k, kind := range kinds {
				for due[k] += rate * kind.perS / 200; due[k] >= 1; due[k]-- {
					c.submit(s, 10*i+k, kind, r)
				}
			}
			time.Sleep(5 * time.Millisecond)
		}
		runtime.ReadMemStats(&after)
		cpu = processTime() - cpu
		s.mu.Lock()
		open, ready := len(s.openJobs), 0
		for _, e := range s.openJobs {
			ready += len(e.workflow.Ready(time.Now()))
		}
		s.mu.Unlock()
		t.Logf("starts %d (%d/s) cpu %v (%.0f us/start) mallocs/start %.0f KB/start %.1f passes %d tried %d open %d ready %d",
			c.starts, c.starts/seconds, cpu, float64(cpu.Microseconds())/float64(c.starts),
			float64(after.Mallocs-before.Mallocs)/float64(c.starts), float64(after.TotalAlloc-before.TotalAlloc)/1024/float64(c.starts),
			passes, tried, open, ready)
		s.cancel()
	})
}

func processTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
