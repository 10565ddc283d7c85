package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"time"

	"skylarkstall/internal/adapter/callerhttp"
	"skylarkstall/internal/devcell"
	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/pause"
	"skylarkstall/internal/standin/worker"
)

// demoTimeout limits the demo, from the time when the cell is ready to the last response.
const demoTimeout = 18 * time.Second

// demoWorkItem is a request or a job that the demo submits.
type demoWorkItem struct {
	team, id, kind string
	class          string
	tasks          uint32
	runMS          int64
}

// demoWorkload contains work of every class for both teams. Standing tasks end on their own and are restarted until the
// demo cancels them.
var demoWorkload = []demoWorkItem{
	{"vembanad", "plate-shift", "plate-watch", "standing", 3, 700},
	{"goldfields", "kiln-season", "kiln-watch", "standing", 3, 700},
	{"vembanad", "separation-1", "separation", "batch", 60, 250},
	{"goldfields", "cutting-1", "last-cutting", "batch", 40, 250},
	{"vembanad", "press-1", "press-run", "gang", 6, 600},
	{"goldfields", "pair-1", "matched-pair", "gang", 2, 600},
	{"vembanad", "proof-1", "proof", "request", 1, 100},
	{"vembanad", "proof-2", "proof", "request", 1, 100},
	{"goldfields", "quote-1", "quote", "request", 1, 100},
	{"goldfields", "quote-2", "quote", "request", 1, 100},
}

// demo runs the workload, prints the responses and the timeline, and checks both against what the workers observed.
type demo struct {
	*app
	cell       *devcell.Cell
	invariants *devcell.InvariantChecker

	mu           sync.Mutex // guards the output and failedChecks
	failedChecks int
}

func (d *demo) printf(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	fmt.Fprintf(d.out, format+"\n", args...)
}

func (d *demo) check(ok bool, format string, args ...any) {
	result := "ok"
	d.mu.Lock()
	if !ok {
		result = "FAILED"
		d.failedChecks++
	}
	d.mu.Unlock()
	d.printf("check %-6s %s", result, fmt.Sprintf(format, args...))
}

// run returns an error if a check failed.
func (d *demo) run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	var jobs, standing sync.WaitGroup
	otherWork, stop := context.WithCancel(ctx)
	defer stop()
	for i, w := range demoWorkload {
		client := callerhttp.NewClient(d.cell.Nodes[i%len(d.cell.Nodes)].CallerAddress(), w.team+"-dev-token")
		switch w.class {
		case "request":
			jobs.Go(func() { d.runRequest(ctx, client, w) })
		case "standing":
			standing.Go(func() { d.runStanding(ctx, otherWork, client, w) })
		default:
			jobs.Go(func() { d.runJob(ctx, client, w) })
		}
	}
	jobs.Wait()
	stop()
	standing.Wait()
	d.checkWorkers(ctx)
	if err := d.printTimeline(ctx); err != nil {
		return err
	}
	if d.failedChecks > 0 {
		return fault.New(fault.Internal, "%d checks failed", d.failedChecks)
	}
	d.printf("all checks passed")
	return nil
}

func (w demoWorkItem) payload() []byte {
	payload, _ := json.Marshal(worker.Payload{RunMS: w.runMS, Echo: w.expectedOutput()}) // cannot fail for these field types
	return payload
}

func (w demoWorkItem) expectedOutput() string { return w.kind + " done: " + w.id }

func (d *demo) runRequest(ctx context.Context, client *callerhttp.Client, w demoWorkItem) {
	started := time.Now()
	reply, err := client.Run(ctx, callerhttp.RunRequest{
		Team: w.team, RequestID: w.id, Kind: w.kind, Payload: w.payload(),
	})
	d.printf("response %s/%s: %q", w.team, w.id, reply.Output)
	d.check(err == nil && string(reply.Output) == w.expectedOutput(), "request %s/%s returned its own output after %d ms (%s)",
		w.team, w.id, time.Since(started).Milliseconds(), errorText(err))
}

func errorText(err error) string {
	if err == nil {
		return "no error"
	}
	return err.Error()
}

func (d *demo) submit(ctx context.Context, client *callerhttp.Client, w demoWorkItem) bool {
	reply, err := client.Submit(ctx, callerhttp.JobRequest{
		Team: w.team, RequestID: w.id, Kind: w.kind, Tasks: w.tasks, Payload: w.payload(),
	})
	d.check(err == nil && reply.Tasks == w.tasks, "%s %s/%s was accepted (%s)", w.class, w.team, w.id, errorText(err))
	return err == nil
}

func (d *demo) printProgress(reply callerhttp.JobStatus) error {
	d.printf("progress %s/%s: %s, %d of %d succeeded, %d running, %d waiting", reply.Team, reply.RequestID, reply.State,
		reply.Succeeded, reply.Tasks, reply.Running, reply.Waiting)
	return nil
}

// runJob submits a batch or gang job, waits until it has ended and checks its results.
func (d *demo) runJob(ctx context.Context, client *callerhttp.Client, w demoWorkItem) {
	if !d.submit(ctx, client, w) {
		return
	}
	_, err := client.WatchJob(ctx, w.team, w.id, d.printProgress)
	status, resultsErr := client.JobResults(ctx, w.team, w.id)
	correct := 0
	for _, r := range status.Results {
		if r.State == "succeeded" && string(r.Output) == w.expectedOutput() {
			correct++
		}
	}
	d.check(err == nil && resultsErr == nil && correct == int(w.tasks), "%s %s/%s: %d of %d tasks returned the expected output (%s)",
		w.class, w.team, w.id, correct, w.tasks, errorText(err))
	id := ident.WorkID{Team: ident.TeamID(w.team), Request: ident.RequestID(w.id)}
	if peak := d.invariants.MaxConcurrent(id); w.class == "gang" {
		d.check(peak == int(w.tasks), "gang %s/%s: %d of %d tasks ran concurrently", w.team, w.id, peak, w.tasks)
	}
}

// Bounds of the wait for the first restart of a standing task. Its tasks may have started late, because other work came first.
const (
	restartTimeout  = 5 * time.Second
	restartInterval = 50 * time.Millisecond
)

// awaitRestart returns the status of a standing job once one of its tasks has been started again, or after restartTimeout.
func awaitRestart(ctx context.Context, client *callerhttp.Client, w demoWorkItem) (callerhttp.JobStatus, error) {
	for deadline := time.Now().Add(restartTimeout); ; {
		reply, err := client.Job(ctx, w.team, w.id, 0)
		if err != nil || reply.Attempts > uint64(w.tasks) || time.Now().After(deadline) || !pause.For(ctx, restartInterval) {
			return reply, err
		}
	}
}

// runStanding submits a standing job, waits until the context otherWork ends, which means that the other work is done,
// cancels the job and waits until it has ended.
func (d *demo) runStanding(ctx, otherWork context.Context, client *callerhttp.Client, w demoWorkItem) {
	if !d.submit(ctx, client, w) {
		return
	}
	<-otherWork.Done()
	reply, err := awaitRestart(ctx, client, w)
	d.check(err == nil && reply.Attempts > uint64(w.tasks), "standing %s/%s: %d tasks were started %d times (%s)",
		w.team, w.id, w.tasks, reply.Attempts, errorText(err))
	if _, err := client.Cancel(ctx, w.team, w.id); err != nil {
		d.check(false, "standing %s/%s was canceled (%s)", w.team, w.id, err)
		return
	}
	last, err := client.WatchJob(ctx, w.team, w.id, d.printProgress)
	d.check(err == nil && last.State == "canceled", "standing %s/%s ended after its cancellation (%s)",
		w.team, w.id, errorText(err))
}

// stopPollInterval is the interval at which the demo checks whether the workers have stopped all tasks.
const stopPollInterval = 20 * time.Millisecond

func (d *demo) checkWorkers(ctx context.Context) {
	for d.invariants.RunningCount() > 0 && pause.For(ctx, stopPollInterval) {
		continue
	}
	violations := d.invariants.Violations()
	d.check(len(violations) == 0, "no worker exceeded its capacity and no task ran on two workers at a time %s",
		strings.Join(violations, "; "))
	d.check(d.invariants.RunningCount() == 0, "%d tasks are still running after all work has ended", d.invariants.RunningCount())
	startedOnce := 0
	for _, w := range demoWorkload {
		if w.class != "request" {
			continue
		}
		task := ident.TaskID{Work: ident.WorkID{Team: ident.TeamID(w.team), Request: ident.RequestID(w.id)}}
		if d.invariants.StartCount(task) != 1 {
			d.check(false, "request %s was started %d times, want once", task, d.invariants.StartCount(task))
			continue
		}
		startedOnce++
	}
	d.check(startedOnce > 0, "%d requests were started exactly once", startedOnce)
}

// printTimeline prints the events of all processes in causal order.
func (d *demo) printTimeline(ctx context.Context) error {
	reply, err := callerhttp.NewClient(d.cell.Nodes[0].CallerAddress(), "").Timeline(ctx, "")
	if err != nil {
		return err
	}
	d.printf("\ntimeline of all processes:")
	for _, e := range reply.Events {
		d.printf("%s", e.Text)
	}
	d.printf("")
	return nil
}
