package fleet_test

import (
	"errors"
	"fmt"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"skylarkstall/internal/domain/fleet"
	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/resource"
	"skylarkstall/internal/domain/work"
	"skylarkstall/internal/fault"
)

// model simulates a few workers, carries out every decision of a fleet and checks it.
type model struct {
	fleet   *fleet.Fleet
	now     time.Time
	views   map[ident.WorkerID]*fleet.WorkerView
	waiting map[ident.TaskID]work.Spec
	running map[ident.TaskID]fleet.Assignment
	log     []string // all decisions, to compare two fleets
	next    int
}

func newModel(policy fleet.Policy) *model {
	m := &model{
		fleet: fleet.New(policy), now: start, views: map[ident.WorkerID]*fleet.WorkerView{},
		waiting: map[ident.TaskID]work.Spec{}, running: map[ident.TaskID]fleet.Assignment{},
	}
	for _, id := range []string{"w1", "w2", "w3"} {
		view := newWorkerView(id, 8)
		view.Rack = ident.Rack(id)
		m.views[view.Worker] = &view
		m.fleet.UpdateWorker(m.now, view)
	}
	return m
}

// step simulates one event, which op and arg select.
func (m *model) step(op, arg int) error {
	m.now = m.now.Add(time.Duration(arg) * 100 * time.Millisecond)
	switch op {
	case 0, 1, 2:
		return m.schedule(arg)
	case 3:
		return m.end(arg)
	case 4:
		return m.cancel(arg)
	default:
		for _, p := range m.fleet.SelectPreemptions(m.now) {
			if a, ok := m.running[p.Task]; !ok || !a.Spec.Repeatable {
				return fmt.Errorf("%v was selected for preemption but is not running or not repeatable", p.Task)
			}
			m.log = append(m.log, "preempt "+p.Task.String())
		}
		return nil
	}
}

func (m *model) schedule(arg int) error {
	m.next++
	spec := taskOf(fmt.Sprintf("team-%d", arg%3), fmt.Sprint(m.next), work.Class(arg%int(work.ClassCount)), int64(1+arg%5))
	spec.Expected, spec.Deadline, spec.Repeatable = time.Second, m.now.Add(time.Duration(1+arg)*time.Second), arg%2 == 0
	a, placed, err := m.fleet.Schedule(m.now, spec)
	switch {
	case fault.Is(err, fault.Overloaded) || fault.Is(err, fault.DeadlineExceeded):
		return nil // refused: neither queued nor running
	case err != nil:
		return err
	case placed:
		m.waiting[spec.ID] = spec
		return m.apply(fleet.Decisions{Assigned: []fleet.Assignment{a}})
	}
	m.waiting[spec.ID] = spec
	return nil
}

func (m *model) apply(d fleet.Decisions) error {
	for _, refusal := range d.Refused {
		if _, ok := m.waiting[refusal.Task]; !ok {
			return fmt.Errorf("%v was refused but was not queued", refusal.Task)
		}
		delete(m.waiting, refusal.Task)
		m.log = append(m.log, "refused "+refusal.Task.String())
	}
	for _, a := range d.Assigned {
		if _, ok := m.waiting[a.Spec.ID]; !ok {
			return fmt.Errorf("%v was assigned but was not queued", a.Spec.ID)
		}
		view := m.views[a.Worker]
		if !a.Spec.Size.Fits(view.Free) {
			return fmt.Errorf("%v needs %v; worker %s has %v free", a.Spec.ID, a.Spec.Size, a.Worker, view.Free)
		}
		view.Free = view.Free.Sub(a.Spec.Size)
		delete(m.waiting, a.Spec.ID)
		m.running[a.Spec.ID] = a
		m.fleet.Confirm(a.Spec.ID)
		m.log = append(m.log, a.Spec.ID.String()+" on "+string(a.Worker))
	}
	return nil
}

// pick returns the task with the lowest number at or above arg, so that equal steps select equal tasks.
func pick[V any](tasks map[ident.TaskID]V, arg, last int) (ident.TaskID, bool) {
	for i := arg; i <= arg+last; i++ {
		for id := range tasks {
			if string(id.Work.Request) == fmt.Sprint(i) {
				return id, true
			}
		}
	}
	return ident.TaskID{}, false
}

func (m *model) end(arg int) error {
	id, ok := pick(m.running, arg, m.next)
	if !ok {
		return nil
	}
	a := m.running[id]
	delete(m.running, id)
	view := m.views[a.Worker]
	view.Free = view.Free.Add(a.Spec.Size)
	m.fleet.Finish(work.Outcome{Task: id, OK: true, RunTime: time.Second})
	return m.apply(m.fleet.UpdateWorker(m.now, *view))
}

func (m *model) cancel(arg int) error {
	id, ok := pick(m.waiting, arg, m.next)
	if !ok {
		return nil
	}
	if !m.fleet.Cancel(id) {
		return fmt.Errorf("queued task %v was not found", id)
	}
	delete(m.waiting, id)
	return nil
}

func (m *model) check() error {
	queued := 0
	for _, n := range m.fleet.Digest(m.now).Queued {
		queued += n
	}
	if queued != len(m.waiting) {
		return fmt.Errorf("the model has %d queued tasks; the fleet has %d", len(m.waiting), queued)
	}
	return nil
}

// TestFleetKeepsItsRules guards against a worker that is assigned more than its free capacity, a queued task that is
// lost or assigned twice, and decisions that differ between equal inputs.
func TestFleetKeepsItsRules(t *testing.T) {
	for _, name := range fleet.PolicyNames() {
		policy, err := fleet.ParsePolicy(name)
		if err != nil {
			t.Fatal(err)
		}
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				a, b := newModel(policy), newModel(policy)
				steps := rapid.SliceOfN(rapid.IntRange(0, 239), 1, 150).Draw(t, "steps")
				for _, s := range steps {
					err := errors.Join(a.step(s%6, s/6), b.step(s%6, s/6), a.check())
					if err != nil {
						t.Fatal(err)
					}
				}
				if !reflect.DeepEqual(a.log, b.log) {
					t.Fatalf("two fleets decided differently:\n%v\n%v", a.log, b.log)
				}
			})
		})
	}
}

// TestTeamsShareByWeight guards the fairness bound: while both teams have queued tasks, their shares divided by weight
// differ by at most one task.
func TestTeamsShareByWeight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := fleet.New(fleet.FairShare)
		weights := []int{rapid.IntRange(1, 4).Draw(t, "weight a"), rapid.IntRange(1, 4).Draw(t, "weight b")}
		view := newWorkerView("w1", 64)
		view.Capacity.Slots, view.Free = 64, resource.Vector{}
		f.UpdateWorker(start, view)
		for i := range 200 {
			spec := taskOf(fmt.Sprintf("team-%d", i%2), fmt.Sprint(i), work.Batch, 1)
			spec.Weight = weights[i%2]
			if _, _, err := f.Schedule(start, spec); err != nil {
				t.Fatal(err)
			}
		}
		view.Free = resource.Vector{MilliCores: 40_000, MemoryBytes: 40 << 32, Slots: 40}
		held := make([]float64, 2)
		for _, a := range f.UpdateWorker(start, view).Assigned {
			if a.Spec.ID.Work.Team == "team-0" {
				held[0]++
			} else {
				held[1]++
			}
		}
		a, b := held[0]/float64(weights[0]), held[1]/float64(weights[1])
		if held[0]+held[1] != 40 || max(a, b)-min(a, b) > 1 {
			t.Fatalf("teams with weights %v hold %v of 40 slots", weights, held)
		}
	})
}

// TestFeasible guards against wrong answers about sizes that can never fit.
func TestFeasible(t *testing.T) {
	small := resource.Vector{MilliCores: 32_000, MemoryBytes: 64 << 30, Slots: 8}
	accelerated := resource.Vector{MilliCores: 16_000, MemoryBytes: 32 << 30, Accelerators: 4, Slots: 4}
	for _, c := range []struct {
		name          string
		size, nearest resource.Vector
		fits          bool
	}{
		{"fits", resource.Vector{MilliCores: 1000, Slots: 1}, resource.Vector{MilliCores: 1000, Slots: 1}, true},
		{"fits beside accelerators", resource.Vector{Accelerators: 4, Slots: 1}, resource.Vector{Accelerators: 4, Slots: 1}, true},
		{"too many processors", resource.Vector{MilliCores: 64_000, Slots: 1}, resource.Vector{MilliCores: 32_000, Slots: 1}, false},
		{
			"accelerators on the smaller worker",
			resource.Vector{MilliCores: 20_000, Accelerators: 4, Slots: 1},
			resource.Vector{MilliCores: 16_000, Accelerators: 4, Slots: 1},
			false,
		},
	} {
		nearest, fits := fleet.Feasible(c.size, []resource.Vector{small, accelerated})
		if nearest != c.nearest || fits != c.fits {
			t.Errorf("%s: nearest %v, fits %v; want %v, %v", c.name, nearest, fits, c.nearest, c.fits)
		}
	}
	if nearest, fits := fleet.Feasible(small, nil); fits || !nearest.IsZero() {
		t.Errorf("no capacity known: nearest %v, fits %v", nearest, fits)
	}
}
