package scheduler

import (
	"context"
	"maps"
	"slices"
	"sync"
	"testing"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/workflow"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/port"
)

// stopRecorder is a client of workers that acknowledge requests to stop runs and records these.
type stopRecorder struct {
	port.RunClient

	mu      sync.Mutex
	stopped map[workflow.RunRef]ident.WorkerID
}

func (r *stopRecorder) Stop(_ context.Context, target port.Target, run workflow.RunRef, _ ident.Epoch) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopped[run] = target.Worker
	return nil
}

func (r *stopRecorder) Sync(context.Context, port.Target, port.SyncRequest) (port.SyncReply, error) {
	return port.SyncReply{}, fault.New(fault.Unavailable, "no syncs in this test")
}

// gangSize is the number of members in these tests. Each worker has capacity for one of them.
const gangSize = 3

// newGangLeader returns the scheduler of a leader with one worker more than a gang needs, and the job of the gang.
func newGangLeader(t *testing.T) (*Scheduler, *stopRecorder, *jobEntry) {
	t.Helper()
	s, recorder := newLeaderFor(t), &stopRecorder{stopped: map[workflow.RunRef]ident.WorkerID{}}
	s.ports.RunClient = recorder
	for _, id := range []ident.WorkerID{"w1", "w2", "w3", "w4"} {
		addTestWorker(s, id, 4000, time.Now())
	}
	return s, recorder, acceptTestJob(s, workflow.Step{Count: gangSize, Gang: true})
}

// placeGangOnce places the gang and marks its runs as started.
func placeGangOnce(t *testing.T, s *Scheduler) []launch {
	t.Helper()
	launches, _ := s.place(time.Now())
	if len(launches) != gangSize {
		t.Fatalf("%d members start, want %d", len(launches), gangSize)
	}
	for _, l := range launches {
		run := l.monitor.worker.Run(l.request.RunRef)
		run.Started, run.Reported = time.Now(), true
	}
	return launches
}

// checkStopped runs a pass of placement, in which nothing may start, and checks which runs it stops.
func checkStopped(t *testing.T, s *Scheduler, recorder *stopRecorder, want ...workflow.RunRef) {
	t.Helper()
	if launches, _ := s.place(time.Now()); len(launches) > 0 {
		t.Errorf("%d members start beside those that are active", len(launches))
	}
	s.wg.Wait()
	for _, run := range want {
		if recorder.stopped[run] == "" {
			t.Errorf("%s run %d goes on waiting for a member that has no run", run.Task, run.Run)
		}
	}
	if len(recorder.stopped) != len(want) {
		t.Errorf("runs %v are stopped, want %v", slices.Collect(maps.Keys(recorder.stopped)), want)
	}
}

// endStopped reports the ends of the stopped runs.
func endStopped(s *Scheduler, recorder *stopRecorder) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for run, worker := range recorder.stopped {
		s.applyEnds(s.monitors[worker], []port.EndedRun{{Number: 1, End: workflow.End{Run: run, Outcome: workflow.Stopped}}})
	}
}

// TestMemberLostWithWorker guards against a gang that hangs after one of its workers has restarted, because the workers of the
// other members do not end these.
func TestMemberLostWithWorker(t *testing.T) {
	s, recorder, e := newGangLeader(t)
	launches := placeGangOnce(t, s)
	checkStopped(t, s, recorder)
	time.Sleep(time.Millisecond) // the restart is later than the starts
	restartWorker(s, launches[0].monitor)
	checkStopped(t, s, recorder, launches[1].request.RunRef, launches[2].request.RunRef)
	endStopped(s, recorder)
	s.mu.Lock()
	e.storedVersion = e.version // the crash is recorded
	s.mu.Unlock()
	for _, l := range placeGangOnce(t, s) {
		if l.request.Run <= launches[0].request.Run {
			t.Errorf("%s starts again as run %d after run %d", l.request.Task, l.request.Run, launches[0].request.Run)
		}
	}
}

// TestMemberNotStarted guards against members of a gang that wait for one whose start was refused.
func TestMemberNotStarted(t *testing.T) {
	s, recorder, _ := newGangLeader(t)
	launches := placeGangOnce(t, s)
	s.startRefused(launches[1], fault.New(fault.NoCapacity, "no room"))
	checkStopped(t, s, recorder, launches[0].request.RunRef, launches[2].request.RunRef)
}

// TestStartsOfGangInFlight guards against a gang that is broken up before the starts of its members are acknowledged.
func TestStartsOfGangInFlight(t *testing.T) {
	s, recorder, _ := newGangLeader(t)
	launches, _ := s.place(time.Now())
	s.startAcked(launches[0], 2*time.Second, time.Now())
	checkStopped(t, s, recorder)
}

// TestNextLeaderFindsPartOfGang guards against a gang that hangs under every later leader, because a member was lost around a
// change of the leader, and against a new leader that breaks up a gang before it knows of all members.
func TestNextLeaderFindsPartOfGang(t *testing.T) {
	member := func(index int) workflow.RunRef { return workflow.RunRef{Task: firstRun(index).Task, Run: 1001} }
	running := func(indexes ...int) (list []port.RunningRun) {
		for _, index := range indexes {
			list = append(list, port.RunningRun{RunRef: member(index)})
		}
		return list
	}
	tests := map[string]struct {
		last func(s *Scheduler, m *workerMonitor) // what becomes of the worker that answers last
		want []workflow.RunRef
	}{
		"member is gone": {func(s *Scheduler, m *workerMonitor) {
			s.applyReply(m, s.term.Token, port.SyncReply{Incarnation: 1, WorkerClock: time.Second}, time.Now(), time.Now())
		}, []workflow.RunRef{member(0), member(1)}},
		"member is there": {func(s *Scheduler, m *workerMonitor) {
			reply := port.SyncReply{Incarnation: 1, WorkerClock: time.Second, Running: running(2)}
			s.applyReply(m, s.term.Token, reply, time.Now(), time.Now())
		}, nil},
		"gang is done": {func(s *Scheduler, m *workerMonitor) {
			reply := port.SyncReply{Incarnation: 1, WorkerClock: time.Second}
			reply.Ended = []port.EndedRun{{Number: 1, End: workflow.End{Run: member(2), Outcome: workflow.Done}}}
			s.applyReply(m, s.term.Token, reply, time.Now(), time.Now())
		}, nil},
		"worker is silent": {func(s *Scheduler, _ *workerMonitor) {
			s.startedAt = s.startedAt.Add(-time.Minute)
		}, []workflow.RunRef{member(0), member(1)}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s, recorder, e := newGangLeader(t)
			e.workflow.MarkUnknownRuns()
			s.unsynced["w3"] = port.WorkerRecord{}
			s.putMonitor("w3", newMonitor(s.monitors["w3"].worker.Info()))
			for index, id := range []ident.WorkerID{"w1", "w2"} {
				reply := port.SyncReply{Incarnation: 1, WorkerClock: time.Second, Running: running(index)}
				s.applyReply(s.monitors[id], s.term.Token, reply, time.Now(), time.Now())
			}
			checkStopped(t, s, recorder)
			test.last(s, s.monitors["w3"])
			checkStopped(t, s, recorder, test.want...)
		})
	}
}
