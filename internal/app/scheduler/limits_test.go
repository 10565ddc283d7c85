package scheduler

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"skylarkstall/internal/domain/account"
	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/pool"
	"skylarkstall/internal/domain/resource"
	"skylarkstall/internal/domain/route"
	"skylarkstall/internal/domain/workflow"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/port"
)

// setLimits puts a further version of the configuration in force, in which accounts have limits of processors.
func setLimits(t interface{ Fatal(...any) }, s *Scheduler, milliCores map[account.ID]int64) {
	var accounts []account.Account
	for id, limit := range milliCores {
		accounts = append(accounts, account.Account{ID: id, Limit: resource.Vector{MilliCores: limit}})
	}
	set, err := account.NewSet(accounts)
	if err != nil {
		t.Fatal(err)
	}
	s.table.Apply(route.Config{Version: s.table.Config().Version + 1, Accounts: set})
}

// acceptFor accepts a job of an account with tasks of one core, unless the step names their size.
func acceptFor(s *Scheduler, id workflow.ID, owner account.ID, step workflow.Step) *jobEntry {
	if step.Size.IsZero() {
		step.Size.MilliCores = 1000
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.acceptJob(port.AcceptedJob{
		Spec: workflow.Spec{ID: id, Steps: []workflow.Step{step}}, AcceptedAt: s.startedAt, Account: owner,
		Queue: route.Queue{Name: "q", Service: "desk", MaxAttempts: 9, Priority: 1},
	}, 0)
	return s.jobs[id]
}

// newLimitedLeader returns a leader with workers of 16 cores, under which accounts have the given limits in thousandths of a core.
func newLimitedLeader(t testing.TB, workers int, milliCores map[account.ID]int64) (*Scheduler, time.Time) {
	t.Helper()
	s := newLeaderFor(t)
	for i := range workers {
		addTestWorker(s, ident.WorkerID(fmt.Sprintf("w%d", i)), 16_000, s.startedAt)
	}
	setLimits(t, s, milliCores)
	return s, s.startedAt
}

// placeTwice runs two passes of placement, of which the second finds what the first has used up.
func placeTwice(s *Scheduler, now time.Time) []launch {
	return append(placeAt(s, now), placeAt(s, now)...)
}

// countStarts counts starts by account.
func countStarts(launches []launch) map[account.ID]int {
	counts := map[account.ID]int{}
	for _, l := range launches {
		counts[l.entry.account]++
	}
	return counts
}

// end lets the runs end as done.
func end(s *Scheduler, launches ...launch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range launches {
		l.monitor.worker.Release(l.request.RunRef)
		s.applyEnd(l.monitor, workflow.End{Run: l.request.RunRef, Outcome: workflow.Done})
	}
}

// TestAccountAtLimit guards against starts above the limit of an account, and against an account at its limit that delays another one
// or keeps its room after something of it has ended.
func TestAccountAtLimit(t *testing.T) {
	s, now := newLimitedLeader(t, 2, map[account.ID]int64{"a": 3000, "b": 20_000})
	acceptFor(s, "a1", "a", workflow.Step{Count: 8})
	acceptFor(s, "a2", "a", workflow.Step{Count: 8})
	acceptFor(s, "b1", "b", workflow.Step{Count: 4})
	acceptFor(s, "n1", "", workflow.Step{Count: 5})
	launches := placeTwice(s, now)
	if got := fmt.Sprint(countStarts(launches)); got != "map[:5 a:3 b:4]" {
		t.Fatalf("starts by account: %s, want 3 of a, 4 of b and 5 of none", got)
	}
	if n := s.queue.steps.Len(); n != 0 {
		t.Errorf("%d steps are gone through in each pass, want none: two are at the limit and the others have started", n)
	}
	end(s, launches[:2]...)
	if again := placeTwice(s, now); len(again) != 2 || again[0].request.Task.Job != "a1" {
		t.Errorf("%d starts after two ends, want two of the first job", len(again))
	}
}

// TestLimitChanges guards against a lowered limit that stops runs or is not kept, and against a raised or removed one that takes effect
// late.
func TestLimitChanges(t *testing.T) {
	s, now := newLimitedLeader(t, 2, map[account.ID]int64{"a": 4000})
	acceptFor(s, "a1", "a", workflow.Step{Count: 30})
	running := placeTwice(s, now)
	for _, step := range []struct {
		name   string
		limits map[account.ID]int64
		end    int
		starts int
	}{
		{"lowered", map[account.ID]int64{"a": 2000}, 0, 0},
		{"lowered, two ends", nil, 2, 0},
		{"lowered, another end", nil, 1, 1},
		{"raised", map[account.ID]int64{"a": 6000}, 0, 4},
		{"zero", map[account.ID]int64{"a": 0}, 0, 21},
	} {
		if step.limits != nil {
			setLimits(t, s, step.limits)
		}
		end(s, running[:step.end]...)
		running = running[step.end:]
		started := placeTwice(s, now)
		if len(started) != step.starts {
			t.Fatalf("%s: %d starts beside %d runs, want %d", step.name, len(started), len(running), step.starts)
		}
		running = append(running, started...)
	}
	s.wg.Wait()
	if n := len(s.jobs["a1"].workflow.Active()); n != len(running) {
		t.Errorf("%d runs are active, want %d: none is stopped for a limit", n, len(running))
	}
}

// TestAccountNotConfigured guards against jobs that wait for good after their account was removed from the configuration.
func TestAccountNotConfigured(t *testing.T) {
	s, now := newLimitedLeader(t, 1, map[account.ID]int64{"a": 1000})
	acceptFor(s, "a1", "a", workflow.Step{Count: 4})
	started := placeTwice(s, now)
	setLimits(t, s, map[account.ID]int64{"b": 1000})
	if again := placeTwice(s, now); len(started) != 1 || len(again) != 3 {
		t.Errorf("%d starts under the limit and %d after the account was removed, want 1 and 3", len(started), len(again))
	}
}

// TestGangAtLimit guards against a gang that starts in part or passes the limit, and against one that waits for good because smaller
// steps of its account take each room that an end makes.
func TestGangAtLimit(t *testing.T) {
	s, now := newLimitedLeader(t, 2, map[account.ID]int64{"a": 4000})
	acceptFor(s, "a1", "a", workflow.Step{Count: 2})
	running := placeTwice(s, now)
	acceptFor(s, "gang", "a", workflow.Step{Count: 3, Gang: true})
	acceptFor(s, "single", "a", workflow.Step{Count: 10})
	running = append(running, placeTwice(s, now)...)
	if len(running) != 4 || len(s.jobs["gang"].workflow.Active()) != 0 {
		t.Fatalf("%d tasks and %d members of a gang of 3 run under a limit of 4", len(running), len(s.jobs["gang"].workflow.Active()))
	}
	now = now.Add(yieldAfter)
	for i := range 3 {
		if len(s.jobs["gang"].workflow.Active()) > 0 {
			t.Fatal("the gang starts before there is room for all members")
		}
		acceptFor(s, workflow.ID(fmt.Sprintf("late%d", i)), "a", workflow.Step{Count: 1}) // must not go first either
		end(s, running[0])
		running = append(running[1:], placeTwice(s, now)...)
	}
	if n := len(s.jobs["gang"].workflow.Active()); n != 3 {
		t.Errorf("%d members run after three ends, want 3", n)
	}
}

// TestLastingRunsAtLimit guards against small tasks that wait for good for a large one of their account, because runs that last never
// leave it the room.
func TestLastingRunsAtLimit(t *testing.T) {
	s, now := newLimitedLeader(t, 2, map[account.ID]int64{"a": 5000})
	acceptFor(s, "a1", "a", workflow.Step{Count: 3, LongRunning: true})
	acceptFor(s, "a2", "a", workflow.Step{Count: 2})
	running := placeTwice(s, now)
	acceptFor(s, "large", "a", workflow.Step{Count: 1, Size: resource.Vector{MilliCores: 4000}})
	small := acceptFor(s, "small", "a", workflow.Step{Count: 1})
	placeTwice(s, now)
	end(s, running[4])
	if placeTwice(s, now.Add(yieldAfter)); len(small.workflow.Active()) != 1 {
		t.Error("a task waits behind a large one of its account for room that runs which last do not leave")
	}
}

// TestTaskAboveLimit guards against an account that waits for good because each of its tasks exceeds the limit by itself.
func TestTaskAboveLimit(t *testing.T) {
	s, now := newLimitedLeader(t, 2, map[account.ID]int64{"a": 500})
	acceptFor(s, "a1", "a", workflow.Step{Count: 3})
	for range 3 {
		started := placeTwice(s, now)
		if len(started) != 1 {
			t.Fatalf("%d starts of tasks above the limit, want one after the other", len(started))
		}
		end(s, started...)
	}
}

// TestUnansweredStartAtLimit guards against a start above the limit while an earlier one without an answer may still be carried out.
func TestUnansweredStartAtLimit(t *testing.T) {
	s, now := newLimitedLeader(t, 2, map[account.ID]int64{"a": 1000})
	acceptFor(s, "a1", "a", workflow.Step{Count: 2, Speculative: true})
	l := placeTwice(s, now)[0]
	run := l.monitor.worker.Run(l.request.RunRef)
	run.Requested = true
	s.mu.Lock()
	s.speculate(l.monitor) // a copy may start elsewhere
	s.mu.Unlock()
	if again := placeTwice(s, now); len(again) > 0 {
		t.Fatalf("%d starts beside one without an answer, want none", len(again))
	}
	s.mu.Lock()
	run.StopAcked = now
	s.releaseVanished(l.monitor, nil, now.Add(time.Millisecond))
	s.mu.Unlock()
	if again := placeTwice(s, now); len(again) != 1 {
		t.Errorf("%d starts after the stop was acknowledged and the worker does not list the run, want 1", len(again))
	}
}

// TestRefusedStartAtLimit guards against room under a limit that a start takes along which the worker has refused.
func TestRefusedStartAtLimit(t *testing.T) {
	s, now := newLimitedLeader(t, 2, map[account.ID]int64{"a": 1000})
	acceptFor(s, "a1", "a", workflow.Step{Count: 2})
	s.startRefused(placeTwice(s, now)[0], fault.New(fault.NoCapacity, "full"))
	if again := placeTwice(s, now); len(again) != 1 {
		t.Errorf("%d starts after one was refused, want 1", len(again))
	}
}

// report lets a worker report its runs to a new leader.
func report(s *Scheduler, id ident.WorkerID, now time.Time, runs ...workflow.RunRef) {
	m := s.monitors[id]
	var running []port.RunningRun
	for _, run := range runs {
		running = append(running, port.RunningRun{RunRef: run})
	}
	s.applyReply(m, s.term.Token, port.SyncReply{Incarnation: 1, WorkerClock: time.Minute + now.Sub(s.startedAt), Running: running}, now, now)
}

// takeOver lets a new leader take over workers of which none has reported its runs.
func takeOver(t testing.TB, workers int, milliCores map[account.ID]int64) (*Scheduler, time.Time) {
	t.Helper()
	s, now := newLimitedLeader(t, workers, milliCores)
	for id, m := range s.monitors {
		s.unsynced[id] = port.WorkerRecord{WorkerInfo: m.worker.Info(), Fenced: true}
		s.putMonitor(id, newMonitor(m.worker.Info()))
	}
	s.predecessor.silentRevision = 1
	return s, now
}

// TestTakeoverAtLimit guards against a new leader that starts tasks of an account whose runs it does not know yet, and against one whose
// accounts all wait for a single silent worker although their limits leave room beside all that it may run.
func TestTakeoverAtLimit(t *testing.T) {
	s, now := takeOver(t, 3, map[account.ID]int64{"small": 4000, "large": 30_000})
	old := acceptFor(s, "old", "small", workflow.Step{Count: 4})
	for _, id := range []workflow.ID{"small1", "large1"} {
		owner := account.ID(strings.TrimSuffix(string(id), "1"))
		acceptFor(s, id, owner, workflow.Step{Count: 9}).createdRevision = 2 // after the former leader fell silent
	}
	var oldRuns []workflow.RunRef
	for i := range 4 {
		oldRuns = append(oldRuns, workflow.RunRef{Task: workflow.TaskRef{StepRef: workflow.StepRef{Job: "old"}, Index: i}, Run: 1})
	}
	old.workflow.MarkUnknownRuns()
	if n := len(placeTwice(s, now)); n != 0 {
		t.Fatalf("%d starts although no worker has reported its runs", n)
	}
	report(s, "w1", now)
	if n := len(placeTwice(s, now)); n != 0 {
		t.Fatalf("%d starts although two workers may run 32 cores of each account, and no limit leaves room for more", n)
	}
	report(s, "w2", now, oldRuns...)
	if got := fmt.Sprint(countStarts(placeTwice(s, now))); got != "map[large:9]" {
		t.Errorf("starts by account beside one silent worker: %s, want 9 of large", got)
	}
	report(s, "w0", now)
	if n := countStarts(placeTwice(s, now))["small"]; n != 0 {
		t.Errorf("%d starts of an account of which four tasks run under a limit of 4", n)
	}
	s.mu.Lock()
	s.applyEnds(s.monitors["w2"], []port.EndedRun{{Number: 1, End: workflow.End{Run: oldRuns[0], Outcome: workflow.Done}}})
	s.mu.Unlock()
	if n := countStarts(placeTwice(s, now))["small"]; n != 1 {
		t.Errorf("%d starts of the account after one of its runs has ended, want 1", n)
	}
}

// TestTakeoverBoundsUnknown guards against a start beside a silent worker of which not even the capacity is known.
func TestTakeoverBoundsUnknown(t *testing.T) {
	s, now := takeOver(t, 2, map[account.ID]int64{"a": 1_000_000})
	acceptFor(s, "a1", "a", workflow.Step{Count: 1}).createdRevision = 2
	report(s, "w1", now)
	s.putMonitor("w0", newMonitor(pool.WorkerInfo{ID: "w0", Incarnation: 1}))
	if n := len(placeTwice(s, now)); n != 0 {
		t.Fatalf("%d starts, want none while a worker may run any number of tasks", n)
	}
	s.mu.Lock()
	s.updateWorkers([]pool.WorkerInfo{s.monitors["w1"].worker.Info(), {ID: "w0", Service: "desk", Capacity: resource.Vector{MilliCores: 16_000}}}, now)
	s.mu.Unlock()
	if n := len(placeTwice(s, now)); n != 1 {
		t.Errorf("%d starts once the worker list describes the worker, want 1", n)
	}
}

// TestLimitLoweredDuringTakeover guards against a new leader that goes by the limit under which its predecessor started what it finds.
func TestLimitLoweredDuringTakeover(t *testing.T) {
	s, now := takeOver(t, 1, map[account.ID]int64{"a": 4000})
	old := acceptFor(s, "old", "a", workflow.Step{Count: 3, LongRunning: true})
	old.workflow.MarkUnknownRuns()
	acceptFor(s, "new", "a", workflow.Step{Count: 4}).createdRevision = 2
	setLimits(t, s, map[account.ID]int64{"a": 2000})
	var runs []workflow.RunRef
	for i := range 3 {
		runs = append(runs, workflow.RunRef{Task: workflow.TaskRef{StepRef: workflow.StepRef{Job: "old"}, Index: i}, Run: 1})
	}
	report(s, "w0", now, runs...)
	if n := len(placeTwice(s, now)); n != 0 {
		t.Fatalf("%d starts beside three runs that last, under a limit lowered to two", n)
	}
	setLimits(t, s, map[account.ID]int64{"a": 4000})
	if n := len(placeTwice(s, now)); n != 1 {
		t.Errorf("%d starts after the limit is raised again, want 1", n)
	}
}

// TestRunOfUnknownJobAtLimit guards against a start above a limit while a worker runs something of a job that is not known yet, of which
// neither the account nor the size is known.
func TestRunOfUnknownJobAtLimit(t *testing.T) {
	s, now := newLimitedLeader(t, 2, map[account.ID]int64{"a": 4000})
	acceptFor(s, "a1", "a", workflow.Step{Count: 9})
	late := workflow.RunRef{Task: workflow.TaskRef{StepRef: workflow.StepRef{Job: "late"}}, Run: 1}
	report(s, "w0", now, late)
	if n := len(placeTwice(s, now)); n != 0 {
		t.Fatalf("%d starts although a worker may run 16 cores of the account", n)
	}
	acceptFor(s, "late", "a", workflow.Step{Count: 1, Size: resource.Vector{MilliCores: 3000}})
	if n := len(placeTwice(s, now)); n != 1 {
		t.Errorf("%d starts beside a run of 3 cores that is known by now, want 1", n)
	}
}

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
