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

func newWorker(t *testing.T, specs ...work.Spec) *worker.Worker {
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

// TestOveruse guards against tasks that use more than they declared (guarantee 1): the excess is charged, throttled
// when the worker is full, and checkpointed or stopped only if that did not help and the task is repeatable.
func TestOveruse(t *testing.T) {
	batch, request, nonRepeatable := spec(0, true, work.Batch), spec(1, true, work.Request), spec(2, false, work.Request)
	for _, c := range []struct {
		over work.Spec
		next []worker.Action
	}{{batch, []worker.Action{worker.Checkpoint}}, {request, []worker.Action{worker.Stop}}, {nonRepeatable, nil}} {
		w := newWorker(t, batch, request, nonRepeatable)
		w.UpdateUsage([]work.Usage{{Task: c.over.ID, Used: resource.Vector{MilliCores: 2000}}})
		if got := w.Mitigations(start); got != nil {
			t.Errorf("actions %v while the worker has free capacity", got)
		}
		if _, err := w.Reserve(start, spec(3, true, work.Batch)); !fault.Is(err, fault.NoCapacity) {
			t.Errorf("reserve beyond the unused capacity: got %v, want NoCapacity", err)
		}
		w.UpdateUsage([]work.Usage{{Task: c.over.ID, Used: three}})
		got := w.Mitigations(start)
		if len(got) != 1 || got[0].Action != worker.Throttle || got[0].Limit != one || got[0].ID.Task != c.over.ID {
			t.Fatalf("first action %v; want a throttle to the declared size", got)
		}
		if got := w.Mitigations(start.Add(time.Second)); got != nil {
			t.Errorf("actions %v before the throttle had time to take effect", got)
		}
		var next []worker.Action
		for _, mitigation := range w.Mitigations(start.Add(6 * time.Second)) {
			next = append(next, mitigation.Action)
		}
		if !slices.Equal(next, c.next) {
			t.Errorf("second actions %v, want %v", next, c.next)
		}
	}
}

// TestUnsettledOutcomes guards against the loss of an outcome (guarantee 3): it stays on the worker until its home has
// received it, or long enough for the next owner to find it when this one fails.
func TestUnsettledOutcomes(t *testing.T) {
	w := newWorker(t)
	a, b := work.AttemptID{Task: spec(0, true, 0).ID, Attempt: 1}, work.AttemptID{Task: spec(1, true, 0).ID, Attempt: 1}
	w.OutcomeReceived(start, a, true)
	w.OutcomeReceived(start, b, true)
	w.OutcomeDelivered(a)
	if got := w.Acknowledgeable(start.Add(time.Second)); len(got) != 1 || got[0] != a {
		t.Fatalf("acknowledged %v, want %v", got, a)
	}
	w.OutcomesAcknowledged([]work.AttemptID{a})
	if got := w.Acknowledgeable(start.Add(5 * time.Second)); len(got) != 0 {
		t.Errorf("acknowledged %v before the home had received it", got)
	}
	if got := w.Acknowledgeable(start.Add(11 * time.Second)); len(got) != 1 {
		t.Errorf("acknowledged %v after 11 s, want one outcome", got)
	}
}

// TestLeaving guards against tasks on a worker that has been removed (guarantee 6): a draining worker accepts no
// reservation, and its tasks are evicted at the end of the notice. The VM list can report that the worker is no longer
// draining; the worker itself cannot.
func TestLeaving(t *testing.T) {
	w := newWorker(t, spec(0, true, work.Batch))
	w.UpdateListed(start, true, time.Minute)
	if _, err := w.Reserve(start, spec(1, true, work.Batch)); !fault.Is(err, fault.Draining) {
		t.Errorf("reserve on a draining worker: got %v, want Draining", err)
	}
	if got := w.Mitigations(start.Add(59 * time.Second)); got != nil {
		t.Errorf("actions %v during the notice", got)
	}
	if got := w.Mitigations(start.Add(time.Minute)); len(got) != 1 || got[0].Action != worker.Checkpoint {
		t.Errorf("actions %v at the end of the notice, want a checkpoint", got)
	}
	w.UpdateListed(start, false, time.Minute)
	if _, err := w.Reserve(start, spec(1, true, work.Batch)); err != nil {
		t.Errorf("reserve after the VM list no longer reports the worker as draining: %v", err)
	}
	w.Drain(start, time.Minute)
	w.UpdateListed(start, false, time.Minute)
	if _, err := w.Reserve(start, spec(2, true, work.Batch)); !fault.Is(err, fault.Draining) {
		t.Errorf("reserve after the worker itself reported that it is draining: got %v, want Draining", err)
	}
}

// TestProbation guards against more than one probe at a time on a worker on probation.
func TestProbation(t *testing.T) {
	w := newWorker(t)
	w.Restrict(worker.NoTasks)
	if _, err := w.Reserve(start, spec(0, true, 0)); !fault.Is(err, fault.NoCapacity) {
		t.Errorf("reserve before the probe is due: got %v, want NoCapacity", err)
	}
	w.Restrict(worker.ProbesOnly)
	if _, err := w.Reserve(start, spec(0, true, 0)); err != nil {
		t.Errorf("first probe: %v", err)
	}
	if _, err := w.Reserve(start, spec(1, true, 0)); !fault.Is(err, fault.NoCapacity) {
		t.Errorf("second concurrent probe: got %v, want NoCapacity", err)
	}
}
