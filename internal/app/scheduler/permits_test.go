package scheduler

import (
	"context"
	"fmt"
	"testing"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/permit"
	"skylarkstall/internal/domain/placement"
	"skylarkstall/internal/domain/workflow"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/port"
)

// peers makes calls for permits through processes with these names.
type peers struct {
	PeerPermitClients
	names []ident.ProcessID
}

func (p peers) Peers() []ident.ProcessID { return p.names }

// newPermitLeader returns a leader with further workers and 16 other processes.
func newPermitLeader(t *testing.T, workers int) *Scheduler {
	t.Helper()
	s := newLeader(t)
	for i := range workers {
		addTestWorker(s, ident.WorkerID(fmt.Sprintf("x%d", i)), 4000, time.Now())
	}
	var names []ident.ProcessID
	for i := range 16 {
		names = append(names, ident.ProcessID(fmt.Sprintf("p%02d", i)))
	}
	s.ports.PeerPermitClients = peers{names: names}
	return s
}

// TestPermitsOfWideStep guards against a gang whose tickets expire before all are there, because the workers are asked
// about one call after the other, and against workers that are asked about twice.
func TestPermitsOfWideStep(t *testing.T) {
	for count, wantCalls := range map[int]int{2: 1, 60: 6} {
		s := newPermitLeader(t, 400)
		e := acceptTestJob(s, workflow.Step{Count: count, Gang: true})
		e.queue.PermitPolicy = testPermitPolicy()
		e.queue.PermitPolicy.WorkerLatency = 8 * time.Millisecond
		_, calls := s.place(time.Now())
		asked, processes := map[permit.Worker]bool{}, map[ident.ProcessID]bool{}
		for _, call := range calls {
			processes[call.process] = true
			for _, w := range call.Workers {
				if asked[w] {
					t.Errorf("%d tasks: worker %s is asked about twice", count, w.ID)
				}
				asked[w] = true
			}
		}
		if len(calls) != wantCalls || len(processes) != wantCalls {
			t.Errorf("%d tasks: %d calls through %d processes, want %d", count, len(calls), len(processes), wantCalls)
		}
		s.retryStep(e, firstRun(0).Task.StepRef)
		if _, again := s.place(time.Now()); count == 2 && len(again) != 0 {
			t.Errorf("%d more calls while one is in progress", len(again))
		}
	}
}

// refusingPermitClients refuses every call for permits.
type refusingPermitClients struct{ peers }

func (refusingPermitClients) RequestPermitsVia(
	context.Context, ident.ProcessID, workflow.StepRef, []ident.WorkerID,
) (map[ident.WorkerID]permit.Ticket, error) {
	return nil, fault.New(fault.Overloaded, "too many calls are waiting")
}

// TestRefusedPermitCallKeepsBacklog guards against a process that gets one call after the other although each is refused, because a
// refused call makes its backlog look shorter than it is, while the step finds no process that would answer.
func TestRefusedPermitCallKeepsBacklog(t *testing.T) {
	s, now := newLeader(t), time.Now()
	s.ports.PeerPermitClients = refusingPermitClients{peers{names: []ident.ProcessID{"p0"}}}
	e := acceptTestJob(s, workflow.Step{Count: 2})
	e.queue.PermitPolicy = testPermitPolicy()
	const busyFor = 1400 * time.Millisecond
	s.dispatcher.Begin(permit.Slot{Process: "p0"}, true, busyFor, now)
	s.dispatcher.Begin(permit.Slot{Process: s.self}, true, time.Hour, now)
	_, calls := s.place(now)
	if len(calls) != 1 || calls[0].process != "p0" {
		t.Fatalf("%d calls, want one through p0", len(calls))
	}
	s.callPermits(t.Context(), calls[0])
	slot, _ := s.dispatcher.Next([]ident.ProcessID{"p0"}, &placement.Position{}, true, now)
	if slot.Process != "p0" || slot.Wait < busyFor {
		t.Errorf("the backlog of p0 is %v at %s after the refused call, want at least the %v before it", slot.Wait, slot.Process, busyFor)
	}
}

// BenchmarkPlace measures one pass of placement in which every step waits for capacity, and one in which nothing has
// changed since.
func BenchmarkPlace(b *testing.B) {
	for _, workers := range []int{50, 350, 1100} {
		for _, steps := range []int{10, 100, 1000} {
			for _, changed := range []bool{true, false} {
				b.Run(fmt.Sprintf("workers=%d/steps=%d/changed=%v", workers, steps, changed), func(b *testing.B) {
					benchmarkPlace(b, workers, steps, changed)
				})
			}
		}
	}
}

func benchmarkPlace(b *testing.B, workers, steps int, changed bool) {
	s, now := newFullLeader(b, workers, steps)
	b.ReportAllocs()
	for b.Loop() {
		if changed {
			for _, e := range s.openJobs {
				s.retryStep(e, workflow.StepRef{Job: e.workflow.Spec().ID})
			}
		}
		s.place(now)
	}
}

// TestLowerPriorityIsTried guards against waiting steps of the highest priority that take up every pass while capacity is
// released all the time, so that a task of a lower priority never starts although it fits.
func TestLowerPriorityIsTried(t *testing.T) {
	s, now := newPermitLeader(t, 1100), time.Now()
	accept := func(id workflow.ID, priority int, milliCores int64) {
		job := port.AcceptedJob{Spec: workflow.Spec{ID: id, Steps: []workflow.Step{{Count: 1}}}, AcceptedAt: now}
		job.Spec.Steps[0].Size.MilliCores = milliCores
		job.Queue.Name, job.Queue.Service, job.Queue.MaxAttempts, job.Queue.Priority = "q", "desk", 3, priority
		s.mu.Lock()
		defer s.mu.Unlock()
		s.acceptJob(job, 0)
	}
	const urgentSteps = 400
	for i := range urgentSteps {
		accept(workflow.ID(fmt.Sprintf("urgent%d", i)), 0, 5000) // larger than any worker
	}
	accept("small", 2, 1000)
	const stepsPerPass = 16
	const passes = urgentSteps/stepsPerPass + 2
	for pass := range passes {
		s.monitors["w1"].worker.Release(releasedRun(s, pass))
		if launches := placeAt(s, time.Now()); len(launches) > 0 {
			return
		}
	}
	t.Errorf("the task of a lower priority is not started within %d passes", passes)
}

// releasedRun reserves capacity of w1 for a run and returns the run.
func releasedRun(s *Scheduler, index int) workflow.RunRef {
	step := workflow.Step{Count: 1}
	ref := firstRun(index)
	_ = s.monitors["w1"].worker.Reserve(ref, &step) // it needs no capacity
	return ref
}
