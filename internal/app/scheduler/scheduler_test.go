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
	"skylarkstall/internal/port"
)

// mute is workers that answer no order.
type mute struct{ port.RunClient }

func (mute) Stop(ctx context.Context, _ port.Target, _ workflow.RunRef, _ ident.Epoch) error {
	<-ctx.Done()
	return ctx.Err()
}

// newTerm returns the work of a leader that holds two workers of 4 cores and 8 GB, w1 and w2.
func newTerm(t *testing.T) *Scheduler {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	s := New("b", Settings{MaxLease: 6 * time.Second}, Ports{Runner: mute{}}, &route.Table{},
		leadership.Term{Number: 2, Token: 9, HasPredecessor: true}, slog.New(slog.DiscardHandler))
	s.ctx, s.end, s.began, s.ready = ctx, cancel, time.Now(), true
	t.Cleanup(func() { cancel(); s.running.Wait() })
	now := time.Now()
	for _, id := range []ident.WorkerID{"w1", "w2"} {
		k := &keeper{worker: pool.NewWorker(pool.WorkerInfo{
			ID: id, Service: "desk", Capacity: resource.Vector{MilliCores: 4000, MemoryBytes: 8 << 30}, Incarnation: 1,
		})}
		k.worker.ObserveClock(time.Second, now, now)
		k.worker.MarkSynced()
		s.keepers[id], s.recorded[id] = k, true
	}
	return s
}

// takeJob hands in a job of one step with tasks of 3 cores.
func takeJob(s *Scheduler, step workflow.Step) *entry {
	step.Size = resource.Vector{MilliCores: 3000, MemoryBytes: 1 << 30}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.take(port.AcceptedJob{
		Spec: workflow.Spec{ID: "job", Steps: []workflow.Step{step}}, AcceptedAt: time.Now(),
		Queue: route.Queue{Name: "q", Service: "desk", MaxAttempts: 3},
	})
}

func firstRun(index int) workflow.RunRef {
	return workflow.RunRef{Task: workflow.TaskRef{StepRef: workflow.StepRef{Job: "job"}, Index: index}, Run: 1}
}

// TestRunOfJobNotKnownYet guards against a task that runs twice: a former leader that did not know of its end took a job in
// and started it, the new one met that run before it had read of the job, and started the task while the run was stopping.
func TestRunOfJobNotKnownYet(t *testing.T) {
	s, now, run := newTerm(t), time.Now(), firstRun(0)
	first := s.keepers["w1"]
	s.mu.Lock()
	s.applyRunning(first, []port.RunningRun{{RunRef: run}}, now, now)
	s.mu.Unlock()
	takeJob(s, workflow.Step{Count: 1})
	if launches, _ := s.place(time.Now()); len(launches) > 0 {
		t.Fatalf("%s starts on %s while run 1 is being stopped on w1", launches[0].order.Task, launches[0].target.Worker)
	}
	if free := first.worker.Free().MilliCores; free != 1000 {
		t.Errorf("%d thousandths of a core are free beside the run; want 1000", free)
	}
	s.mu.Lock()
	s.applyEnds(first, []port.EndedRun{{Number: 1, End: workflow.End{Run: run, Outcome: workflow.Stopped}}})
	s.mu.Unlock()
	launches, _ := s.place(time.Now())
	if len(launches) != 1 || launches[0].order.Run <= run.Run {
		t.Fatalf("%d starts after the run has ended, want one with a higher number", len(launches))
	}
}

// TestStartDuringRestart guards against a second run of a task whose first start reached a worker that had just come back: a
// look that was sent before the start tells of the new life, and lists no run.
func TestStartDuringRestart(t *testing.T) {
	s := newTerm(t)
	k, asked := s.keepers["w1"], time.Now()
	answered := map[int]time.Time{
		0: asked.Add(-time.Second), // in the former life
		1: asked.Add(time.Millisecond),
		2: {}, // not answered yet
	}
	e := takeJob(s, workflow.Step{Count: len(answered)})
	s.mu.Lock()
	defer s.mu.Unlock()
	for index, at := range answered {
		run := firstRun(index)
		k.worker.Adopt(run, &workflow.Step{})
		k.worker.Run(run).Started = at
		e.flow.Start(workflow.Placement{RunRef: run, Worker: "w1"})
	}
	s.noticeBirth(k, port.SyncReply{Incarnation: 2, WorkerClock: time.Second}, asked)
	if waiting := e.flow.Waiting(firstRun(0).Task.StepRef); len(waiting) != 1 || waiting[0] != 0 {
		t.Errorf("tasks %v may start again; want only task 0, whose run the crash took", waiting)
	}
	for index := range answered {
		if kept := k.worker.Run(firstRun(index)) != nil; kept != (index != 0) {
			t.Errorf("the run of task %d keeps its room: %v", index, kept)
		}
	}
}

// TestWaitingWithoutRoom guards against a job that is shown as running although none of its tasks has begun: its gang does
// not fit, so that every attempt to place it is taken back.
func TestWaitingWithoutRoom(t *testing.T) {
	s := newTerm(t)
	takeJob(s, workflow.Step{Count: 3, Gang: true})
	if launches, _ := s.place(time.Now()); len(launches) != 0 {
		t.Fatalf("%d members of a gang of 3 start on two workers with room for one each", len(launches))
	}
	if n, err := s.PendingJobs(t.Context(), "q"); n != 1 || err != nil {
		t.Errorf("%d jobs wait, %v; want 1", n, err)
	}
}
