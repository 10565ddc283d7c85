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
	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/reservation"
	"skylarkstall/internal/domain/resource"
	"skylarkstall/internal/domain/work"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/port"
	"skylarkstall/internal/standin/worker"
)

// startCheckedCell starts a cell with an invariant checker, whose violations fail the test at its end.
func startCheckedCell(t *testing.T, settings devcell.Settings) (*devcell.Cell, context.Context, *devcell.InvariantChecker) {
	t.Helper()
	if settings.Capacity.IsZero() {
		settings.Capacity = devcell.DefaultCapacity
	}
	checker := devcell.NewInvariantChecker(settings.Capacity)
	settings.Observe = checker.Observe
	cell, ctx := startJobsCell(t, settings)
	t.Cleanup(func() {
		for _, v := range checker.Violations() {
			t.Error(v)
		}
	})
	return cell, ctx, checker
}

func submitJob(t *testing.T, ctx context.Context, c *callerhttp.Client, call callerhttp.JobRequest) {
	t.Helper()
	if _, err := c.Submit(ctx, call); err != nil {
		t.Fatalf("submit %s: %v", call.RequestID, err)
	}
}

// awaitJob follows the progress of a job, also across a change of its home, until the job is complete.
func awaitJob(t *testing.T, ctx context.Context, c *callerhttp.Client, team, id string) callerhttp.JobStatus {
	t.Helper()
	for ctx.Err() == nil {
		last, err := c.WatchJob(ctx, team, id, func(callerhttp.JobStatus) error { return nil })
		if err == nil {
			return last
		}
		if !fault.KindOf(err).Response().Retryable {
			t.Fatalf("follow progress of job %s: %v", id, err)
		}
	}
	t.Fatalf("job %s is not complete: %v", id, ctx.Err())
	return callerhttp.JobStatus{}
}

// homeOf returns the index of the process that is the home of the work, and that of another process.
func homeOf(ctx context.Context, cell *devcell.Cell, id ident.WorkID) (home, other int) {
	statuses, _ := cell.Nodes[0].CellStatus(ctx)
	for _, s := range statuses {
		for _, p := range s.Partitions {
			for i, n := range cell.Nodes {
				if p == id.Partition() && n.ID == s.Heartbeat.Peer.ID {
					return i, (i + 1) % len(cell.Nodes)
				}
			}
		}
	}
	return 0, 1
}

// gangRunTime is how long the tasks of a gang run. A start that is later than the expiry of the reservations is refused, so
// all tasks of a gang run at once if each runs for that time.
const gangRunTime = reservation.TTL

// TestGangsContend guards against gangs that deadlock and against gangs that start only some of their tasks. Each gang
// needs more than half of the cell, so they can only run one after the other.
func TestGangsContend(t *testing.T) {
	t.Parallel()
	cell, ctx, checker := startCheckedCell(t, devcell.Settings{Processes: 3, Workers: 3})
	const gangs, tasks = 4, 16
	var running sync.WaitGroup
	for i := range gangs {
		client := newClient(cell, i%3, "vembanad")
		id := fmt.Sprintf("gang-%d", i)
		submitJob(t, ctx, client, callerhttp.JobRequest{
			Team: "vembanad", RequestID: id, Kind: "press-run", Tasks: tasks,
			Payload: marshalPayload(t, worker.Payload{RunMS: gangRunTime.Milliseconds()}),
		})
		running.Go(func() {
			status := awaitJob(t, ctx, client, "vembanad", id)
			work := ident.WorkID{Team: "vembanad", Request: ident.RequestID(id)}
			if n := checker.MaxConcurrent(work); status.Succeeded != tasks || n != tasks {
				t.Errorf("%s: %d of %d tasks succeeded, %d ran at once, started within %v",
					id, status.Succeeded, tasks, n, checker.StartSpread(work))
			}
		})
	}
	running.Wait()
}

// dropReservedStart calls onDrop at the first start of a reserved task in place of forwarding it to the owner. The call
// blocks until its context ends.
type dropReservedStart struct {
	port.Peers
	once   *sync.Once
	onDrop func()
}

func (d dropReservedStart) Place(ctx context.Context, to ident.ProcessID, call port.Place) (work.Outcome, error) {
	dropped := false
	if call.Reserved {
		d.once.Do(func() { dropped = true; d.onDrop() })
	}
	if dropped {
		<-ctx.Done()
		return work.Outcome{}, fault.New(fault.Interrupted, "start of task %s dropped by the test", call.Spec.ID)
	}
	return d.Peers.Place(ctx, to, call)
}

// TestGangHomeKilledBeforeCommit guards against capacity that stays reserved for a dead home, and against a gang that its
// new home loses or starts only in part. The gang needs nearly the whole cell, so capacity that stays reserved would keep
// it from starting.
func TestGangHomeKilledBeforeCommit(t *testing.T) {
	t.Parallel()
	var once sync.Once
	killed := make(chan ident.ProcessID, 1)
	cell, ctx, checker := startCheckedCell(t, devcell.Settings{
		Processes: 3, Workers: 3,
		WrapPeers: func(id ident.ProcessID, peers port.Peers) port.Peers {
			return dropReservedStart{peers, &once, func() { killed <- id }}
		},
	})
	const tasks = 22 // of 24 slots; the policy keeps the others free for requests
	id := ident.WorkID{Team: "vembanad", Request: "whole-cell"}
	_, other := homeOf(ctx, cell, id)
	client := newClient(cell, other, "vembanad")
	submitJob(t, ctx, client, callerhttp.JobRequest{
		Team: "vembanad", RequestID: "whole-cell", Kind: "press-run", Tasks: tasks,
		Payload: marshalPayload(t, worker.Payload{RunMS: gangRunTime.Milliseconds()}),
	})
	dead := <-killed // the home, which may have changed since before the submission
	for i, n := range cell.Nodes {
		if n.ID == dead {
			n.Kill()
			client = newClient(cell, (i+1)%len(cell.Nodes), "vembanad")
		}
	}
	status := awaitJob(t, ctx, client, "vembanad", "whole-cell")
	if n := checker.MaxConcurrent(id); status.Succeeded != tasks || n != tasks {
		t.Errorf("%d of %d tasks succeeded, %d ran at once, started within %v", status.Succeeded, tasks, n, checker.StartSpread(id))
	}
}

// otherIDInPartition returns a different id of the same partition.
func otherIDInPartition(id ident.WorkID) ident.WorkID {
	other := id
	for i := 0; other == id || other.Partition() != id.Partition(); i++ {
		other.Request = ident.RequestID(fmt.Sprintf("%s-%d", id.Request, i))
	}
	return other
}

// TestProcessKilledUnderBatch guards against tasks that are lost or run in two places when an owner or the home dies.
// The first batch fills the workers of the home, so that tasks of the second one run on workers of the other processes.
// They keep running while their workers have no owner, and free capacity elsewhere would allow a second start.
func TestProcessKilledUnderBatch(t *testing.T) {
	for _, victim := range []string{"owner", "home"} {
		t.Run(victim, func(t *testing.T) {
			t.Parallel()
			cell, ctx, checker := startCheckedCell(t, devcell.Settings{Processes: 3, Workers: 6})
			first := ident.WorkID{Team: "vembanad", Request: "batch"}
			second := otherIDInPartition(first)
			home, other := homeOf(ctx, cell, first)
			killed, survivor := home, other
			if victim == "owner" {
				killed, survivor = other, home
			}
			client := newClient(cell, survivor, "vembanad")
			tasks := map[ident.WorkID]uint32{first: 16, second: 12}
			for _, id := range []ident.WorkID{first, second} {
				submitJob(t, ctx, client, callerhttp.JobRequest{
					Team: "vembanad", RequestID: string(id.Request), Kind: "separation", Tasks: tasks[id],
					Payload: marshalPayload(t, worker.Payload{RunMS: 7000, Echo: "separated"}),
				})
				for checker.MaxConcurrent(id) < int(tasks[id]) && ctx.Err() == nil {
					time.Sleep(10 * time.Millisecond)
				}
			}
			cell.Nodes[killed].Kill()
			for id, n := range tasks {
				if status := awaitJob(t, ctx, client, "vembanad", string(id.Request)); status.Succeeded != n {
					t.Errorf("%s: want %d succeeded tasks, got status %+v", id, n, status)
				}
				for i := range n {
					if starts := checker.StartCount(ident.TaskID{Work: id, Index: i + 1}); starts != 1 {
						t.Errorf("task %d of %s was started %d times across the kill of its %s, want 1", i+1, id, starts, victim)
					}
				}
			}
		})
	}
}

// TestProcessKilledAfterEviction guards against a task that runs in two places after the failure of all processes: the
// worker that it had to leave still holds the outcome of its first attempt, while the second one runs elsewhere.
func TestProcessKilledAfterEviction(t *testing.T) {
	t.Parallel()
	cell, ctx, checker := startCheckedCell(t, devcell.Settings{
		Processes: 1, Workers: 4, TerminationNotice: time.Millisecond,
	})
	client := newClient(cell, 0, "vembanad")
	id := ident.WorkID{Team: "vembanad", Request: "batch"}
	const tasks = 12
	submitJob(t, ctx, client, callerhttp.JobRequest{
		Team: "vembanad", RequestID: "batch", Kind: "separation", Tasks: tasks, Payload: marshalPayload(t, worker.Payload{RunMS: 12_000}),
	})
	awaitWithin(t, 5*time.Second, "the tasks run", func() bool { return checker.RunningCount() == tasks })
	evicted := cell.Workers[0].RunningCount()
	cell.MarkDraining("worker-01")
	awaitWithin(t, 8*time.Second, "the tasks of the draining worker run elsewhere", func() bool {
		return cell.Workers[0].RunningCount() == 0 && checker.RunningCount() == tasks
	})
	cell.Nodes[0].Kill()
	restarted, err := cell.AddNode("entry-1", 0)
	if err != nil {
		t.Fatal(err)
	}
	awaitWithin(t, 20*time.Second, "the new process is ready", func() bool { return restarted.Ready() == nil })
	client = callerhttp.NewClient(restarted.CallerAddress(), "vembanad-dev-token")
	if status := awaitJob(t, ctx, client, "vembanad", "batch"); status.Succeeded != tasks {
		t.Errorf("want %d succeeded tasks, got status %+v", tasks, status)
	}
	starts := 0
	for i := range uint32(tasks) {
		starts += checker.StartCount(ident.TaskID{Work: id, Index: i + 1})
	}
	if starts != tasks+evicted {
		t.Errorf("%d starts, want %d and one more for each of %d evicted tasks", starts, tasks, evicted)
	}
}

// cancelCounter counts the cancel calls between processes and the tasks in them.
type cancelCounter struct {
	port.Peers
	calls, tasks *atomic.Int64
}

func (c cancelCounter) Cancel(
	ctx context.Context, to ident.ProcessID, tasks []ident.TaskID,
) ([]ident.TaskID, error) {
	c.calls.Add(1)
	c.tasks.Add(int64(len(tasks)))
	return c.Peers.Cancel(ctx, to, tasks)
}

// TestCancelWave guards against a burst of cancellations that takes one call per task or prevents requests from being
// placed. The workers have a core and slots beyond what the batch tasks use, so that requests need not wait for capacity.
func TestCancelWave(t *testing.T) {
	t.Parallel()
	var calls, tasks atomic.Int64
	cell, ctx, checker := startCheckedCell(t, devcell.Settings{
		Processes: 3, Workers: 6, Capacity: resource.Vector{MilliCores: 33_000, MemoryBytes: 128 << 30, Slots: 16},
		WrapPeers: func(_ ident.ProcessID, peers port.Peers) port.Peers { return cancelCounter{peers, &calls, &tasks} },
	})
	const jobs, tasksEach, requests = 10, 1000, 100
	client := newClient(cell, 0, "goldfields")
	payload := marshalPayload(t, worker.Payload{RunMS: 30_000})
	for i := range jobs {
		submitJob(t, ctx, client, callerhttp.JobRequest{
			Team: "goldfields", RequestID: fmt.Sprintf("cutting-%d", i), Kind: "last-cutting", Tasks: tasksEach, Payload: payload,
		})
	}
	// The policy keeps a part of the capacity, which is enough for 6*8 batch tasks, free for requests.
	for checker.RunningCount() < 6*7 && ctx.Err() == nil {
		time.Sleep(10 * time.Millisecond)
	}
	var running sync.WaitGroup
	for i := range jobs {
		running.Go(func() {
			if _, err := client.Cancel(ctx, "goldfields", fmt.Sprintf("cutting-%d", i)); err != nil {
				t.Errorf("cancel job %d: %v", i, err)
			}
		})
	}
	quote := marshalPayload(t, worker.Payload{RunMS: 10, Echo: "quote"})
	for i := range requests {
		running.Go(func() {
			reply, err := newClient(cell, i%3, "goldfields").Run(ctx, callerhttp.RunRequest{
				Team: "goldfields", RequestID: fmt.Sprintf("quote-%d", i), Kind: "quote", Payload: quote,
			})
			if err != nil || string(reply.Output) != "quote" {
				t.Errorf("request %d during the cancellations: output %q, error %v", i, reply.Output, err)
			}
		})
	}
	running.Wait()
	for i := range jobs {
		status := awaitJob(t, ctx, client, "goldfields", fmt.Sprintf("cutting-%d", i))
		if status.Canceled != tasksEach {
			t.Errorf("job %d: want %d canceled tasks, got status %+v", i, tasksEach, status)
		}
	}
	t.Logf("%d calls canceled %d tasks", calls.Load(), tasks.Load())
	// One call for each job and owner, and as many again for tasks that were being placed at the time of the cancellation.
	if limit := int64(2 * jobs * 3); calls.Load() > limit {
		t.Errorf("%d calls to cancel %d tasks, want at most %d", calls.Load(), jobs*tasksEach, limit)
	}
	if n := checker.RunningCount(); n > 0 {
		t.Errorf("%d tasks still running after the cancellation", n)
	}
}
