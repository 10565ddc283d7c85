package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"skylarkstall/internal/domain/account"
	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/pool"
	"skylarkstall/internal/domain/resource"
	"skylarkstall/internal/domain/workflow"
	"skylarkstall/internal/port"
)

// limitHistory changes what accounts run, and their limits, at random.
type limitHistory struct {
	queueHistory
	limits map[account.ID]int64
}

func (h *limitHistory) accept() {
	step := workflow.Step{
		Count: rapid.IntRange(1, 4).Draw(h.T, "tasks"), BestEffort: rapid.Bool().Draw(h.T, "best effort"),
		Size: resource.Vector{MilliCores: 1000 * rapid.Int64Range(1, 5).Draw(h.T, "cores")},
	}
	step.Gang = rapid.Bool().Draw(h.T, "gang")
	owner := rapid.SampledFrom([]account.ID{"", "a", "b"}).Draw(h.T, "account")
	h.jobs++
	acceptFor(h.s, workflow.ID(fmt.Sprintf("j%d", h.jobs)), owner, step)
}

// lose drops all runs of a worker, or lets it restart, or replaces it in the leader's list.
func (h *limitHistory) lose() {
	id := rapid.SampledFrom([]ident.WorkerID{"w0", "w1", "w2"}).Draw(h.T, "worker")
	m := h.s.monitors[id]
	h.running = slices.DeleteFunc(h.running, func(l launch) bool { return l.monitor == m })
	h.s.mu.Lock()
	defer h.s.mu.Unlock()
	switch rapid.IntRange(0, 2).Draw(h.T, "loss") {
	case 0:
		h.s.dropRuns(m, workflow.LeaseExpired)
	case 1:
		for _, run := range m.worker.Runs() {
			run.Started = h.now.Add(-time.Second)
		}
		info := m.worker.Info()
		h.s.detectRestart(m, port.SyncReply{Incarnation: info.Incarnation + 1}, h.now)
		m.worker.UpdateInfo(pool.WorkerInfo{
			ID: id, Service: "desk", Capacity: info.Capacity, Incarnation: info.Incarnation + 1,
		})
		m.worker.ObserveClock(time.Second, h.now, h.now)
		m.worker.CloseFence(m.worker.Token(), time.Second, 0, h.now)
	default:
		h.s.speculate(m)
	}
}

// reportRun lets a worker report a run that this leader did not start.
func (h *limitHistory) reportRun() {
	m := h.s.monitors["w0"]
	n := rapid.IntRange(1, h.jobs+2).Draw(h.T, "job")
	run := workflow.RunRef{Task: workflow.TaskRef{StepRef: workflow.StepRef{Job: workflow.ID(fmt.Sprintf("j%d", n))}}, Run: 2}
	h.s.mu.Lock()
	defer h.s.mu.Unlock()
	known := m.worker.Run(run) != nil
	h.s.applyRunning(m, []port.RunningRun{{RunRef: run}}, h.now)
	if known {
		m.worker.Release(run)
		h.s.applyEnd(m, workflow.End{Run: run, Outcome: workflow.Stopped})
	}
}

// check compares the use of each account with what the workers hold.
func (h *limitHistory) check() {
	used, runs := map[account.ID]resource.Vector{}, map[account.ID]int{}
	unattributed := 0
	for _, m := range h.s.monitors {
		for _, run := range m.worker.Runs() {
			e := h.s.jobs[run.Task.Job]
			if e == nil {
				unattributed++
				continue
			}
			used[e.account], runs[e.account] = used[e.account].Add(e.workflow.Step(run.Task.StepRef).Size), runs[e.account]+1
		}
	}
	for _, id := range []account.ID{"a", "b"} {
		if got, n := h.s.limits.usage.Used(id); got != used[id] || n != runs[id] {
			h.Fatalf("account %q is counted with %s in %d runs, the workers hold %s in %d", id, got, n, used[id], runs[id])
		}
	}
	counted := 0
	for _, n := range h.s.limits.unattributed {
		counted += n
	}
	if counted != unattributed {
		h.Fatalf("%d runs of unknown jobs are counted, the workers hold %d", counted, unattributed)
	}
}

// place runs a pass and checks that it passes no limit and leaves no step aside that has room.
func (h *limitHistory) place() {
	before := map[account.ID]resource.Vector{}
	for id := range h.limits {
		before[id], _ = h.s.limits.usage.Used(id)
	}
	launches := placeAt(h.s, h.now)
	h.running = append(h.running, launches...)
	h.s.startsInProgress = 0
	starts := countStarts(launches)
	for id, limit := range h.limits {
		used, runs := h.s.limits.usage.Used(id)
		isGang := slices.ContainsFunc(launches, func(l launch) bool { return l.entry.account == id && l.entry.hasGang })
		if limit > 0 && starts[id] > 0 && used.MilliCores > limit && (!before[id].IsZero() || runs > 1 && !isGang) {
			h.Fatalf("account %q may run %d, and runs %d after %d starts", id, limit, used.MilliCores, starts[id])
		}
	}
	for range 8 { // what the pass has found at the limits is set aside, and what has room is queued again
		more := placeAt(h.s, h.now)
		h.running = append(h.running, more...)
		h.s.startsInProgress = 0
	}
	for _, a := range h.s.limits.aside {
		for _, c := range a.steps.Steps() {
			if h.s.underLimit(c) > 0 {
				h.Fatalf("step %s is set aside although there is room for it under the limit of account %q", c.ref, c.entry.account)
			}
		}
	}
}

// TestLimitsRecounted guards against a use of accounts that differs from what workers may run, starts above a limit, and steps that
// wait for a limit that leaves room, after any sequence of changes.
func TestLimitsRecounted(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := &limitHistory{queueHistory: queueHistory{T: rt, s: newLeaderFor(t), now: time.Now()}, limits: map[account.ID]int64{}}
		for i := range 3 {
			addTestWorker(h.s, ident.WorkerID(fmt.Sprintf("w%d", i)), 12_000, h.now)
		}
		for range rapid.IntRange(1, 30).Draw(rt, "changes") {
			switch rapid.IntRange(0, 9).Draw(rt, "change") {
			case 0, 1:
				h.accept()
			case 2:
				h.limits = map[account.ID]int64{"a": rapid.Int64Range(0, 9).Draw(rt, "a") * 1000, "b": rapid.Int64Range(0, 9).Draw(rt, "b") * 1000}
				setLimits(rt, h.s, h.limits)
			case 3:
				h.now = h.now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(rt, "ms")) * time.Millisecond)
			case 4, 5:
				h.place()
			case 6:
				h.s.mu.Lock()
				h.end()
				h.s.mu.Unlock()
			case 7:
				h.s.mu.Lock()
				h.withdraw()
				h.cancel()
				h.s.mu.Unlock()
			case 8:
				h.lose()
			case 9:
				h.reportRun()
			}
			h.check()
		}
	})
}

// TestLooseLimitsChangeNothing guards against decisions that differ without limits, or with limits that nothing reaches, from those for
// jobs without accounts.
func TestLooseLimitsChangeNothing(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		now := time.Now()
		histories := map[string]*limitHistory{}
		for _, name := range []string{"no accounts", "no limits", "loose limits"} {
			h := &limitHistory{queueHistory: queueHistory{T: rt, s: newLeaderFor(t), now: now}}
			h.s.startedAt = now
			for i := range 3 {
				addTestWorker(h.s, ident.WorkerID(fmt.Sprintf("w%d", i)), 12_000, now)
			}
			histories[name] = h
		}
		setLimits(rt, histories["no limits"].s, map[account.ID]int64{"a": 0})
		setLimits(rt, histories["loose limits"].s, map[account.ID]int64{"a": 1 << 40})
		for n := range rapid.IntRange(1, 40).Draw(rt, "changes") {
			change := rapid.IntRange(0, 3).Draw(rt, "change")
			step := workflow.Step{
				Count: rapid.IntRange(1, 4).Draw(rt, "tasks"), Gang: rapid.Bool().Draw(rt, "gang"),
				Size: resource.Vector{MilliCores: 1000 * rapid.Int64Range(1, 5).Draw(rt, "cores")},
			}
			run := rapid.IntRange(0, 20).Draw(rt, "run")
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(rt, "ms")) * time.Millisecond)
			want := ""
			for _, name := range []string{"no accounts", "no limits", "loose limits"} {
				h := histories[name]
				switch {
				case change == 0 && name == "no accounts":
					acceptFor(h.s, workflow.ID(fmt.Sprintf("j%d", n)), "", step)
				case change == 0:
					acceptFor(h.s, workflow.ID(fmt.Sprintf("j%d", n)), "a", step)
				case change == 1 && run < len(h.running):
					end(h.s, h.running[run])
					h.running = slices.Delete(h.running, run, run+1)
				}
				var starts []string
				for _, l := range placeAt(h.s, now) {
					starts = append(starts, fmt.Sprint(l.request.RunRef, l.target.Worker))
					h.running = append(h.running, l)
				}
				h.s.startsInProgress = 0
				got := fmt.Sprint(starts, describeSteps(h.s.queue.steps.Steps()))
				if want == "" {
					want = got
				} else if got != want {
					rt.Fatalf("with %s: starts and queue %s, want %s", name, got, want)
				}
			}
		}
	})
}
