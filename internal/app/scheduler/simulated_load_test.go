package scheduler

import (
	"context"
	"fmt"
	"hash/fnv"
	"maps"
	"math/rand/v2"
	"os"
	"runtime"
	"slices"
	"strconv"
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
	running map[workflow.RunRef]time.Time // when they started
	slow    bool                          // takes slowFactor times as long
	rack    string
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
	jobs     map[workflow.ID]*simulatedJob
	revision ident.Revision
	starts   int
}

// simulatedJob is a job that was submitted.
type simulatedJob struct {
	priority  int
	duration  time.Duration // of each task
	rack      string        // with the data; tasks take simulatedRemoteFactor times as long on others
	submitted time.Time
	started   time.Time // zero before its first task starts
	left      int       // tasks that are not done
	ended     time.Time // zero before its last task is done
}

// slowFactor is how much longer tasks take on a slow worker.
const slowFactor = 2.2

// simulatedRemoteFactor is how much longer tasks take off the rack with their data.
const simulatedRemoteFactor = 3

// taking returns how long the worker takes for a task of the job.
func (w *simulatedWorker) taking(job *simulatedJob) time.Duration {
	duration := float64(job.duration)
	if w.slow {
		duration *= slowFactor
	}
	if job.rack != "" && job.rack != w.rack {
		duration *= simulatedRemoteFactor
	}
	return time.Duration(duration)
}

// simulatedLatency is the time of a message to a worker or back.
const simulatedLatency = time.Millisecond

func newSimulatedCell() *simulatedCell {
	return &simulatedCell{
		began: time.Now().Add(-time.Minute), workers: map[ident.WorkerID]*simulatedWorker{}, jobs: map[workflow.ID]*simulatedJob{},
	}
}

func (c *simulatedCell) Start(_ context.Context, to port.Target, request port.StartRequest) (time.Duration, error) {
	time.Sleep(2 * simulatedLatency)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.starts++
	c.workers[to.Worker].running[request.RunRef] = time.Now()
	job := c.jobs[request.Task.Job]
	if job.started.IsZero() {
		job.started = time.Now()
	}
	time.AfterFunc(c.workers[to.Worker].taking(job), func() { c.end(to.Worker, request.RunRef, workflow.Done) })
	return time.Since(c.began), nil
}

func (c *simulatedCell) end(id ident.WorkerID, run workflow.RunRef, outcome workflow.Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.workers[id]
	if _, running := w.running[run]; !running {
		return
	}
	delete(w.running, run)
	if job := c.jobs[run.Task.Job]; outcome == workflow.Done {
		if job.left--; job.left == 0 {
			job.ended = time.Now()
		}
	}
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
	for run, started := range w.running {
		percent := int(100 * time.Since(started) / w.taking(c.jobs[run.Task.Job]))
		reply.Running = append(reply.Running, port.RunningRun{RunRef: run, Progress: percent})
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

func (c *simulatedCell) addWorkers(s *Scheduler, count int, milliCores int64) {
	for i := range count {
		id := ident.WorkerID(fmt.Sprintf("w%04d", i))
		c.workers[id] = &simulatedWorker{running: map[workflow.RunRef]time.Time{}, changed: make(chan struct{}, 1)}
		s.addWorker(pool.WorkerInfo{
			ID: id, Service: "desk", Incarnation: 1, Capacity: resource.Vector{MilliCores: milliCores, MemoryBytes: 64 << 30},
		})
		s.setRecorded(id, true)
	}
}

// makeSlow makes each third worker one of a slow kind.
func (c *simulatedCell) makeSlow(s *Scheduler) {
	for i, id := range slices.Sorted(maps.Keys(c.workers)) {
		info := s.monitors[id].worker.Info()
		info.Labels = []string{"quick"}
		if i%3 == 2 {
			info.Labels, c.workers[id].slow = []string{"slow"}, true
		}
		s.monitors[id].worker.UpdateInfo(info)
		s.assignKind(s.monitors[id].worker)
	}
}

// simulatedKind is a kind of jobs as on the large cell of the users.
type simulatedKind struct {
	name      string
	priority  int
	perSecond float64
	steps     int
	width     int // mean number of tasks of a step
	size      resource.Vector
	duration  time.Duration // mean of its tasks
	policy    route.PermitPolicy
	objective route.Objective
}

var simulatedKinds = []simulatedKind{
	{
		name: "urgent", priority: 0, perSecond: 41, steps: 2, width: 11, size: resource.Vector{MilliCores: 7000, MemoryBytes: 13 << 30},
		duration: 850 * time.Millisecond,
		policy:   route.PermitPolicy{CallLatency: 43 * time.Millisecond, WorkerLatency: 611 * time.Microsecond},
	},
	{
		name: "wide", priority: 2, perSecond: 6.2, steps: 2, width: 41, size: resource.Vector{MilliCores: 9000, MemoryBytes: 13 << 30},
		duration: 3200 * time.Millisecond,
		policy:   route.PermitPolicy{CallLatency: 572 * time.Millisecond, WorkerLatency: 8060 * time.Microsecond},
	},
	{
		name: "lasting", priority: 1, perSecond: 0.45, steps: 1, width: 40, size: resource.Vector{MilliCores: 9000, MemoryBytes: 9 << 30},
		duration: 40 * time.Second,
		policy:   route.PermitPolicy{CallLatency: 416 * time.Millisecond, WorkerLatency: 5980 * time.Microsecond},
	},
}

// submit announces a job of the kind to the leader.
func (c *simulatedCell) submit(s *Scheduler, number int, k simulatedKind, random *rand.Rand) {
	job := port.AcceptedJob{Spec: workflow.Spec{ID: workflow.ID(fmt.Sprintf("%s-%d", k.name, number))}, AcceptedAt: time.Now()}
	submitted := &simulatedJob{
		priority: k.priority, submitted: time.Now(), duration: time.Duration((0.5 + random.Float64()) * float64(k.duration)),
	}
	for i := range k.steps {
		step := workflow.Step{Count: 1 + random.IntN(2*k.width), Checkpointing: k.priority > 0, Size: k.size}
		step.Estimate = time.Duration((0.1 + 1.8*random.Float64()) * float64(submitted.duration)) // callers are off by up to 90%
		submitted.left += step.Count
		if i > 0 {
			step.DependsOn = []int{i - 1}
		}
		job.Spec.Steps = append(job.Spec.Steps, step)
	}
	policy := k.policy
	job.Queue = route.Queue{Name: k.name, Service: "desk", MaxAttempts: 3, Priority: k.priority, PermitPolicy: &policy, Objective: k.objective}
	c.mu.Lock()
	c.jobs[job.Spec.ID] = submitted
	c.mu.Unlock()
	_ = s.Notify(context.Background(), job)
}

// submitFor submits jobs of the kinds at a multiple of their usual rates.
func (c *simulatedCell) submitFor(s *Scheduler, kinds []simulatedKind, length time.Duration, load float64) {
	const tick = 5 * time.Millisecond
	random := rand.New(rand.NewPCG(1, 2))
	due := make([]float64, len(kinds))
	for range length / tick {
		for i, k := range kinds {
			for due[i] += load * k.perSecond * tick.Seconds(); due[i] >= 1; due[i]-- {
				c.submit(s, len(c.jobs), k, random)
			}
		}
		time.Sleep(tick)
	}
}

// urgentWaits returns how long jobs of the highest priority took to their first start, or have waited for it, in ascending order.
func (c *simulatedCell) urgentWaits() []time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	var waits []time.Duration
	for _, job := range c.jobs {
		switch {
		case job.priority != 0:
		case job.started.IsZero():
			waits = append(waits, time.Since(job.submitted))
		default:
			waits = append(waits, job.started.Sub(job.submitted))
		}
	}
	slices.Sort(waits)
	return waits
}

// urgentStart is within what the users plan for urgent work.
const urgentStart = 1100 * time.Millisecond

// TestSimulatedLoad guards against urgent work that starts late on a large cell under its usual load. It also reports what a start costs
// the leader, with its surroundings: SIMULATED_LOAD is a multiple of the usual load, SIMULATED_SECONDS the length.
func TestSimulatedLoad(t *testing.T) {
	load, seconds := setting(t, "SIMULATED_LOAD", 1), setting(t, "SIMULATED_SECONDS", 2)
	synctest.Test(t, func(t *testing.T) {
		s, c := newLeaderFor(t), newSimulatedCell()
		passes, tried := 0, 0
		s.ports = Ports{
			Store: c, RecordCodec: noProgressCodec{}, RunClient: c, PermitClient: c, PeerPermitClients: c,
			ObservePass: func(p port.PlacementPass) { passes, tried = passes+1, tried+p.Tried },
		}
		s.historyRead = true
		s.mu.Lock()
		c.addWorkers(s, 1100, 32000)
		s.mu.Unlock()
		s.goTask(func() { s.runPlacement(s.ctx) })
		s.goTask(func() { s.reportWaits(s.ctx) })
		for range committers {
			s.goTask(func() { s.commitProgress(s.ctx) })
		}
		time.Sleep(2 * time.Second)
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		cpu := processTime()
		c.submitFor(s, simulatedKinds, time.Duration(seconds*float64(time.Second)), load)
		cpu = processTime() - cpu
		runtime.ReadMemStats(&after)
		waits := c.urgentWaits()
		s.cancel()
		s.wg.Wait()
		starts := c.starts
		if starts == 0 || len(waits) == 0 {
			t.Fatalf("%d starts, %d urgent jobs", starts, len(waits))
		}
		t.Logf("%d starts, %.0f us of processor time and %d allocations a start, %d passes tried %d steps, urgent jobs start within %v, half within %v",
			starts, float64(cpu.Microseconds())/float64(starts), (after.Mallocs-before.Mallocs)/uint64(starts), passes, tried,
			waits[len(waits)-1], waits[len(waits)/2])
		if late := waits[len(waits)-1]; load == 1 && late > urgentStart {
			t.Errorf("an urgent job starts after %v, want %v", late, urgentStart)
		}
	})
}

// setting returns a number from the environment.
func setting(t *testing.T, name string, byDefault float64) float64 {
	t.Helper()
	text := os.Getenv(name)
	if text == "" {
		return byDefault
	}
	value, err := strconv.ParseFloat(text, 64)
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	return value
}

// processTime returns the processor time that this process has used.
func processTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage) // fails only for invalid arguments
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
