package scheduler

import (
	"fmt"
	"testing"
	"time"

	"skylarkstall/internal/domain/account"
	"skylarkstall/internal/domain/ident"
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
