package scheduler

import (
	"fmt"
	"testing"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/resource"
	"skylarkstall/internal/domain/route"
	"skylarkstall/internal/domain/workflow"
)

// TestUrgentStepDoesNotWaitForStarts guards against urgent work that waits, although workers are idle, until starts of lower priorities
// have ended, e.g. on workers that do not answer.
func TestUrgentStepDoesNotWaitForStarts(t *testing.T) {
	s, now := newPermitLeader(t, 400), time.Now()
	for i := range maxStartsInProgress {
		id := workflow.ID(fmt.Sprintf("j%03d", i))
		acceptNamed(s, id, workflow.Step{Count: 1})
		s.jobs[id].queue.Priority = 2
	}
	started := 0
	for range maxStartsInProgress {
		started += len(placeAt(s, now))
	}
	if started != maxStartsInProgress {
		t.Fatalf("%d starts, want %d", started, maxStartsInProgress)
	}
	acceptNamed(s, "urgent", workflow.Step{Count: 1})
	if launches := placeAt(s, now.Add(time.Second)); len(launches) != 1 {
		t.Errorf("%d urgent starts on 400 workers while starts of the lowest priority are in progress for 1 s, want 1", len(launches))
	}
}

// TestUrgentCallDoesNotWaitForStarts guards against a call for permits that waits for starts of other steps.
func TestUrgentCallDoesNotWaitForStarts(t *testing.T) {
	s, now := newPermitLeader(t, 400), time.Now()
	acceptNamed(s, "wide", workflow.Step{Count: 300})
	s.jobs["wide"].queue.Priority = 2
	if started := len(placeAt(s, now)); started <= maxStartsInProgress {
		t.Logf("wide: %d starts", started)
	} else {
		t.Errorf("a single wide step has %d starts in progress, limit %d", started, maxStartsInProgress)
	}
	acceptNamed(s, "urgent", workflow.Step{Count: 1})
	s.jobs["urgent"].queue.PermitPolicy = testPermitPolicy()
	if _, calls := s.place(now.Add(time.Millisecond)); len(calls) != 1 {
		t.Errorf("%d calls for the urgent step, want 1", len(calls))
	}
}

// TestFailedGangReleasesNothing guards against steps that are compared again in each pass, because a gang that did not fit gave back
// what it had reserved in its try.
func TestFailedGangReleasesNothing(t *testing.T) {
	s, now := newLeader(t), time.Now()
	acceptNamed(s, "gang", workflow.Step{Count: 3, Gang: true, Size: resource.Vector{MilliCores: 3000}})
	for pass := range 20 {
		placeAt(s, now.Add(time.Duration(pass)*time.Millisecond))
	}
	if n := len(s.releases.entries); n != 0 {
		t.Errorf("%d releases noticed in 20 passes within 20 ms, and no run has ended", n)
	}
}

// TestCallAsksWorkersOnDataRack guards against tasks that run far from their data, because the workers on its rack were not asked about.
func TestCallAsksWorkersOnDataRack(t *testing.T) {
	s, now := newLeaderFor(t), time.Now()
	s.ports.PeerPermitClients = peers{names: []ident.ProcessID{"p0", "p1"}}
	for i := range 1000 {
		id := ident.WorkerID(fmt.Sprintf("x%03d", i))
		addTestWorker(s, id, 4000, now)
		if i < 50 {
			info := s.monitors[id].worker.Info()
			info.Rack = "data"
			s.monitors[id].worker.UpdateInfo(info)
		}
	}
	e := acceptTestJob(s, workflow.Step{Count: 1, DataRack: "data"})
	e.queue.PermitPolicy = testPermitPolicy()
	_, calls := s.place(now)
	onRack, asked := 0, 0
	for _, call := range calls {
		for _, w := range call.Workers {
			asked++
			if s.monitors[w.ID].worker.Info().Rack == "data" {
				onRack++
			}
		}
	}
	if onRack < asked || asked == 0 {
		t.Errorf("%d of the %d workers that are asked about are on the rack with the data, of 50 idle ones there", onRack, asked)
	}
}

// TestPreemptionByCurrentPriority guards against a step that asks no worker for a permit, because the priority of another queue was
// lowered after its jobs were accepted.
func TestPreemptionByCurrentPriority(t *testing.T) {
	s, now := newLeaderFor(t), time.Now()
	s.ports.PeerPermitClients = peers{names: []ident.ProcessID{"p0", "p1"}}
	s.table.Apply(route.Config{Version: 1, Queues: []route.Queue{{Name: "batch", Service: "desk", MaxAttempts: 3, Priority: 3}}})
	addTestWorker(s, "w1", 4000, now)
	acceptNamed(s, "running", workflow.Step{Count: 1, Checkpointing: true, Size: resource.Vector{MilliCores: 4000}})
	s.jobs["running"].queue.Name, s.jobs["running"].queue.Priority = "batch", 1
	launches := placeAt(s, now)
	if len(launches) != 1 {
		t.Fatalf("%d starts", len(launches))
	}
	run := s.monitors["w1"].worker.Run(launches[0].request.RunRef)
	run.Reported = true
	if run.Priority != 3 {
		t.Fatalf("the run has priority %d", run.Priority)
	}
	acceptNamed(s, "waiting", workflow.Step{Count: 1, Size: resource.Vector{MilliCores: 4000}})
	s.jobs["waiting"].queue.Name = "other"
	s.jobs["waiting"].queue.Priority = 1
	s.jobs["waiting"].queue.PermitPolicy = testPermitPolicy()
	called := 0
	for waited := time.Duration(0); waited < 3*time.Second; waited += placeInterval {
		respond(s, now.Add(waited))
		_, calls := s.place(now.Add(waited))
		called += len(calls)
	}
	if called == 0 {
		t.Error("no call for the worker on which a run of a lower priority could be stopped, within 3 s")
	}
}

// TestNewStepIsTriedBesideOneThatStaysChanged guards against a new step of a low priority that no pass reaches, because each ends at the
// same step of a higher priority that counts as changed again.
func TestNewStepIsTriedBesideOneThatStaysChanged(t *testing.T) {
	for _, stayChanged := range []bool{false, true} {
		t.Run(fmt.Sprint(stayChanged), func(t *testing.T) { testNewStepBeside(t, stayChanged) })
	}
}

func testNewStepBeside(t *testing.T, stayChanged bool) {
	t.Helper()
	s, now := newLeader(t), time.Now()
	if stayChanged { // a gang one member of which has failed, and the other is being stopped on a worker that does not answer
		acceptNamed(s, "gang", workflow.Step{Count: 2, Gang: true, Size: resource.Vector{MilliCores: 1000}})
		launches := placeAt(s, now)
		if len(launches) != 2 {
			t.Fatalf("%d starts, want 2", len(launches))
		}
		fail(s, launches[0])
	}
	for i := range 20_000 {
		acceptNamed(s, workflow.ID(fmt.Sprintf("urgent%05d", i)), workflow.Step{Count: 1, Size: resource.Vector{MilliCores: 5000}})
	}
	for id, e := range s.jobs { // all of them have been tried
		if id == "gang" {
			continue
		}
		e.step(workflow.StepRef{Job: id}).waiting.Tried(now, 1)
	}
	acceptNamed(s, "small", workflow.Step{Count: 1, Size: resource.Vector{MilliCores: 1000}})
	s.jobs["small"].queue.Priority = 2
	const passes = 60
	for pass := range passes {
		if launches := placeAt(s, now.Add(time.Duration(pass)*20*time.Millisecond)); len(launches) > 0 {
			t.Logf("started in pass %d", pass)
			return
		}
	}
	if stayChanged {
		gang := workflow.StepRef{Job: "gang"}
		t.Logf("the gang stays changed: %v, members that wait: %d", s.jobs["gang"].step(gang).waiting.Changed(), s.jobs["gang"].workflow.WaitingCount(gang))
	}
	t.Errorf("the new step is not started on an idle worker within %d passes", passes)
}

// TestRetriesTakeTurns guards against a step that is not started on a worker that became eligible without a release, because retries of
// steps of a higher priority take up their share of each pass.
func TestRetriesTakeTurns(t *testing.T) {
	for _, releasesToo := range []bool{false, true} {
		t.Run(fmt.Sprintf("releases=%v", releasesToo), func(t *testing.T) { testRetriesTakeTurns(t, releasesToo) })
	}
}

// reserveNothing adds a run without a size to a worker.
func reserveNothing(s *Scheduler, id ident.WorkerID, index int) workflow.RunRef {
	step := workflow.Step{Count: 1}
	ref := firstRun(index)
	_ = s.monitors[id].worker.Reserve(ref, &step)
	return ref
}

func testRetriesTakeTurns(t *testing.T, releasesToo bool) {
	t.Helper()
	const urgentSteps, interval = 200, 15 * time.Millisecond
	s, now := newPermitLeader(t, 1100), time.Now()
	s.setRecorded("w1", false)
	s.setRecorded("w2", false)
	for id := range s.monitors {
		if id[0] == 'x' {
			info := s.monitors[id].worker.Info()
			info.Labels = []string{"other"}
			s.monitors[id].worker.UpdateInfo(info)
		}
	}
	for i := range urgentSteps {
		step := workflow.Step{Count: 1, RequiredLabel: "none", Size: resource.Vector{MilliCores: 1000}}
		acceptNamed(s, workflow.ID(fmt.Sprintf("urgent%04d", i)), step)
	}
	acceptNamed(s, "small", workflow.Step{Count: 1, RequiredLabel: "small", Size: resource.Vector{MilliCores: 1000}})
	s.jobs["small"].queue.Priority = 1
	ref := workflow.StepRef{Job: "small"}
	pass := 0
	for ; pass < 3000 && s.jobs["small"].step(ref).wait.triedAt.IsZero(); pass++ {
		placeAt(s, now.Add(time.Duration(pass)*interval))
	}
	info := s.monitors["w1"].worker.Info()
	info.Labels = []string{"small"}
	s.monitors["w1"].worker.UpdateInfo(info)
	s.setRecorded("w1", true)
	for more := range 400 { // 6 s
		if releasesToo {
			s.monitors["x1"].worker.Release(reserveNothing(s, "x1", more))
		}
		if launches := placeAt(s, now.Add(time.Duration(pass+more)*interval)); len(launches) > 0 {
			t.Logf("started after %v", time.Duration(more)*interval)
			return
		}
	}
	t.Error("the step is not started within 6 s on a worker that is no longer cordoned")
}

// TestStartBehindStopsEnds guards against starts that count as in progress for long after they are too old to be sent, because they wait
// behind stops to a worker that does not answer.
func TestStartBehindStopsEnds(t *testing.T) {
	s, now := newLeader(t), time.Now()
	var stops []workflow.Placement
	for i := range 20 {
		ref := firstRun(100 + i)
		step := workflow.Step{Count: 1}
		if err := s.monitors["w1"].worker.Reserve(ref, &step); err != nil {
			t.Fatal(err)
		}
		stops = append(stops, workflow.Placement{RunRef: ref, Worker: "w1"})
	}
	s.monitors["w2"].worker.MarkUnreached()
	acceptNamed(s, "late", workflow.Step{Count: 1})
	launches := placeAt(s, now)
	if len(launches) != 1 || launches[0].target.Worker != "w1" {
		t.Fatalf("%d starts, want one on w1", len(launches))
	}
	s.mu.Lock()
	s.stopRuns(stops)
	s.mu.Unlock()
	time.Sleep(50 * time.Millisecond)
	s.goTask(func() { s.startRun(s.ctx, launches[0]) })
	time.Sleep(maxOrderAge + 2*requestTimeout)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.startsInProgress != 0 {
		t.Errorf("the start still counts as in progress %v after the decision", time.Since(now))
	}
}

// TestRetriesThatAreLeftWakePlacement guards against retries that wait for the next tick because those before them have used up their
// share of the pass.
func TestRetriesThatAreLeftWakePlacement(t *testing.T) {
	s, now := newPermitLeader(t, 1100), time.Now()
	const steps = 100
	ref := func(i int) workflow.StepRef { return workflow.StepRef{Job: workflow.ID(fmt.Sprintf("j%04d", i))} }
	for i := range steps {
		step := workflow.Step{Count: 1, RequiredLabel: "none", Size: resource.Vector{MilliCores: 1000}}
		acceptNamed(s, ref(i).Job, step)
		s.jobs[ref(i).Job].step(ref(i)).waiting.Tried(now, 1)
	}
	drainWake(s)
	later := now.Add(10 * time.Second)
	placeAt(s, later)
	left := 0
	for i := range steps {
		if s.jobs[ref(i).Job].step(ref(i)).waiting.Due(later, 0) {
			left++
		}
	}
	select {
	case <-s.wake:
	default:
		if left > 0 {
			t.Errorf("%d of %d steps are still due after the pass, and nothing wakes placement", left, steps)
		}
	}
}

// TestRetryLeftOutIsUntried guards against a report and a metric that take a step for tried whose retry was left to the next pass.
func TestRetryLeftOutIsUntried(t *testing.T) {
	now := time.Now()
	s, ref := waitingStep(t, now)
	step, later := s.jobs[ref.Job].step(ref), now.Add(time.Second)
	pass := s.newPass(later)
	list := s.candidates(later)
	if _, _, tried := s.tryInOrder(pass, list, time.Now().Add(time.Minute)); tried != 0 || step.wait.triedAt.Equal(later) {
		t.Errorf("%d steps count as tried without time for retries, last at %v", tried, step.wait.triedAt.Sub(now))
	}
	pass = s.newPass(later)
	pass.retryTime = time.Minute
	if _, _, tried := s.tryInOrder(pass, list, time.Now().Add(time.Minute)); tried != 1 || !step.wait.triedAt.Equal(later) {
		t.Errorf("%d steps count as tried, last at %v; want the retry at 1s", tried, step.wait.triedAt.Sub(now))
	}
}
