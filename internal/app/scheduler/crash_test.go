package scheduler

import (
	"testing"
	"time"

	"skylarkstall/internal/domain/workflow"
	"skylarkstall/internal/port"
)

// startOnly places the only task that can start and returns its run and the monitor of its worker.
func startOnly(t *testing.T, s *Scheduler) (workflow.RunRef, *workerMonitor) {
	t.Helper()
	launches, _ := s.place(time.Now())
	if len(launches) != 1 {
		t.Fatalf("%d tasks start, want 1", len(launches))
	}
	l := launches[0]
	l.monitor.worker.Run(l.request.RunRef).Started = time.Now()
	return l.request.RunRef, l.monitor
}

// TestCrashAfterLapse guards against a crash that is not counted because the lease expired before the worker was back, and
// against counting a worker that was only out of reach.
func TestCrashAfterLapse(t *testing.T) {
	for _, restarts := range []bool{true, false} {
		s := newLeader(t)
		e := acceptTestJob(s, workflow.Step{Count: 1})
		run, m := startOnly(t, s)
		s.mu.Lock()
		s.dropRuns(m, workflow.LeaseExpired)
		s.mu.Unlock()
		reply := port.SyncReply{Incarnation: m.worker.Info().Incarnation, WorkerClock: time.Second}
		want := 0
		if restarts {
			reply.Incarnation, want = reply.Incarnation+1, 1
		}
		s.applyReply(m, reply, time.Now(), time.Now())
		if n := e.workflow.Crashes(run.Task); n != want {
			t.Errorf("%d crashes under the task, want %d (worker restarted: %v)", n, want, restarts)
		}
	}
}

// TestStartWaitsForRecordOfCrash guards against a leader that is lost right after it started a task again under which a worker
// had crashed: its successor would not know of the crash.
func TestStartWaitsForRecordOfCrash(t *testing.T) {
	s := newLeader(t)
	e := acceptTestJob(s, workflow.Step{Count: 1})
	_, m := startOnly(t, s)
	s.mu.Lock()
	s.dropRuns(m, workflow.Lost)
	s.mu.Unlock()
	if launches, _ := s.place(time.Now()); len(launches) != 0 {
		t.Error("the task starts again before the crash is recorded")
	}
	s.mu.Lock()
	e.storedVersion = e.version
	e.step(workflow.StepRef{Job: e.workflow.Spec().ID}).waiting.Retry()
	s.mu.Unlock()
	startOnly(t, s)
}

// TestNoPreemptionForSuspects guards against stopping other work for a task that must not start yet.
func TestNoPreemptionForSuspects(t *testing.T) {
	s := newLeader(t)
	e := acceptTestJob(s, workflow.Step{Count: 1})
	run, _ := startOnly(t, s)
	s.mu.Lock()
	e.workflow.DropRun(run, "w1")
	e.workflow.DropRun(run, "w2")
	for number := range workflow.RunNumber(workflow.MaxCrashes) {
		e.workflow.Doubt(workflow.RunRef{Task: run.Task, Run: number + 1})
	}
	c := candidate{entry: e, ref: run.Task.StepRef, queue: e.queue}
	launches, unplaced := s.placeStep(c, time.Now())
	s.mu.Unlock()
	if len(launches) != 0 || unplaced != 0 {
		t.Errorf("%d starts and %d tasks without a worker; a task that must not start needs none", len(launches), unplaced)
	}
}
