package scheduler

import (
	"testing"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/permit"
	"skylarkstall/internal/domain/pool"
	"skylarkstall/internal/domain/resource"
	"skylarkstall/internal/domain/workflow"
)

// waitingStep returns a leader with two full workers, and a step that has found no room on them.
func waitingStep(t *testing.T, now time.Time) (*Scheduler, workflow.StepRef) {
	t.Helper()
	s := newLeaderFor(t)
	full := workflow.Step{Count: 1, Size: resource.Vector{MilliCores: 4000}}
	for i, id := range []ident.WorkerID{"w1", "w2"} {
		addTestWorker(s, id, 4000, now)
		if err := s.monitors[id].worker.Reserve(firstRun(i), &full); err != nil {
			t.Fatal(err)
		}
	}
	acceptNamed(s, "waiting", workflow.Step{Count: 2, Size: resource.Vector{MilliCores: 4000}})
	s.jobs["waiting"].queue.Priority = 1
	if launches := placeAt(s, now); len(launches) > 0 {
		t.Fatalf("%d starts on full workers", len(launches))
	}
	return s, workflow.StepRef{Job: "waiting"}
}

// TestReleasedCapacityIsUsed guards against a step that waits although capacity was released on a worker that may run it, and against
// a start on a worker that may not.
func TestReleasedCapacityIsUsed(t *testing.T) {
	const valid = time.Second
	for name, c := range map[string]struct {
		change  func(s *Scheduler)
		permit  ident.WorkerID // the step needs a permit, and has one for this worker
		expires time.Duration
		starts  int
	}{
		"allowed":           {starts: 1},
		"cordoned":          {change: func(s *Scheduler) { s.setRecorded("w1", false) }},
		"not recorded":      {change: func(s *Scheduler) { s.unrecord("w1") }},
		"removed":           {change: func(s *Scheduler) { s.removeMonitor("w1") }},
		"draining":          {change: func(s *Scheduler) { drain(s.monitors["w1"].worker) }},
		"with a permit":     {permit: "w1", expires: valid, starts: 1},
		"permit expired":    {permit: "w1"},
		"permit of another": {permit: "w2", expires: valid},
		"permit of its former life": {permit: "w1", expires: valid, change: func(s *Scheduler) {
			worker := s.monitors["w1"].worker
			info := worker.Info()
			info.Incarnation = 2
			worker.ResetAfterRestart(info.Incarnation, 0)
			worker.UpdateInfo(info) // the worker list describes its new life
		}},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Now()
			s, ref := waitingStep(t, now)
			if c.permit != "" {
				s.jobs[ref.Job].queue.PermitPolicy = testPermitPolicy()
				s.queue.isKept = false // as after a change of the configuration
				s.jobs[ref.Job].step(ref).permits = allowOnly(c.permit, now.Add(c.expires))
			}
			s.monitors["w1"].worker.Release(firstRun(0))
			if c.change != nil {
				c.change(s)
			}
			launches := placeAt(s, now.Add(10*time.Millisecond))
			if len(launches) != c.starts {
				t.Fatalf("%d starts, want %d", len(launches), c.starts)
			}
			if c.starts > 0 && launches[0].target.Worker != "w1" {
				t.Errorf("started on %s, want w1", launches[0].target.Worker)
			}
		})
	}
}

func drain(w *pool.Worker) {
	info := w.Info()
	info.Draining = true
	w.UpdateInfo(info)
}

func allowOnly(id ident.WorkerID, expires time.Time) *permit.Permits {
	p := permit.New()
	p.ApplyResponse([]permit.Worker{{ID: id, Incarnation: 1}}, map[ident.WorkerID]permit.Ticket{id: {Value: "t", Expires: expires}})
	return p
}

// TestReleaseBeforeMissedPass guards against capacity that a step never uses, because the pass that noticed its release ended before it
// reached the step.
func TestReleaseBeforeMissedPass(t *testing.T) {
	now := time.Now()
	s, _ := waitingStep(t, now)
	s.monitors["w2"].worker.Release(firstRun(1))
	s.releases.notice(s, now.Add(10*time.Millisecond))
	if launches := placeAt(s, now.Add(20*time.Millisecond)); len(launches) != 1 {
		t.Errorf("%d starts after a pass that did not reach the step, want 1", len(launches))
	}
	if launches := placeAt(s, now.Add(30*time.Millisecond)); len(launches) != 0 {
		t.Errorf("%d starts although nothing was released", len(launches))
	}
}

// TestReleaseBeforeRosterChange guards against capacity that a step does not use at once, because the workers that may get runs changed
// between its release and the next pass.
func TestReleaseBeforeRosterChange(t *testing.T) {
	now := time.Now()
	s, _ := waitingStep(t, now)
	s.monitors["w1"].worker.Release(firstRun(0))
	s.setRecorded("w2", false)
	launches := placeAt(s, now.Add(10*time.Millisecond))
	if len(launches) != 1 || launches[0].target.Worker != "w1" {
		t.Errorf("%d starts, want one on w1", len(launches))
	}
}
