package worker_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/resource"
	"skylarkstall/internal/domain/work"
	"skylarkstall/internal/domain/worker"
	"skylarkstall/internal/fault"
)

var (
	start = time.Unix(1_700_000_000, 0)
	four  = resource.Vector{MilliCores: 4000, Slots: 4}
	one   = resource.Vector{MilliCores: 1000, Slots: 1}
	three = resource.Vector{MilliCores: 3000}
)

func spec(i int, repeatable bool, class work.Class) work.Spec {
	id := ident.TaskID{Work: ident.WorkID{Team: "vembanad", Request: ident.RequestID(fmt.Sprint(i))}}
	return work.Spec{ID: id, Attempt: 1, Size: one, Repeatable: repeatable, Class: class}
}

func held(t *testing.T, specs ...work.Spec) *worker.Worker {
	t.Helper()
	w := worker.New("worker-01", time.Hour)
	w.ClaimGranted(start, work.Inventory{Epoch: 1, Capacity: four})
	for _, s := range specs {
		if _, err := w.Reserve(start, s); err != nil {
			t.Fatal(err)
		}
	}
	return w
}

// TestOveruse guards guarantee 1 against tasks that use more than they declared: the excess is charged, throttled when
// the worker is full, and checkpointed or stopped only if that did not help and the work may be repeated.
func TestOveruse(t *testing.T) {
	batch, urgent, once := spec(0, true, work.Batch), spec(1, true, work.Request), spec(2, false, work.Request)
	for _, c := range []struct {
		over work.Spec
		then []worker.Action
	}{{batch, []worker.Action{worker.Checkpoint}}, {urgent, []worker.Action{worker.Stop}}, {once, nil}} {
		w := held(t, batch, urgent, once)
		w.UpdateUsage([]work.Usage{{Task: c.over.ID, Used: resource.Vector{MilliCores: 2000}}})
		if got := w.Mitigations(start); got != nil {
			t.Errorf("relief %v while the worker has room", got)
		}
		if _, err := w.Reserve(start, spec(3, true, work.Batch)); !fault.Is(err, fault.NoCapacity) {
			t.Errorf("a task was placed on room that is used: %v", err)
		}
		w.UpdateUsage([]work.Usage{{Task: c.over.ID, Used: three}})
		got := w.Mitigations(start)
		if len(got) != 1 || got[0].Action != worker.Throttle || got[0].Limit != one || got[0].ID.Task != c.over.ID {
			t.Fatalf("first step %v", got)
		}
		if got := w.Mitigations(start.Add(time.Second)); got != nil {
			t.Errorf("step %v before the throttle had time to act", got)
		}
		var then []worker.Action
		for _, step := range w.Mitigations(start.Add(6 * time.Second)) {
			then = append(then, step.Action)
		}
		if !slices.Equal(then, c.then) {
			t.Errorf("second step %v, want %v", then, c.then)
		}
	}
}

// TestUnsettledOutcomes guards guarantee 3: an outcome stays on the worker until its home has it, or long enough for
// the next owner to find it when this one dies.
func TestUnsettledOutcomes(t *testing.T) {
	w := held(t)
	a, b := work.AttemptID{Task: spec(0, true, 0).ID, Attempt: 1}, work.AttemptID{Task: spec(1, true, 0).ID, Attempt: 1}
	w.OutcomeReceived(start, a, true)
	w.OutcomeReceived(start, b, true)
	w.OutcomeSettled(a)
	if got := w.Acknowledgeable(start.Add(time.Second)); len(got) != 1 || got[0] != a {
		t.Fatalf("acknowledged %v, want %v", got, a)
	}
	w.OutcomesAcknowledged([]work.AttemptID{a})
	if got := w.Acknowledgeable(start.Add(5 * time.Second)); len(got) != 0 {
		t.Errorf("acknowledged %v before the home had it", got)
	}
	if got := w.Acknowledgeable(start.Add(11 * time.Second)); len(got) != 1 {
		t.Errorf("acknowledged %v after 11 s", got)
	}
}

// TestLeaving guards guarantee 6: a leaving worker takes no reservation, its tasks are evicted at the end of the
// notice, and the VM list can take back what it said while the worker cannot.
func TestLeaving(t *testing.T) {
	w := held(t, spec(0, true, work.Batch))
	w.UpdateListed(start, true, time.Minute)
	if _, err := w.Reserve(start, spec(1, true, work.Batch)); !fault.Is(err, fault.Draining) {
		t.Errorf("reserve on a leaving worker: %v", err)
	}
	if got := w.Mitigations(start.Add(59 * time.Second)); got != nil {
		t.Errorf("relief %v during the notice", got)
	}
	if got := w.Mitigations(start.Add(time.Minute)); len(got) != 1 || got[0].Action != worker.Checkpoint {
		t.Errorf("relief %v at the end of the notice", got)
	}
	w.UpdateListed(start, false, time.Minute)
	if _, err := w.Reserve(start, spec(1, true, work.Batch)); err != nil {
		t.Errorf("the list took back that the worker leaves: %v", err)
	}
	w.Drain(start, time.Minute)
	w.UpdateListed(start, false, time.Minute)
	if _, err := w.Reserve(start, spec(2, true, work.Batch)); !fault.Is(err, fault.Draining) {
		t.Errorf("the worker's own word was taken back: %v", err)
	}
}

// TestProbation guards against a worker on probation that gets more than one probe at a time.
func TestProbation(t *testing.T) {
	w := held(t)
	w.Restrict(worker.NoTasks)
	if _, err := w.Reserve(start, spec(0, true, 0)); !fault.Is(err, fault.NoCapacity) {
		t.Errorf("reserve before the probe is due: %v", err)
	}
	w.Restrict(worker.ProbesOnly)
	if _, err := w.Reserve(start, spec(0, true, 0)); err != nil {
		t.Errorf("first probe: %v", err)
	}
	if _, err := w.Reserve(start, spec(1, true, 0)); !fault.Is(err, fault.NoCapacity) {
		t.Errorf("second probe at a time: %v", err)
	}
}
