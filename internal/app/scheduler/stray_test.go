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
type mute struct{ port.Runner }

func (mute) Stop(ctx context.Context, _ port.Target, _ workflow.RunRef, _ ident.Epoch) error {
	<-ctx.Done()
	return ctx.Err()
}

// TestRunOfJobNotKnownYet guards against a task that runs twice: a former leader that did not know of its end took a job in
// and started it, the new one met that run before it had read of the job, and started the task while the run was stopping.
func TestRunOfJobNotKnownYet(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	s := New("b", Settings{MaxHold: 6 * time.Second}, Ports{Runner: mute{}}, &route.Table{},
		leadership.Term{Number: 2, Token: 9, Succeeds: true}, slog.New(slog.DiscardHandler))
	s.ctx, s.end, s.began = ctx, cancel, time.Now()
	defer s.running.Wait()
	defer cancel()
	now := time.Now()
	for _, id := range []ident.WorkerID{"w1", "w2"} {
		k := &keeper{worker: pool.NewWorker(pool.Entry{
			ID: id, Service: "desk", Capacity: resource.Vector{MilliCores: 4000, MemoryBytes: 8 << 30},
		})}
		k.worker.Answered(time.Second, now, now)
		k.worker.ListedRuns()
		s.keepers[id], s.recorded[id] = k, true
	}
	spec := workflow.Spec{ID: "job", Steps: []workflow.Step{{Count: 1, Size: resource.Vector{MilliCores: 3000, MemoryBytes: 1 << 30}}}}
	run := workflow.RunRef{Task: workflow.TaskRef{StepRef: workflow.StepRef{Job: "job"}}, Run: 1}
	first := s.keepers["w1"]
	s.mu.Lock()
	s.applyRunning(first, []port.RunReport{{RunRef: run}}, now, now)
	s.take(port.Accepted{Spec: spec, Queue: route.Queue{Name: "q", Service: "desk", MaxAttempts: 3}, At: now})
	s.mu.Unlock()
	if launches, _ := s.place(time.Now()); len(launches) > 0 {
		t.Fatalf("%s starts on %s while run 1 is being stopped on w1", launches[0].order.Task, launches[0].target.Worker)
	}
	if free := first.worker.Free().MilliCores; free != 1000 {
		t.Errorf("%d thousandths of a core are free beside the run; want 1000", free)
	}
	s.mu.Lock()
	s.applyEnds(first, []port.EndReport{{Number: 1, End: workflow.End{Run: run, How: workflow.Stopped}}})
	s.mu.Unlock()
	launches, _ := s.place(time.Now())
	if len(launches) != 1 || launches[0].order.Run <= run.Run {
		t.Fatalf("%d starts after the run has ended, want one with a higher number", len(launches))
	}
}
