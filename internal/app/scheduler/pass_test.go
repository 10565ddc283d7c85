package scheduler

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"skylarkstall/internal/app/leadership"
	"skylarkstall/internal/domain/objective"
	"skylarkstall/internal/domain/resource"
	"skylarkstall/internal/domain/route"
	"skylarkstall/internal/domain/workflow"
	"skylarkstall/internal/port"
)

// TestPassesAreObserved guards against a pass of which nothing is told, and against a wrong count of the steps that it tried.
func TestPassesAreObserved(t *testing.T) {
	s, now := newLeader(t), time.Now()
	var passes []port.PlacementPass
	s.ports.ObservePass = func(p port.PlacementPass) { passes = append(passes, p) }
	step := workflow.Step{Count: 2, Size: resource.Vector{MilliCores: 3000, MemoryBytes: 1 << 30}}
	acceptNamed(s, "first", step)
	acceptNamed(s, "second", step)
	placeAt(s, now)
	placeAt(s, now.Add(placeInterval))
	if len(passes) != 2 || passes[0].Tried != 2 || passes[1].Tried != 1 || passes[0].Left+passes[1].Left != 0 {
		t.Errorf("passes %+v, want two with 2 steps and 1 step, and nothing left", passes)
	}
}

// TestStateOfQueue guards against a queue whose oldest tasks have waited for long and whose state does not tell.
func TestStateOfQueue(t *testing.T) {
	s, now := newLeader(t), time.Now()
	acceptTestJob(s, workflow.Step{Count: 5})
	placeAt(s, now.Add(-3*time.Second))
	var state port.ProcessState
	s.FillState(&state)
	if q := state.Queues["q"]; q.WaitingTasks != 3 || q.OldestWait < 3*time.Second || q.OldestWait > 10*time.Second {
		t.Errorf("state of the queue %+v, want 3 tasks that have waited for 3 s", q)
	}
}

// TestStateTellsStandings guards against jobs that are late, or set behind because of their accounts' shares, without a sign of it.
func TestStateTellsStandings(t *testing.T) {
	s, now := newLeader(t), time.Now()
	for i, age := range []time.Duration{0, 4 * time.Second, time.Minute} {
		job := port.AcceptedJob{AcceptedAt: now.Add(-age), Excess: i == 1}
		job.Spec.ID = workflow.ID(fmt.Sprintf("j%d", i))
		job.Spec.Steps = []workflow.Step{{Count: 1, Estimate: time.Second, Size: resource.Vector{MilliCores: 1 << 20}}}
		job.Queue = route.Queue{Name: "q", Service: "desk", MaxAttempts: 2, Objective: route.Objective{Stretch: 2, Slack: time.Second}}
		s.mu.Lock()
		s.acceptJob(job, 0)
		s.mu.Unlock()
	}
	placeAt(s, now)
	var state port.ProcessState
	s.FillState(&state)
	if q := state.Queues["q"]; q.Standings != [objective.Count]int{1, 1, 1} || q.ExcessSteps != 1 {
		t.Errorf("state of the queue %+v, want one job of each standing and one excess step", q)
	}
}

// TestPlacementBehindIsLogged guards against a leader that leaves steps out for seconds without a line, and against more than one line
// for each of the two changes.
func TestPlacementBehindIsLogged(t *testing.T) {
	s, now := newLeader(t), time.Now()
	out := logged(s)
	observe := func(passes, tried, ready int) {
		for range passes {
			s.observePass(now, time.Now(), tried, ready)
			now = now.Add(placeInterval)
		}
	}
	observe(20, 4, 4)
	observe(30, 1, 3000)
	var state port.ProcessState
	s.FillState(&state)
	if !state.PlacementBehind || !strings.Contains(out.String(), `msg="placement falls behind" behind_ms=1000 ready_steps=3000 tried=1`) {
		t.Errorf("behind: %v; log:\n%s", state.PlacementBehind, out)
	}
	observe(30, 4, 4)
	if !strings.Contains(out.String(), `msg="placement has caught up" took_ms=5100 ready_steps=4`) {
		t.Errorf("log:\n%s", out)
	}
	observe(30, 4, 4)
	if lines := strings.Count(out.String(), "msg=\"placement"); lines != 2 {
		t.Errorf("%d lines, want 2:\n%s", lines, out)
	}
}

// TestUnconfirmedLeaderIsNotBehind guards against the report that placement falls behind after time in which the leader was not allowed
// to start anything.
func TestUnconfirmedLeaderIsNotBehind(t *testing.T) {
	s, now := newLeader(t), time.Now()
	out := logged(s)
	s.term.Renewal = &leadership.Renewal{}
	s.term.Renewal.Mark(now)
	placeAt(s, now)
	now = now.Add(time.Minute)
	if placeAt(s, now); !s.authority.doubtful {
		t.Fatal("the leader is confirmed")
	}
	s.term.Renewal.Mark(now)
	placeAt(s, now)
	if s.authority.doubtful || s.progress.Behind() {
		t.Errorf("not confirmed: %v, behind: %v; log:\n%s", s.authority.doubtful, s.progress.Behind(), out)
	}
}

// TestPlacementLeavesProcessorTime guards against passes of placement that take the processor time which leases, ends and the requests of
// starts need, on a process with a small share of a processor.
func TestPlacementLeavesProcessorTime(t *testing.T) {
	for _, cpuShare := range []float64{0, 0.2, 0.4, 0.8, 1} {
		const took = 2 * time.Millisecond
		pause := Settings{CPUShare: cpuShare}.placePause(took)
		used := float64(took) / float64(took+pause)
		if cpuShare == 0 {
			cpuShare = 1
		}
		if limit := 1.001 * cpuShare / 3; used > limit {
			t.Errorf("with %.1f of a processor, passes take %.3f of it, want at most a third of the share", cpuShare, used)
		}
	}
}
