package scheduler

import (
	"fmt"
	"testing"
	"time"

	"skylarkstall/internal/app/leadership"
	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/permit"
	"skylarkstall/internal/domain/workflow"
)

// startJobs accepts jobs of one task each and returns how many are started at once.
func startJobs(s *Scheduler, name string, count int, now time.Time) int {
	for i := range count {
		acceptNamed(s, workflow.ID(fmt.Sprintf("%s%03d", name, i)), workflow.Step{Count: 1})
	}
	started := 0
	for range count { // a pass has little time
		started += len(placeAt(s, now))
	}
	return started
}

// TestLateLeaderStartsLess guards against a leader that goes on deciding on starts at full rate while even the fastest answers of workers
// are late, and against one that does not come back when the load is over.
func TestLateLeaderStartsLess(t *testing.T) {
	s, now := newPermitLeader(t, 400), time.Now()
	s.term.Lateness = &leadership.Lateness{}
	s.starts.Answered(4 * time.Millisecond)
	placeAt(s, now)
	for range 20 { // a burst of 4 s
		now = now.Add(200 * time.Millisecond)
		for range 10 {
			s.starts.Answered(200 * time.Millisecond)
		}
		placeAt(s, now)
	}
	if late := s.term.Lateness.For(now); late < 3*time.Second {
		t.Errorf("the leader counts as late for %v after a burst of 4 s", late)
	}
	const usual = maxStartsInProgress + urgentStarts // of the highest priority
	if started := startJobs(s, "burst", 200, now); started >= usual/4 || started == 0 {
		t.Errorf("%d starts at a time by a late leader, want some and fewer than a quarter of %d", started, usual)
	}
	s.startsInProgress = 0
	for range 20 {
		now = now.Add(200 * time.Millisecond)
		for range 10 {
			s.starts.Answered(4 * time.Millisecond)
		}
		s.mu.Lock()
		s.adaptStarts(now)
		s.mu.Unlock()
	}
	if started := startJobs(s, "calm", 200, now); started != usual {
		t.Errorf("%d starts at a time 4 s after the burst, want %d", started, usual)
	}
}

// TestTicketThatExpiresBeforeItsUse guards against a start that is decided on a ticket that expires before the start is sent, again and
// again while starts are sent late.
func TestTicketThatExpiresBeforeItsUse(t *testing.T) {
	for delay, want := range map[time.Duration]int{0: 1, 300 * time.Millisecond: 0} {
		s, now := newPermitLeader(t, 1), time.Now()
		e := acceptTestJob(s, workflow.Step{Count: 1})
		e.queue.PermitPolicy = testPermitPolicy()
		permits := permit.New()
		e.step(workflow.StepRef{Job: e.workflow.Spec().ID}).permits = permits
		ticket := permit.Ticket{Value: "t", Expires: now.Add(200 * time.Millisecond)}
		permits.ApplyResponse([]permit.Worker{permitWorker(s.monitors["x0"])}, map[ident.WorkerID]permit.Ticket{"x0": ticket})
		for range 50 {
			s.starts.Sent(delay)
		}
		launches, calls := s.place(now)
		if len(launches) != want || len(calls) != 1-want {
			t.Errorf("starts are sent %v late, the ticket is valid for 200ms: %d starts and %d calls for permits, want %d and %d",
				delay, len(launches), len(calls), want, 1-want)
		}
	}
}
