package scheduler

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"skylarkstall/internal/app/leadership"
	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/pool"
	"skylarkstall/internal/domain/resource"
	"skylarkstall/internal/domain/route"
	"skylarkstall/internal/domain/workflow"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/port"
)

// unresponsiveRunner is a client of workers that do not respond to stop requests.
type unresponsiveRunner struct{ port.RunClient }

func (unresponsiveRunner) Stop(ctx context.Context, _ port.Target, _ workflow.RunRef, _ ident.Epoch) error {
	<-ctx.Done()
	return ctx.Err()
}

// newLeader returns the scheduler of a leader with two synced workers of 4 cores and 8 GiB, w1 and w2.
func newLeader(t *testing.T) *Scheduler {
	t.Helper()
	s := newLeaderFor(t)
	for _, id := range []ident.WorkerID{"w1", "w2"} {
		addTestWorker(s, id, 4000, time.Now())
	}
	return s
}

// newLeaderFor returns the scheduler of a leader without workers.
func newLeaderFor(t testing.TB) *Scheduler {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	s := New("b", Settings{MaxLease: 6 * time.Second}, Ports{RunClient: unresponsiveRunner{}}, &route.Table{},
		leadership.Term{Number: 2, Token: 9, HasPredecessor: true}, slog.New(slog.DiscardHandler))
	s.ctx, s.cancel, s.startedAt, s.ready = ctx, cancel, time.Now(), true
	t.Cleanup(func() { cancel(); s.wg.Wait() })
	return s
}

// addTestWorker adds a synced worker with 8 GiB.
func addTestWorker(s *Scheduler, id ident.WorkerID, milliCores int64, now time.Time) {
	m := newMonitor(pool.WorkerInfo{
		ID: id, Service: "desk", Capacity: resource.Vector{MilliCores: milliCores, MemoryBytes: 8 << 30}, Incarnation: 1,
	})
	m.worker.ObserveClock(time.Second, now, now)
	m.worker.MarkSynced()
	s.putMonitor(id, m)
	s.setRecorded(id, true)
}

// acceptTestJob accepts a job of one step with tasks of 3 cores.
func acceptTestJob(s *Scheduler, step workflow.Step) *jobEntry {
	step.Size = resource.Vector{MilliCores: 3000, MemoryBytes: 1 << 30}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.acceptJob(port.AcceptedJob{
		Spec: workflow.Spec{ID: "job", Steps: []workflow.Step{step}}, AcceptedAt: time.Now(),
		Queue: route.Queue{Name: "q", Service: "desk", MaxAttempts: 3},
	}, 0)
	return s.jobs["job"]
}

func firstRun(index int) workflow.RunRef {
	return workflow.RunRef{Task: workflow.TaskRef{StepRef: workflow.StepRef{Job: "job"}, Index: index}, Run: 1}
}

// TestRunOfJobNotKnownYet guards against a task that runs twice. A replaced leader that did not know of its replacement
// accepted a job and started it. The new leader received a report of that run before it knew the job, and then started
// the task while the run was being stopped.
func TestRunOfJobNotKnownYet(t *testing.T) {
	s, now, run := newLeader(t), time.Now(), firstRun(0)
	monitor := s.monitors["w1"]
	s.mu.Lock()
	s.applyRunning(monitor, []port.RunningRun{{RunRef: run}}, now)
	s.mu.Unlock()
	acceptTestJob(s, workflow.Step{Count: 1})
	if launches, _ := s.place(time.Now()); len(launches) > 0 {
		t.Fatalf("task %s starts on %s while its run 1 is being stopped on w1", launches[0].request.Task, launches[0].target.Worker)
	}
	if free := monitor.worker.Free().MilliCores; free != 1000 {
		t.Errorf("%d millicores are free beside the run; want 1000", free)
	}
	s.mu.Lock()
	s.applyEnds(monitor, []port.EndedRun{{Number: 1, End: workflow.End{Run: run, Outcome: workflow.Stopped}}})
	s.mu.Unlock()
	launches, _ := s.place(time.Now())
	if len(launches) != 1 || launches[0].request.Run <= run.Run {
		t.Fatalf("%d starts after the run has ended, want one with a higher run number", len(launches))
	}
}

// jobStore is a store that holds no jobs, or does not respond until available is closed.
type jobStore struct {
	port.TxnStore
	available chan struct{}
}

func (j jobStore) Get(ctx context.Context, _ string) (port.Entry, error) {
	select {
	case <-j.available:
		return port.Entry{}, fault.New(fault.NotFound, "no such key")
	case <-ctx.Done():
		return port.Entry{}, ctx.Err()
	}
}

// TestEndOfJobNotKnownYet guards against a task that runs twice: the new leader acknowledged the end of a run of a job that
// it did not know yet, the worker forgot the end, and the task started again once the job was known.
func TestEndOfJobNotKnownYet(t *testing.T) {
	s, run := newLeader(t), firstRun(0)
	store := jobStore{available: make(chan struct{})}
	s.ports.Store = store
	monitor, other := s.monitors["w1"], s.monitors["w2"]
	unknown := workflow.RunRef{Task: workflow.TaskRef{StepRef: workflow.StepRef{Job: "none"}}, Run: 1}
	s.mu.Lock()
	s.applyEnds(monitor, []port.EndedRun{{Number: 1, End: workflow.End{Run: run, Outcome: workflow.Done}}})
	s.applyEnds(other, []port.EndedRun{{Number: 1, End: workflow.End{Run: unknown, Outcome: workflow.Done}}})
	s.mu.Unlock()
	if n, m := ackedEnd(s, monitor), ackedEnd(s, other); n+m != 0 {
		t.Errorf("ends %d and %d of unknown jobs are acknowledged before the store was read", n, m)
	}
	e := acceptTestJob(s, workflow.Step{Count: 1})
	if launches, _ := s.place(time.Now()); len(launches) > 0 || e.workflow.State() != workflow.Completed {
		t.Errorf("%d starts, job is %s; want none, because run 1 has completed the job", len(launches), e.workflow.State())
	}
	if n := ackedEnd(s, monitor); n != 0 {
		t.Errorf("end %d is acknowledged before the progress of the job is recorded", n)
	}
	s.mu.Lock()
	e.storedVersion = e.version
	s.mu.Unlock()
	if n := ackedEnd(s, monitor); n != 1 {
		t.Errorf("end %d is acknowledged after the progress was recorded, want 1", n)
	}
	close(store.available)
	for end := time.Now().Add(5 * time.Second); ackedEnd(s, other) == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the end of a run whose job is not in the store is never acknowledged")
		}
	}
}

// ackedEnd returns the number of the end up to which the next sync acknowledges.
func ackedEnd(s *Scheduler, m *workerMonitor) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	m.unreachable = false
	return s.syncRequest(m, 0).AckThrough
}

// TestStartDuringRestart guards against a second run of a task whose first start reached a worker that had just
// restarted: the reply to a sync that was sent before the start reports the new incarnation, and no runs.
func TestStartDuringRestart(t *testing.T) {
	s := newLeader(t)
	m, sentAt := s.monitors["w1"], time.Now()
	startAcked := map[int]time.Time{
		0: sentAt.Add(-time.Second), // by the previous incarnation
		1: sentAt.Add(time.Millisecond),
		2: {}, // not acknowledged yet
	}
	e := acceptTestJob(s, workflow.Step{Count: len(startAcked)})
	s.mu.Lock()
	defer s.mu.Unlock()
	for index, at := range startAcked {
		run := firstRun(index)
		m.worker.Adopt(run, &workflow.Step{})
		m.worker.Run(run).Started = at
		e.workflow.Start(workflow.Placement{RunRef: run, Worker: "w1"})
	}
	s.detectRestart(m, port.SyncReply{Incarnation: 2, WorkerClock: time.Second}, sentAt)
	if waiting := e.workflow.Waiting(firstRun(0).Task.StepRef); len(waiting) != 1 || waiting[0] != 0 {
		t.Errorf("tasks %v may start again; want only task 0, whose run ended with the restart", waiting)
	}
	for index := range startAcked {
		if kept := m.worker.Run(firstRun(index)) != nil; kept != (index != 0) {
			t.Errorf("the run of task %d keeps its capacity: %v", index, kept)
		}
	}
}

// TestWaitingWithoutRoom guards against a job that is reported as running although none of its tasks has started: its
// gang does not fit, so every attempt to place it is withdrawn.
func TestWaitingWithoutRoom(t *testing.T) {
	s := newLeader(t)
	acceptTestJob(s, workflow.Step{Count: 3, Gang: true})
	if launches, _ := s.place(time.Now()); len(launches) != 0 {
		t.Fatalf("%d members of a gang of 3 start on two workers with capacity for one each", len(launches))
	}
	if n, err := s.PendingJobs(t.Context(), route.QueueRef{Name: "q"}); n != 1 || err != nil {
		t.Errorf("%d jobs are waiting, error %v; want 1", n, err)
	}
}

// TestEndsOfGang guards against a member of a gang that runs again although it has ended as done: the end of the first
// member completed the gang, and the ends of the others were acknowledged before that was recorded. The leader was lost,
// and its successor knew of no end.
func TestEndsOfGang(t *testing.T) {
	s := newLeader(t)
	e := acceptTestJob(s, workflow.Step{Count: 2, Gang: true})
	if launches, _ := s.place(time.Now()); len(launches) != 2 {
		t.Fatalf("%d members start, want 2", len(launches))
	}
	s.mu.Lock()
	for _, p := range e.workflow.Active() {
		s.applyEnds(s.monitors[p.Worker], []port.EndedRun{{Number: 1, End: workflow.End{Run: p.RunRef, Outcome: workflow.Done}}})
	}
	s.mu.Unlock()
	for id, m := range s.monitors {
		if n := ackedEnd(s, m); n != 0 {
			t.Errorf("the end on %s is acknowledged before the progress of the job is recorded", id)
		}
	}
	s.mu.Lock()
	e.storedVersion = e.version
	s.mu.Unlock()
	for id, m := range s.monitors {
		if n := ackedEnd(s, m); n != 1 {
			t.Errorf("the end on %s is not acknowledged after the progress was recorded", id)
		}
	}
}

// panickingCodec panics on every record of a job.
type panickingCodec struct{ port.RecordCodec }

func (panickingCodec) DecodeJob([]byte) (port.AcceptedJob, error) { panic("malformed") }

// TestPanicEndsTerm guards against a panic in one task of the leader that ends the process, with all connections of its
// callers, and against a leader that goes on with a state that was left half changed.
func TestPanicEndsTerm(t *testing.T) {
	s := newLeader(t)
	s.ports.RecordCodec = panickingCodec{}
	s.goTask(func() { s.acceptJobs([]port.Entry{{Key: "job/a", Value: []byte("x")}}) })
	select {
	case <-s.ctx.Done():
	case <-time.After(5 * time.Second):
		t.Fatal("the term goes on after a panic")
	}
	s.mu.Lock() // the lock is not held for good
	defer s.mu.Unlock()
}
