package scheduler

import (
	"fmt"
	"strings"
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

// TestTakeoverAfterLossOfRack guards against a new leader under which every account waits for a rack that was lost long before: its workers
// are silent, the worker list does not name them any more, and what may run there is only what was accepted before they were cordoned.
func TestTakeoverAfterLossOfRack(t *testing.T) {
	s, now := takeOver(t, 3, map[account.ID]int64{"idle": 4000, "busy": 4000})
	report(s, "w1", now)
	for _, id := range []ident.WorkerID{"w0", "w2"} {
		s.unsynced[id] = port.WorkerRecord{WorkerInfo: pool.WorkerInfo{ID: id, Incarnation: 1}, Cordoned: true, CordonedAt: 10}
		s.putMonitor(id, newMonitor(s.unsynced[id].WorkerInfo))
	}
	accept := func(id workflow.ID, owner account.ID, revision ident.Revision, step workflow.Step) {
		e := acceptFor(s, id, owner, step)
		e.createdRevision = revision
		e.workflow.MarkUnknownRuns()
	}
	accept("before", "busy", 5, workflow.Step{Count: 3})
	accept("idle after", "idle", 15, workflow.Step{Count: 9})
	accept("busy after", "busy", 15, workflow.Step{Count: 9})
	if got := fmt.Sprint(countStarts(placeTwice(s, now))); got != "map[busy:1 idle:4]" {
		t.Errorf("starts by account: %s, want 4 of idle, and 1 of busy beside 3 tasks that may run", got)
	}
}

// TestTakeoverKnowsJobsLate guards against a start above a limit because a job is not known yet that the former leader may have started on
// a worker that is silent.
func TestTakeoverKnowsJobsLate(t *testing.T) {
	s, now := takeOver(t, 2, map[account.ID]int64{"a": 16_000})
	report(s, "w1", now)
	acceptFor(s, "a1", "a", workflow.Step{Count: 1}).createdRevision = 9
	s.predecessor.silentRevision, s.jobsReadTo = 8, 7
	if n := len(placeTwice(s, now)); n != 0 {
		t.Fatalf("%d starts although the job that was stored at revision 8 may run on the silent worker", n)
	}
	s.noteJobsRead(8)
	if n := len(placeTwice(s, now)); n != 1 {
		t.Errorf("%d starts once every job is known that may run there, want 1", n)
	}
}

// takeover is a random state in which a new leader finds the workers, with what the former leader has started there.
type takeover struct {
	*rapid.T
	s       *Scheduler
	limits  map[account.ID]int64
	used    map[account.ID]int64
	free    map[ident.WorkerID]int64
	running map[ident.WorkerID][]workflow.RunRef
}

// readThrough is the revision up to which the new leader knows the jobs.
const readThrough = 15

// startBefore lets the former leader store a job and start some of its tasks, within the limits.
func (o *takeover) startBefore(number int) {
	owner := rapid.SampledFrom([]account.ID{"a", "b"}).Draw(o.T, "account")
	revision := ident.Revision(rapid.IntRange(1, 20).Draw(o.T, "revision"))
	id, cores := workflow.ID(fmt.Sprintf("j%d", number)), 1000*rapid.Int64Range(1, 4).Draw(o.T, "cores")
	step := workflow.Step{Count: rapid.IntRange(1, 4).Draw(o.T, "tasks"), Size: resource.Vector{MilliCores: cores}}
	if revision <= readThrough {
		e := acceptFor(o.s, id, owner, step)
		e.createdRevision = revision
		e.workflow.MarkUnknownRuns()
	}
	if silent := o.s.predecessor.silentRevision; silent > 0 && revision > silent {
		return
	}
	for index := range step.Count {
		worker := rapid.SampledFrom([]ident.WorkerID{"w0", "w1", "w2", "w3"}).Draw(o.T, "worker")
		record := o.s.unsynced[worker]
		mayStart := !record.Cordoned || revision < record.CordonedAt
		if !mayStart || o.free[worker] < cores || o.used[owner]+cores > o.limits[owner] || rapid.Bool().Draw(o.T, "waits") {
			continue
		}
		o.free[worker], o.used[owner] = o.free[worker]-cores, o.used[owner]+cores
		ref := workflow.RunRef{Task: workflow.TaskRef{StepRef: workflow.StepRef{Job: id}, Index: index}, Run: 1}
		o.running[worker] = append(o.running[worker], ref)
	}
}

// TestTakeoverKeepsLimits guards against starts of a new leader that, with all that the former one has started and no worker has
// reported yet, bring an account above its limit.
func TestTakeoverKeepsLimits(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		limit := rapid.Int64Range(4, 40)
		o := &takeover{T: rt, limits: map[account.ID]int64{"a": 1000 * limit.Draw(rt, "a"), "b": 1000 * limit.Draw(rt, "b")}}
		o.used, o.free, o.running = map[account.ID]int64{}, map[ident.WorkerID]int64{}, map[ident.WorkerID][]workflow.RunRef{}
		s, now := takeOver(t, 4, o.limits)
		o.s, s.jobsReadTo = s, readThrough
		s.predecessor.silentRevision = rapid.SampledFrom([]ident.Revision{0, 12, 18}).Draw(rt, "silent revision")
		workers := []ident.WorkerID{"w0", "w1", "w2", "w3"}
		for _, id := range workers {
			o.free[id] = 16_000
			record := s.unsynced[id]
			record.Cordoned = rapid.Bool().Draw(rt, "cordoned")
			record.CordonedAt = ident.Revision(rapid.IntRange(1, readThrough).Draw(rt, "cordoned at"))
			s.unsynced[id] = record
		}
		for i := range rapid.IntRange(1, 12).Draw(rt, "jobs") {
			o.startBefore(i)
		}
		for _, id := range workers {
			if rapid.Bool().Draw(rt, "reports") {
				report(s, id, now, o.running[id]...)
			} else if rapid.Bool().Draw(rt, "unlisted") {
				s.putMonitor(id, newMonitor(pool.WorkerInfo{ID: id, Incarnation: 1}))
			}
			for _, l := range placeTwice(s, now) {
				o.used[l.entry.account] += l.entry.workflow.Step(l.request.Task.StepRef).Size.MilliCores
			}
			for account, used := range o.used {
				if used > o.limits[account] {
					rt.Fatalf("account %s runs %d and may run %d", account, used, o.limits[account])
				}
			}
		}
	})
}
