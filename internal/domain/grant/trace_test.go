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
	epochTime = time.Unix(1_700_000_000, 0)
	oneTask   = resource.Vector{MilliCores: 1000, Slots: 1}
)

// replay is one worker with two processes, and the start that is in flight.
type replay struct {
	t        *testing.T
	grant    *grant.WorkerState
	views    map[string]*worker.Worker
	inflight work.Start
	with     string
}

func newReplay(t *testing.T) *replay {
	return &replay{
		t: t, grant: grant.New(oneTask, "kochi-a", "rack-1"),
		views: map[string]*worker.Worker{
			"a": worker.New("worker-01", 6*time.Second), "b": worker.New("worker-01", 6*time.Second),
		},
	}
}

func task(name string) ident.TaskID {
	return ident.TaskID{Work: ident.WorkID{Team: "vembanad", Request: ident.RequestID(name)}}
}

// claim asks as owner.(*keeper).claim does: again with a higher epoch when the first epoch was too low.
func (r *replay) claim(now time.Time, process string, supersede bool) error {
	w := r.views[process]
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
	r.note(running)
	return nil
}

// note keeps the tasks that an answer names.
func (r *replay) note(tasks []ident.TaskID) {
	r.with = "nothing"
	for _, one := range tasks {
		r.with = string(one.Work.Request)
	}
}

func (r *replay) startOf(now time.Time, process, name, attempt string) work.Start {
	n, err := strconv.Atoi(attempt)
	if err != nil {
		r.t.Fatal(err)
	}
	return work.Start{
		Epoch: r.views[process].Snapshot(now).Epoch, Task: task(name), Attempt: ident.Attempt(n), Size: oneTask,
	}
}

func (r *replay) step(now time.Time, op string, args []string) error {
	switch op {
	case "claim", "supersede":
		return r.claim(now, args[0], op == "supersede")
	case "reserve":
		_, err := r.views[args[0]].Reserve(now, work.Spec{ID: task(args[1]), Attempt: 1, Size: oneTask})
		return err
	case "send":
		r.inflight = r.startOf(now, args[0], args[1], args[2])
		return nil
	case "deliver":
		_, err := r.grant.Start(now, now, r.inflight)
		return err
	case "start":
		_, err := r.grant.Start(now, now, r.startOf(now, args[0], args[1], args[2]))
		return err
	case "finish":
		r.grant.Finish(work.Outcome{Task: task(args[0]), Attempt: 1, OK: true})
		return nil
	case "sync":
		_, err := r.grant.Sync(now, work.Sync{Epoch: r.views[args[0]].Snapshot(now).Epoch})
		return err
	case "release":
		return r.grant.Release(now, r.views[args[0]].Snapshot(now).Epoch)
	case "expire":
		r.note(r.grant.ExpireTasks(now))
		return nil
	default:
		r.t.Fatalf("unknown transition %q", op)
		return nil
	}
}

// TestTracesOfSpec guards against aggregates that differ from spec/worker.pml: they must answer each transition as the
// model does.
func TestTracesOfSpec(t *testing.T) {
	file, err := os.Open("testdata/worker_traces.txt")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	r, name := newReplay(t), ""
	for lines := bufio.NewScanner(file); lines.Scan(); {
		line := strings.TrimSpace(lines.Text())
		switch {
		case line == "" || line[0] == '#':
			continue
		case strings.HasPrefix(line, "trace "):
			r, name = newReplay(t), line
			continue
		}
		left, want, _ := strings.Cut(line, " : ")
		fields := strings.Fields(left)
		seconds, err := strconv.Atoi(fields[0])
		if err != nil {
			t.Fatalf("%s: %s: %v", name, line, err)
		}
		answer := "ok"
		if err := r.step(epochTime.Add(time.Duration(seconds)*time.Second), fields[1], fields[2:]); err != nil {
			answer = fault.KindOf(err).String()
		}
		if strings.HasPrefix(want, "ok with") {
			answer += " with " + r.with
		}
		if answer != want {
			t.Errorf("%s: %s: got %q", name, line, answer)
		}
	}
}

// TestAttemptsAreBounded guards the worker's memory: attempts that ended long ago are forgotten.
func TestAttemptsAreBounded(t *testing.T) {
	r := newReplay(t)
	now := epochTime
	for i := range 1000 {
		now = now.Add(time.Second)
		if err := r.claim(now, "a", false); err != nil {
			t.Fatal(err)
		}
		start := r.startOf(now, "a", strconv.Itoa(i), "1")
		if _, err := r.grant.Start(now, now, start); err != nil {
			t.Fatal(err)
		}
		r.grant.Finish(work.Outcome{Task: start.Task, Attempt: 1, OK: true})
	}
	if n := r.grant.RememberedAttempts(); n > 62 {
		t.Errorf("%d attempts are remembered after 1000 of one a second; want those of the last minute", n)
	}
}
