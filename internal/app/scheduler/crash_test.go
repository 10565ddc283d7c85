package scheduler

import (
	"testing"
	"time"

	"skylarkstall/internal/domain/ident"
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
		s.applyReply(m, s.term.Token, reply, time.Now(), time.Now())
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
	s.retryStep(e, workflow.StepRef{Job: e.workflow.Spec().ID})
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
	now := time.Now()
	c := candidate{entry: e, ref: run.Task.StepRef, queue: e.queue, pass: s.newPass(now)}
	launches, unplaced := s.placeStep(c, now)
	s.mu.Unlock()
	if len(launches) != 0 || unplaced != 0 {
		t.Errorf("%d starts and %d tasks without a worker; a task that must not start needs none", len(launches), unplaced)
	}
}

// restartWorker applies the first replies of the next life of a worker, and the entry of the worker list that describes it.
func restartWorker(s *Scheduler, m *workerMonitor) {
	now := time.Now()
	reply := port.SyncReply{Incarnation: m.worker.Info().Incarnation + 1, WorkerClock: time.Second}
	s.applyReply(m, m.worker.Token(), reply, now, now)
	s.mu.Lock()
	m.worker.UpdateInfo(m.worker.Info())
	m.worker.SetToken(m.worker.Token() + 1) // the restart is recorded
	s.mu.Unlock()
	s.applyReply(m, m.worker.Token(), reply, now, now)
}

// TestFlappingWorker guards against a job that fails because a worker crashes again and again under whatever runs there: the
// worker had crashed before under tasks that it had run for long.
func TestFlappingWorker(t *testing.T) {
	s := newLeaderFor(t)
	addTestWorker(s, "w1", 4000, time.Now())
	e := acceptTestJob(s, workflow.Step{Count: 1})
	m := s.monitors["w1"]
	m.answeredAt = time.Now()
	restartWorker(s, m) // nothing ran there
	started := 0
	for range workflow.MaxCrashes {
		if launches, _ := s.place(time.Now()); len(launches) == 1 {
			started++
			m.worker.Run(launches[0].request.RunRef).Started = time.Now()
			time.Sleep(time.Millisecond)
		}
		restartWorker(s, m)
	}
	if started == 0 {
		t.Error("the task has not started on the worker that flaps")
	}
	if state, n := e.workflow.State(), e.workflow.Crashes(firstRun(0).Task); state.Final() || n > 0 {
		t.Errorf("job is %s after %d crashes that count against its task; want none, as the worker crashed without it before", state, n)
	}
}

// TestExcusesAreBounded guards against a task that crashes worker after worker, each of which had crashed before without a cause:
// it may start twice more after three workers have crashed under it.
func TestExcusesAreBounded(t *testing.T) {
	s := newLeaderFor(t)
	e := acceptTestJob(s, workflow.Step{Count: 1})
	crashes := 0
	for i := range 10 {
		id := ident.WorkerID(rune('a' + i))
		addTestWorker(s, id, 4000, time.Now())
		m := s.monitors[id]
		m.knownAddress, m.answeredAt = string(id), time.Now()
		restartWorker(s, m)
		s.mu.Lock()
		e.storedVersion = e.version
		s.retryStep(e, workflow.StepRef{Job: e.workflow.Spec().ID})
		s.mu.Unlock()
		launches, _ := s.place(time.Now())
		if len(launches) == 0 {
			break
		}
		crashes++
		run := launches[0]
		run.monitor.worker.Run(run.request.RunRef).Started = time.Now()
		time.Sleep(time.Millisecond)
		restartWorker(s, run.monitor)
	}
	if crashes != maxExcuses+workflow.MaxCrashes || e.workflow.State() != workflow.FailedState {
		t.Errorf("%d workers crashed under the task and its job is %s; want %d, failed", crashes, e.workflow.State(), maxExcuses+workflow.MaxCrashes)
	}
}

// TestCrashBeforeFirstAnswer guards against a task that crashes its workers and starts more often after a change of the leader: the
// new one did not know what had run on a worker that had crashed, and took that for a crash without a cause.
func TestCrashBeforeFirstAnswer(t *testing.T) {
	s := newLeaderFor(t)
	addTestWorker(s, "w1", 4000, time.Now())
	e := acceptTestJob(s, workflow.Step{Count: 1})
	m := s.monitors["w1"]
	restartWorker(s, m) // under a run of the former leader
	startOnly(t, s)
	time.Sleep(time.Millisecond)
	restartWorker(s, m)
	if n := e.workflow.Crashes(firstRun(0).Task); n != 1 {
		t.Errorf("%d crashes count against the task, want 1", n)
	}
}
