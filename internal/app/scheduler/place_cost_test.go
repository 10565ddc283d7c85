package scheduler

import (
	"fmt"
	"testing"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/permit"
	"skylarkstall/internal/domain/workflow"
	"skylarkstall/internal/port"
)

// BenchmarkPlaceWithPermits measures one pass of placement in which steps wait for permits or capacity on workers that are full of
// preemptible runs, and one in which nothing has changed since.
func BenchmarkPlaceWithPermits(b *testing.B) {
	for _, workers := range []int{50, 350, 1100} {
		for _, changed := range []bool{true, false} {
			b.Run(fmt.Sprintf("workers=%d/changed=%v", workers, changed), func(b *testing.B) {
				benchmarkPlaceWithPermits(b, workers, changed)
			})
		}
	}
}

func benchmarkPlaceWithPermits(b *testing.B, workers int, changed bool) {
	const steps, runsPerWorker = 60, 4
	s, now := newLeaderFor(b), time.Now()
	s.ports.PeerPermitClients = peers{names: []ident.ProcessID{"p0", "p1", "p2", "p3"}}
	running := workflow.Step{Count: 1, Checkpointing: true}
	running.Size.MilliCores = 1000
	for i := range workers {
		id := ident.WorkerID(fmt.Sprintf("x%d", i))
		addTestWorker(s, id, runsPerWorker*running.Size.MilliCores, now)
		for k := range runsPerWorker {
			ref := workflow.RunRef{Task: workflow.TaskRef{StepRef: workflow.StepRef{Job: "full"}, Index: runsPerWorker*i + k}, Run: 1}
			if err := s.monitors[id].worker.Reserve(ref, &running); err != nil {
				b.Fatal(err)
			}
			run := s.monitors[id].worker.Run(ref)
			run.Priority, run.Reported = 2, true
		}
	}
	var refs []workflow.StepRef
	for i := range steps {
		refs = append(refs, acceptPermitStep(s, i, now))
	}
	s.place(now.Add(-time.Minute)) // the steps have waited for long
	b.ReportAllocs()
	tried := 0
	for b.Loop() {
		now = now.Add(1)
		if changed {
			for _, ref := range refs {
				s.retryStep(s.jobs[ref.Job], ref)
			}
		}
		_, calls := s.place(now)
		for _, call := range calls {
			call.permits.EndCall(call.Call)
		}
		s.dispatcher = permit.NewDispatcher(s.self)
		for _, ref := range refs {
			if s.jobs[ref.Job].step(ref).wait.triedAt.Equal(now) {
				tried++
			}
		}
	}
	b.ReportMetric(float64(tried)/float64(b.N), "steps/op") // a pass is limited in time
}

// acceptPermitStep accepts a job with a step that may run on a sixth of the workers, and must not on another one.
func acceptPermitStep(s *Scheduler, number int, now time.Time) workflow.StepRef {
	job := port.AcceptedJob{Spec: workflow.Spec{ID: workflow.ID(fmt.Sprintf("j%d", number))}, AcceptedAt: now}
	step := workflow.Step{Count: 20}
	step.Size.MilliCores = 3000
	job.Spec.Steps = []workflow.Step{step}
	job.Queue.Name, job.Queue.Service, job.Queue.MaxAttempts, job.Queue.Priority = "q", "desk", 3, 2*(number%2)
	job.Queue.PermitPolicy = testPermitPolicy()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.acceptJob(job, 0)
	ref := workflow.StepRef{Job: job.Spec.ID}
	permits := s.permitsOf(*s.newCandidate(s.jobs[ref.Job], ref, job.Queue, now))
	var asked []permit.Worker
	tickets := map[ident.WorkerID]permit.Ticket{}
	for id, m := range s.monitors {
		switch w := permitWorker(m); (len(id) + int(id[len(id)-1]) + number) % 6 {
		case 0:
			tickets[id] = permit.Ticket{Value: "t", Expires: now.Add(time.Hour)}
			asked = append(asked, w)
		case 1:
			asked = append(asked, w)
		}
	}
	permits.ApplyResponse(asked, tickets)
	return ref
}
