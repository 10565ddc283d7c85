package grant_test

import (
	"bufio"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"skylarkstall/internal/domain/grant"
	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/resource"
	"skylarkstall/internal/domain/work"
	"skylarkstall/internal/domain/worker"
	"skylarkstall/internal/fault"
)

var (
	startTime = time.Unix(1_700_000_000, 0)
	oneTask   = resource.Vector{MilliCores: 1000, Slots: 1}
)

// traceRunner drives the aggregates of one worker and of two processes that use it, with one start message in flight.
type traceRunner struct {
	t        *testing.T
	grant    *grant.WorkerState
	workers  map[string]*worker.Worker
	inflight work.StartRequest
	lastTask string // a task of the last inventory or expiry, or "nothing"
}

func newTraceRunner(t *testing.T) *traceRunner {
	return &traceRunner{
		t: t, grant: grant.New(oneTask, "kochi-a", "rack-1"),
		workers: map[string]*worker.Worker{
			"a": worker.New("worker-01", 6*time.Second), "b": worker.New("worker-01", 6*time.Second),
		},
	}
}

func task(name string) ident.TaskID {
	return ident.TaskID{Work: ident.WorkID{Team: "vembanad", Request: ident.RequestID(name)}}
}

// claim claims the worker as the owner does: once more with a higher epoch when the first epoch was too low.
func (r *traceRunner) claim(now time.Time, process string, supersede bool) error {
	w := r.workers[process]
	inv, err := r.grant.Claim(now, w.NewClaim(now, ident.ProcessID(process), false, 30*time.Second))
	if err != nil {
		w.ClaimRefused(inv.Epoch)
		inv, err = r.grant.Claim(now, w.NewClaim(now, ident.ProcessID(process), supersede, 30*time.Second))
	}
	if err != nil {
		return err
	}
	w.ClaimGranted(now, inv)
	var running []ident.TaskID
	for _, one := range inv.Running {
		running = append(running, one.Task)
	}
	r.noteTasks(running)
	return nil
}

// noteTasks keeps the last of the tasks that an inventory or an expiry lists.
func (r *traceRunner) noteTasks(tasks []ident.TaskID) {
	r.lastTask = "nothing"
	for _, one := range tasks {
		r.lastTask = string(one.Work.Request)
	}
}

func (r *traceRunner) newStart(now time.Time, process, name, attempt string) work.StartRequest {
	n, err := strconv.Atoi(attempt)
	if err != nil {
		r.t.Fatal(err)
	}
	return work.StartRequest{
		Epoch: r.workers[process].Snapshot(now).Epoch, Task: task(name), Attempt: ident.Attempt(n), Size: oneTask,
	}
}

func (r *traceRunner) step(now time.Time, op string, args []string) error {
	switch op {
	case "claim", "supersede":
		return r.claim(now, args[0], op == "supersede")
	case "reserve":
		_, err := r.workers[args[0]].Reserve(now, work.Spec{ID: task(args[1]), Attempt: 1, Size: oneTask})
		return err
	case "send":
		r.inflight = r.newStart(now, args[0], args[1], args[2])
		return nil
	case "deliver":
		_, err := r.grant.Start(now, now, r.inflight)
		return err
	case "start":
		_, err := r.grant.Start(now, now, r.newStart(now, args[0], args[1], args[2]))
		return err
	case "finish":
		r.grant.Finish(work.Outcome{Task: task(args[0]), Attempt: 1, OK: true})
		return nil
	case "sync":
		_, err := r.grant.Sync(now, work.SyncRequest{Epoch: r.workers[args[0]].Snapshot(now).Epoch})
		return err
	case "release":
		return r.grant.Release(now, r.workers[args[0]].Snapshot(now).Epoch)
	case "expire":
		r.noteTasks(r.grant.ExpireTasks(now))
		return nil
	default:
		r.t.Fatalf("unknown transition %q", op)
		return nil
	}
}

// TestTracesOfSpec guards against differences between the aggregates and the model spec/worker.pml: each transition
// must have the same result as in the model.
func TestTracesOfSpec(t *testing.T) {
	file, err := os.Open("testdata/worker_traces.txt")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	r, name := newTraceRunner(t), ""
	for lines := bufio.NewScanner(file); lines.Scan(); {
		line := strings.TrimSpace(lines.Text())
		switch {
		case line == "" || line[0] == '#':
			continue
		case strings.HasPrefix(line, "trace "):
			r, name = newTraceRunner(t), line
			continue
		}
		left, want, _ := strings.Cut(line, " : ")
		fields := strings.Fields(left)
		seconds, err := strconv.Atoi(fields[0])
		if err != nil {
			t.Fatalf("%s: %s: %v", name, line, err)
		}
		got := "ok"
		if err := r.step(startTime.Add(time.Duration(seconds)*time.Second), fields[1], fields[2:]); err != nil {
			got = fault.KindOf(err).String()
		}
		if strings.HasPrefix(want, "ok with") {
			got += " with " + r.lastTask
		}
		if got != want {
			t.Errorf("%s: %s: got %q", name, line, got)
		}
	}
}

// TestAttemptsAreBounded guards against unbounded memory: attempts must be removed from the history after their
// retention time.
func TestAttemptsAreBounded(t *testing.T) {
	r := newTraceRunner(t)
	now := startTime
	for i := range 1000 {
		now = now.Add(time.Second)
		if err := r.claim(now, "a", false); err != nil {
			t.Fatal(err)
		}
		start := r.newStart(now, "a", strconv.Itoa(i), "1")
		if _, err := r.grant.Start(now, now, start); err != nil {
			t.Fatal(err)
		}
		r.grant.Finish(work.Outcome{Task: start.Task, Attempt: 1, OK: true})
	}
	if n := r.grant.RememberedAttempts(); n > 62 {
		t.Errorf("%d attempts remembered after 1000 starts at one per second; want only those of the last minute", n)
	}
}
