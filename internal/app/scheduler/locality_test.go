package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/locality"
	"skylarkstall/internal/domain/resource"
	"skylarkstall/internal/domain/workflow"
)

// newRackLeader returns a leader with four workers of four cores on the rack r1, full of runs of the step, and four idle ones on r2.
func newRackLeader(t testing.TB, remoteFactor float64, running workflow.Step, now time.Time) *Scheduler {
	t.Helper()
	s := newLeaderFor(t)
	s.settings.RemoteFactor = remoteFactor
	s.observer = s.newRunObserver()
	addRack := func(rack string) {
		for i := range 4 {
			id := ident.WorkerID(fmt.Sprintf("%s-%d", rack, i))
			addTestWorker(s, id, 4000, now)
			info := s.monitors[id].worker.Info()
			info.Rack = rack
			s.monitors[id].worker.UpdateInfo(info)
		}
		s.roster = nil
	}
	addRack("r1")
	running.Count, running.Size = 16, resource.Vector{MilliCores: 1000}
	acceptNamed(s, "running", running)
	if launches := placeAt(s, now); len(launches) != 16 {
		t.Fatalf("%d starts on r1, want 16", len(launches))
	}
	s.startsInProgress = 0
	addRack("r2")
	return s
}

// nearStep is a step with its data on r1.
func nearStep(count int) workflow.Step {
	return workflow.Step{Count: count, DataRack: "r1", Size: resource.Vector{MilliCores: 1000}, Estimate: time.Second}
}

// endRuns ends runs on r1.
func endRuns(s *Scheduler, count int) {
	for _, m := range s.monitors {
		for _, run := range m.worker.Runs() {
			if count > 0 && run.Task.Job == "running" {
				m.worker.Release(run.RunRef)
				count--
			}
		}
	}
}

// placedOn returns how many tasks start on r1, and elsewhere.
func placedOn(launches []launch) (there, elsewhere int) {
	for _, l := range launches {
		if l.monitor.worker.Rack() == "r1" {
			there++
		} else {
			elsewhere++
		}
	}
	return there, elsewhere
}

var shortRuns = workflow.Step{Estimate: time.Second}

// TestWaitForRack guards against tasks that start far from their data just before their rack has room, and against ones that wait although
// nothing is to be had from it.
func TestWaitForRack(t *testing.T) {
	drainRack := func(s *Scheduler, _ *workflow.Step) {
		for i := range 4 {
			drain(s.monitors[ident.WorkerID(fmt.Sprintf("r1-%d", i))].worker)
		}
	}
	for name, c := range map[string]struct {
		remoteFactor float64
		running      workflow.Step
		change       func(s *Scheduler, step *workflow.Step)
		starts       int // at once, elsewhere
	}{
		"hot rack, short runs":     {3, shortRuns, nil, 0},
		"factor not known":         {0, shortRuns, nil, 1},
		"far is as fast":           {1, shortRuns, nil, 1},
		"hot rack, long runs":      {3, workflow.Step{Estimate: time.Minute}, nil, 1},
		"hot rack, runs that last": {3, workflow.Step{Estimate: time.Second, LongRunning: true}, nil, 1},
		"nothing names the rack":   {3, shortRuns, func(_ *Scheduler, step *workflow.Step) { step.DataRack = "" }, 1},
		"rack that nobody knows":   {3, shortRuns, func(_ *Scheduler, step *workflow.Step) { step.DataRack = "r9" }, 1},
		"step that lasts":          {3, shortRuns, func(_ *Scheduler, step *workflow.Step) { step.LongRunning = true }, 1},
		"rack that drains":         {3, shortRuns, drainRack, 1},
		"rack without the label":   {3, shortRuns, func(_ *Scheduler, step *workflow.Step) { step.RequiredLabel = "r2" }, 1},
		"duration not known":       {3, workflow.Step{}, func(_ *Scheduler, step *workflow.Step) { step.Estimate = 0 }, 1},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Now()
			s, step := newRackLeader(t, c.remoteFactor, c.running, now), nearStep(1)
			if c.change != nil {
				c.change(s, &step)
			}
			if step.RequiredLabel != "" {
				for i := range 4 {
					info := s.monitors[ident.WorkerID(fmt.Sprintf("r2-%d", i))].worker.Info()
					info.Labels = []string{"r2"}
					s.monitors[ident.WorkerID(fmt.Sprintf("r2-%d", i))].worker.UpdateInfo(info)
				}
			}
			acceptNamed(s, "near", step)
			launches := placeAt(s, now)
			if _, elsewhere := placedOn(launches); len(launches) != c.starts || elsewhere != c.starts {
				t.Fatalf("%d starts, want %d elsewhere", len(launches), c.starts)
			}
			if c.starts > 0 {
				return
			}
			endRuns(s, 1)
			if there, elsewhere := placedOn(placeAt(s, now.Add(20*time.Millisecond))); there != 1 || elsewhere != 0 {
				t.Errorf("after the end of a run on the rack, %d tasks start there and %d elsewhere", there, elsewhere)
			}
			if n := len(s.near.waiting["r1"]); n > 0 {
				t.Errorf("%d steps are noted to wait after the start", n)
			}
		})
	}
}

// TestWaitForRackIsBounded guards against a task that waits for as long as the rack keeps it waiting, because the runs there take longer than
// stated, and against the next one that relies on the same expectation.
func TestWaitForRackIsBounded(t *testing.T) {
	now := time.Now()
	s := newRackLeader(t, 3, shortRuns, now)
	acceptNamed(s, "near", nearStep(1))
	waited, ok := placedWithin(s, now, 5*time.Second)
	if bound := locality.MaxWait + placeInterval; !ok || waited == 0 || waited > bound {
		t.Fatalf("started %v after %v, want a wait of at most %v", ok, waited, bound)
	}
	acceptNamed(s, "next", nearStep(1))
	if launches := placeAt(s, now.Add(waited)); len(launches) != 1 {
		t.Errorf("%d starts right after a wait in vain, want 1", len(launches))
	}
}

// TestWaitLapses guards against a step that every pass tries on all workers, because it was to decide on its wait and there is no room elsewhere
// any more.
func TestWaitLapses(t *testing.T) {
	now := time.Now()
	s := newRackLeader(t, 3, shortRuns, now)
	acceptNamed(s, "near", nearStep(1))
	if launches := placeAt(s, now); len(launches) > 0 {
		t.Fatalf("%d starts, want a wait", len(launches))
	}
	acceptNamed(s, "filler", workflow.Step{Count: 16, Size: resource.Vector{MilliCores: 1000}})
	if launches := placeAt(s, now); len(launches) != 16 {
		t.Fatalf("%d starts, want r2 filled", len(launches))
	}
	s.startsInProgress = 0
	now = now.Add(400 * time.Millisecond) // the wait is due
	placeAt(s, now)
	step := s.jobs["near"].step(workflow.StepRef{Job: "near"})
	if now = now.Add(time.Millisecond); s.needsTry(step.queued, now) || step.near.isOn(now) || len(s.near.waiting["r1"]) > 0 {
		t.Errorf("the step is to be tried again at once, or waits for its rack: %+v", step.near)
	}
	filled := s.monitors["r2-0"].worker
	filled.Release(filled.Runs()[0].RunRef)
	if waited, ok := placedWithin(s, now, 3*time.Second); !ok || waited > locality.MaxWait {
		t.Errorf("the step starts: %v, after %v", ok, waited)
	}
}

// TestRackDiesDuringWait guards against a task that keeps waiting for a rack whose workers cannot take it any more.
func TestRackDiesDuringWait(t *testing.T) {
	now := time.Now()
	s := newRackLeader(t, 3, shortRuns, now)
	acceptNamed(s, "near", nearStep(8)) // room for all is expected in 500 ms
	if launches := placeAt(s, now); len(launches) > 0 {
		t.Fatalf("%d starts, want a wait", len(launches))
	}
	for i := range 4 {
		s.removeMonitor(ident.WorkerID(fmt.Sprintf("r1-%d", i)))
	}
	if waited, ok := placedWithin(s, now, time.Second); !ok || waited > 600*time.Millisecond {
		t.Errorf("started %v after %v, want within the 500 ms for which a decision stands", ok, waited)
	}
}

// TestGangsWaitForRack guards against gangs of which some members start elsewhere, and against two that take each other's room.
func TestGangsWaitForRack(t *testing.T) {
	now := time.Now()
	s := newRackLeader(t, 3, shortRuns, now)
	for _, id := range []workflow.ID{"gang1", "gang2"} {
		step := nearStep(4)
		step.Gang = true
		acceptNamed(s, id, step)
	}
	if launches := placeAt(s, now); len(launches) > 0 {
		t.Fatalf("%d starts, want both gangs to wait", len(launches))
	}
	for round := range 2 {
		endRuns(s, 2)
		now = now.Add(10 * time.Millisecond)
		if launches := placeAt(s, now); len(launches) > 0 {
			t.Fatalf("%d starts on room for half a gang", len(launches))
		}
		endRuns(s, 2)
		now = now.Add(10 * time.Millisecond)
		launches := placeAt(s, now)
		if there, elsewhere := placedOn(launches); there != 4 || elsewhere != 0 {
			t.Fatalf("round %d: %d members start on the rack and %d elsewhere, want 4", round, there, elsewhere)
		}
	}
}

// TestNewLeaderHasNoWaits guards against a task that waits because of what a former leader expected: a leader that knows nothing of the runs
// on a rack expects nothing of it.
func TestNewLeaderHasNoWaits(t *testing.T) {
	now := time.Now()
	s := newRackLeader(t, 3, shortRuns, now)
	acceptNamed(s, "near", nearStep(1))
	if launches := placeAt(s, now); len(launches) > 0 {
		t.Fatalf("%d starts, want a wait", len(launches))
	}
	next := newLeaderFor(t)
	next.settings.RemoteFactor = 3
	next.observer = next.newRunObserver()
	for id, m := range s.monitors {
		addTestWorker(next, id, 4000, now)
		next.monitors[id].worker.UpdateInfo(m.worker.Info())
		for _, run := range m.worker.Runs() {
			next.monitors[id].worker.Adopt(run.RunRef, &run.Step) // of a job that is not known yet
		}
	}
	next.roster = nil
	acceptNamed(next, "near", nearStep(1))
	if launches := placeAt(next, now); len(launches) != 1 {
		t.Errorf("%d starts by the new leader, want 1", len(launches))
	}
}

// TestNoRackNamed guards against decisions that change where no step names a rack.
func TestNoRackNamed(t *testing.T) {
	synctest.Test(t, testNoRackNamed) // otherwise the time for a pass depends on the machine
}

func testNoRackNamed(t *testing.T) {
	decide := func(remoteFactor float64) (decided []string) {
		now, random := time.Now(), rand.New(rand.NewPCG(3, 4))
		s := newRackLeader(t, remoteFactor, shortRuns, now)
		for i := range 200 {
			step := workflow.Step{Count: 1 + random.IntN(4), Gang: random.IntN(5) == 0, SameRack: random.IntN(2) == 0, Estimate: time.Second}
			step.Size.MilliCores = int64(200 * (1 + random.IntN(10)))
			id := workflow.ID(fmt.Sprintf("j%03d", i))
			acceptNamed(s, id, step)
			s.jobs[id].queue.Priority = random.IntN(3)
			now = now.Add(10 * time.Millisecond)
			for _, l := range placeAt(s, now) {
				decided = append(decided, fmt.Sprint(i, l.request.Task, l.target.Worker))
			}
			s.startsInProgress = 0
			for _, id := range []ident.WorkerID{"r1-0", "r1-2", "r2-1", "r2-3"} {
				if runs := s.monitors[id].worker.Runs(); len(runs) > 2 {
					s.monitors[id].worker.Release(runs[0].RunRef)
				}
			}
		}
		return decided
	}
	without, with := decide(0), decide(3)
	if len(without) < 100 || len(with) != len(without) {
		t.Fatalf("%d decisions without the factor and %d with it", len(without), len(with))
	}
	for i := range without {
		if with[i] != without[i] {
			t.Fatalf("decision %d is %s with the factor, and %s without", i, with[i], without[i])
		}
	}
}
