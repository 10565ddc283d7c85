package scheduler

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/permit"
	"skylarkstall/internal/domain/resource"
	"skylarkstall/internal/domain/route"
	"skylarkstall/internal/domain/workflow"
)

// respond lets every worker respond at the given time.
func respond(s *Scheduler, now time.Time) {
	for _, m := range s.monitors {
		m.worker.ObserveClock(now.Sub(s.startedAt)+time.Minute, now, now)
	}
}

// placeAt places tasks at the given time, at which every worker has responded.
func placeAt(s *Scheduler, now time.Time) []launch {
	respond(s, now)
	launches, _ := s.place(now)
	return launches
}

// placedWithin places tasks every 100 ms and returns the time until a task started, and false if none did.
func placedWithin(s *Scheduler, now time.Time, limit time.Duration) (time.Duration, bool) {
	for waited := time.Duration(0); waited <= limit; waited += placeInterval {
		if len(placeAt(s, now.Add(waited))) > 0 {
			return waited, true
		}
	}
	return limit, false
}

// fail ends a run of a task as failed on a worker.
func fail(s *Scheduler, l launch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l.monitor.worker.Release(l.request.RunRef)
	s.applyEnd(l.monitor, workflow.End{Run: l.request.RunRef, Outcome: workflow.Failed})
}

// TestFailedOnAllWorkers guards against a job that waits for good although workers are idle: its task had failed once on
// every worker that may run it.
func TestFailedOnAllWorkers(t *testing.T) {
	s := newLeader(t)
	acceptTestJob(s, workflow.Step{Count: 1})
	now := time.Now()
	for range s.monitors {
		launches := placeAt(s, now)
		if len(launches) != 1 {
			t.Fatalf("%d starts, want 1", len(launches))
		}
		fail(s, launches[0])
	}
	if n := len(placeAt(s, now)); n != 0 {
		t.Errorf("%d starts immediately on a worker on which the task has failed, want 0", n)
	}
	if waited, ok := placedWithin(s, now, 2*time.Second); !ok {
		t.Errorf("the task is not started within %v, with attempts left and idle workers", waited)
	}
}

// TestFailedWorkerIsLastChoice guards against attempts that are used up on a worker that fails everything, because it is
// the only one with free capacity while the others are busy.
func TestFailedWorkerIsLastChoice(t *testing.T) {
	s := newLeader(t)
	busy := workflow.Step{Count: 1, Size: resource.Vector{MilliCores: 4000}}
	if err := s.monitors["w2"].worker.Reserve(firstRun(7), &busy); err != nil {
		t.Fatal(err)
	}
	e := acceptTestJob(s, workflow.Step{Count: 1})
	e.avoidWorker(firstRun(0).Task, "w1")
	now := time.Now()
	if waited, ok := placedWithin(s, now, 3*time.Second); ok {
		t.Errorf("the task is started after %v on a worker on which it has failed, although w2 is only busy", waited)
	}
	if waited, ok := placedWithin(s, now.Add(3*time.Second), 6*time.Second); !ok {
		t.Errorf("the task is not started %v later, and may wait for good", waited)
	}
}

// TestFailedLongRunningTask guards against a long-running task that stays away for more than 9 s although a worker has free
// capacity: the task failed there, others fail there too, and no other worker has free capacity.
func TestFailedLongRunningTask(t *testing.T) {
	s, now := newLeader(t), time.Now()
	acceptTestJob(s, workflow.Step{Count: 1, LongRunning: true})
	launches := placeAt(s, now)
	if len(launches) != 1 {
		t.Fatalf("%d starts, want 1", len(launches))
	}
	failing := launches[0].monitor.worker
	for id := range s.monitors {
		if id != failing.Info().ID {
			reserveAll(t, s, id)
		}
	}
	fail(s, launches[0])
	for waited := time.Duration(0); waited < 9*time.Second; waited += placeInterval {
		if waited%time.Second == 0 {
			failing.RecordFailure(workflow.ID(waited.String()), now.Add(waited))
		}
		if len(placeAt(s, now.Add(waited))) > 0 {
			return
		}
	}
	t.Error("the task is not started within 9 s on the only worker with free capacity")
}

// TestEveryTaskIsPlaced guards against any history of failures, backoffs and permits after which a task with attempts
// left and an allowed worker with free capacity is never started.
func TestEveryTaskIsPlaced(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s, now := newLeader(t), time.Now()
		e := acceptTestJob(s, workflow.Step{Count: rapid.IntRange(1, 4).Draw(rt, "tasks"), Gang: rapid.Bool().Draw(rt, "gang")})
		for i := range rapid.IntRange(0, 6).Draw(rt, "more workers") {
			addTestWorker(s, ident.WorkerID(rune('a'+i)), 4000, now)
		}
		if rapid.Bool().Draw(rt, "big workers") {
			addTestWorker(s, "big", 4*3000, now)
		}
		for _, m := range s.monitors {
			for range rapid.IntRange(0, 6).Draw(rt, "failures of the worker") {
				m.worker.RecordFailure(workflow.ID(rapid.StringN(1, 3, 3).Draw(rt, "job")), now)
			}
			for index := range e.workflow.Step(firstRun(0).Task.StepRef).Count {
				if rapid.Bool().Draw(rt, "failed on the worker") {
					e.avoidWorker(firstRun(index).Task, m.worker.Info().ID)
				}
			}
		}
		room := 0
		for _, m := range s.monitors {
			room += m.worker.FitCount(e.workflow.Step(firstRun(0).Task.StepRef))
		}
		started, want := 0, e.workflow.Step(firstRun(0).Task.StepRef).Count
		if room < want {
			if e.workflow.Step(firstRun(0).Task.StepRef).Gang {
				want = 0
			}
			want = min(want, room)
		}
		for waited := time.Duration(0); waited <= 10*time.Second; waited += placeInterval {
			started += len(placeAt(s, now.Add(waited)))
		}
		if started != want {
			rt.Fatalf("%d of %d tasks started within 10 s", started, want)
		}
	})
}

// TestPermitsOfFailedWorkers guards against a step that waits for good because the permit service is not asked about the
// workers on which runs have failed, and refuses all others.
func TestPermitsOfFailedWorkers(t *testing.T) {
	s := newLeader(t)
	e := acceptTestJob(s, workflow.Step{Count: 1})
	e.queue.PermitPolicy = testPermitPolicy()
	s.ports.PeerPermitClients = noPeers{}
	now := time.Now()
	for _, job := range []workflow.ID{"a", "b", "c", "d", "e", "f", "g"} {
		s.monitors["w1"].worker.RecordFailure(job, now)
	}
	for waited := time.Duration(0); waited < 3*time.Second; waited += placeInterval {
		respond(s, now.Add(waited))
		launches, calls := s.place(now.Add(waited))
		if len(launches) > 0 {
			return
		}
		for _, call := range calls {
			answer := map[ident.WorkerID]permit.Ticket{}
			for _, w := range call.Workers {
				if w.ID == "w1" {
					answer["w1"] = permit.Ticket{Value: "t", Expires: now.Add(time.Minute)}
				}
			}
			call.permits.EndCall(call.Call)
			call.permits.ApplyResponse(call.Workers, answer)
		}
	}
	t.Error("the task is not started within 3 s on the only worker that its queue allows")
}

func testPermitPolicy() *route.PermitPolicy {
	return &route.PermitPolicy{CallLatency: time.Millisecond, WorkerLatency: time.Millisecond, TicketTTL: time.Minute}
}

// noPeers has no other processes to call the permit service through.
type noPeers struct{ PeerPermitClients }

func (noPeers) Peers() []ident.ProcessID { return nil }
