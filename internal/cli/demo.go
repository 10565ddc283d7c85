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

// demoTimeout bounds the demo from a ready cell to the last answer.
const demoTimeout = 18 * time.Second

// demoWork is one piece of work of the demo.
type demoWork struct {
	team, id, kind string
	class          string
	tasks          uint32
	runMS          int64
}

// demoPlan is work of every class for both teams. The standing tasks end by themselves and are started again until the
// demo cancels them.
var demoPlan = []demoWork{
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

// demo runs the plan, prints answers and the time line, and checks them with what the workers observed.
type demo struct {
	*app
	cell   *devcell.Cell
	checks *devcell.InvariantChecker

	mu     sync.Mutex // of the output and of failed
	failed int
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
		d.failed++
	}
	d.mu.Unlock()
	d.printf("check %-6s %s", result, fmt.Sprintf(format, args...))
}

// run returns an error when a check did not hold.
func (d *demo) run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	var running, standing sync.WaitGroup
	watched, stop := context.WithCancel(ctx)
	defer stop()
	for i, w := range demoPlan {
		client := callerhttp.NewClient(d.cell.Nodes[i%len(d.cell.Nodes)].CallerAddress(), w.team+"-dev-token")
		switch w.class {
		case "request":
			running.Go(func() { d.request(ctx, client, w) })
		case "standing":
			standing.Go(func() { d.standing(ctx, watched, client, w) })
		default:
			running.Go(func() { d.job(ctx, client, w) })
		}
	}
	running.Wait()
	stop()
	standing.Wait()
	d.checkWorkers(ctx)
	if err := d.timeline(ctx); err != nil {
		return err
	}
	if d.failed > 0 {
		return fault.New(fault.Internal, "%d checks did not hold", d.failed)
	}
	d.printf("every check held")
	return nil
}

func (w demoWork) payload() []byte {
	payload, _ := json.Marshal(worker.Payload{RunMS: w.runMS, Echo: w.answer()}) // plain fields do not fail
	return payload
}

func (w demoWork) answer() string { return w.kind + " done: " + w.id }

func (d *demo) request(ctx context.Context, client *callerhttp.Client, w demoWork) {
	began := time.Now()
	reply, err := client.Run(ctx, callerhttp.RunRequest{
		Team: w.team, RequestID: w.id, Kind: w.kind, Payload: w.payload(),
	})
	d.printf("answer %s/%s: %q", w.team, w.id, reply.Output)
	d.check(err == nil && string(reply.Output) == w.answer(), "request %s/%s has its own answer after %d ms (%s)",
		w.team, w.id, time.Since(began).Milliseconds(), errorText(err))
}

func errorText(err error) string {
	if err == nil {
		return "no error"
	}
	return err.Error()
}

func (d *demo) submit(ctx context.Context, client *callerhttp.Client, w demoWork) bool {
	reply, err := client.Submit(ctx, callerhttp.JobRequest{
		Team: w.team, RequestID: w.id, Kind: w.kind, Tasks: w.tasks, Payload: w.payload(),
	})
	d.check(err == nil && reply.Tasks == w.tasks, "%s %s/%s is accepted (%s)", w.class, w.team, w.id, errorText(err))
	return err == nil
}

func (d *demo) progress(reply callerhttp.JobStatus) error {
	d.printf("progress %s/%s: %s, %d of %d succeeded, %d running, %d waiting", reply.Team, reply.RequestID, reply.State,
		reply.Succeeded, reply.Tasks, reply.Running, reply.Waiting)
	return nil
}

// job sees a batch or a gang through to its end.
func (d *demo) job(ctx context.Context, client *callerhttp.Client, w demoWork) {
	if !d.submit(ctx, client, w) {
		return
	}
	_, err := client.WatchJob(ctx, w.team, w.id, d.progress)
	whole, resultsErr := client.JobResults(ctx, w.team, w.id)
	right := 0
	for _, r := range whole.Results {
		if r.State == "succeeded" && string(r.Output) == w.answer() {
			right++
		}
	}
	d.check(err == nil && resultsErr == nil && right == int(w.tasks), "%s %s/%s: %d of %d tasks have their answer (%s)",
		w.class, w.team, w.id, right, w.tasks, errorText(err))
	id := ident.WorkID{Team: ident.TeamID(w.team), Request: ident.RequestID(w.id)}
	if most := d.checks.MaxConcurrent(id); w.class == "gang" {
		d.check(most == int(w.tasks), "gang %s/%s: %d of %d tasks ran at the same time", w.team, w.id, most, w.tasks)
	}
}

// standing watches a standing job until the other work is done, and then cancels it.
func (d *demo) standing(ctx, watched context.Context, client *callerhttp.Client, w demoWork) {
	if !d.submit(ctx, client, w) {
		return
	}
	<-watched.Done()
	reply, err := client.Job(ctx, w.team, w.id, 0)
	d.check(err == nil && reply.Attempts > uint64(w.tasks), "standing %s/%s: %d tasks were started %d times (%s)",
		w.team, w.id, w.tasks, reply.Attempts, errorText(err))
	if _, err := client.Cancel(ctx, w.team, w.id); err != nil {
		d.check(false, "standing %s/%s is canceled (%s)", w.team, w.id, err)
		return
	}
	last, err := client.WatchJob(ctx, w.team, w.id, d.progress)
	d.check(err == nil && last.State == "canceled", "standing %s/%s has ended after its cancellation (%s)",
		w.team, w.id, errorText(err))
}

// endPause is how long the workers may take to notice the last stop.
const endPause = 20 * time.Millisecond

func (d *demo) checkWorkers(ctx context.Context) {
	for d.checks.RunningCount() > 0 && pause.For(ctx, endPause) {
		continue
	}
	faults := d.checks.Violations()
	d.check(len(faults) == 0, "no worker held more than its capacity and no task ran in two places %s",
		strings.Join(faults, "; "))
	d.check(d.checks.RunningCount() == 0, "%d tasks run after the end of all work", d.checks.RunningCount())
	once := 0
	for _, w := range demoPlan {
		if w.class != "request" {
			continue
		}
		task := ident.TaskID{Work: ident.WorkID{Team: ident.TeamID(w.team), Request: ident.RequestID(w.id)}}
		if d.checks.StartCount(task) != 1 {
			d.check(false, "request %s was started %d times", task, d.checks.StartCount(task))
			continue
		}
		once++
	}
	d.check(once > 0, "%d requests were started once", once)
}

// timeline prints the events of all processes in one order.
func (d *demo) timeline(ctx context.Context) error {
	reply, err := callerhttp.NewClient(d.cell.Nodes[0].CallerAddress(), "").Timeline(ctx, "")
	if err != nil {
		return err
	}
	d.printf("\ntime line over all processes:")
	for _, e := range reply.Events {
		d.printf("%s", e.Text)
	}
	d.printf("")
	return nil
}
