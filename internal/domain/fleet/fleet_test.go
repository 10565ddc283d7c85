package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"skylarkstall/internal/domain/fleet"
	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/resource"
	"skylarkstall/internal/domain/work"
)

var start = time.Unix(1_000_000, 0)

func taskOf(team, request string, class work.Class, cores int64) work.Spec {
	return work.Spec{
		ID:    ident.TaskID{Work: ident.WorkID{Team: ident.TeamID(team), Request: ident.RequestID(request)}},
		Class: class, Size: resource.Vector{MilliCores: cores * 1000, Slots: 1}, Weight: 1, Repeatable: true,
	}
}

func newWorkerView(id string, cores int64) fleet.WorkerView {
	size := resource.Vector{MilliCores: cores * 1000, MemoryBytes: cores << 32, Slots: 8}
	return fleet.WorkerView{Worker: ident.WorkerID(id), Capacity: size, Free: size}
}

// TestReportKeepsAssumedAssignments guards against assigning the same capacity twice when a worker's report was taken
// before an assignment was reserved on the worker.
func TestReportKeepsAssumedAssignments(t *testing.T) {
	f := fleet.New(fleet.FirstFit)
	view := newWorkerView("w1", 2)
	f.UpdateWorker(start, view)
	first := taskOf("a", "1", work.Request, 2)
	if _, placed, err := f.Schedule(start, first); !placed || err != nil {
		t.Fatalf("first: placed %v, error %v", placed, err)
	}
	f.UpdateWorker(start, view)
	if _, placed, _ := f.Schedule(start, taskOf("a", "2", work.Request, 1)); placed {
		t.Fatal("a report freed the capacity of an assumed assignment")
	}
	if freed := f.Forget(start, first.ID).Assigned; len(freed) != 1 || freed[0].Spec.ID.Work.Request != "2" {
		t.Fatalf("Forget assigned %v; want the queued task", freed)
	}
}

// TestGangStartsAsPromised guards against starving a gang: long batch tasks must not take the slots that become free on
// a worker that the gang needs, and a gang must not start in part.
func TestGangStartsAsPromised(t *testing.T) {
	f := fleet.New(fleet.FairShare)
	view := newWorkerView("w1", 4)
	f.UpdateWorker(start, view)
	running := []work.Spec{taskOf("a", "1", work.Batch, 1), taskOf("a", "2", work.Batch, 3)}
	for i, spec := range running {
		spec.Expected = time.Duration(1+i) * time.Minute
		if _, placed, err := f.Schedule(start, spec); !placed || err != nil {
			t.Fatalf("batch %d: placed %v, error %v", i, placed, err)
		}
		f.Confirm(spec.ID)
	}
	gang := []work.Spec{taskOf("b", "g", work.Gang, 2), taskOf("b", "g", work.Gang, 2)}
	gang[1].ID.Index = 1
	if _, placed, err := f.ScheduleGang(start, gang); placed || err != nil {
		t.Fatalf("gang: placed %v, error %v", placed, err)
	}
	long, short := taskOf("c", "long", work.Batch, 1), taskOf("c", "short", work.Batch, 1)
	long.Expected, short.Expected = time.Hour, 10*time.Second
	long.Kind, short.Kind = "long", "short"
	for _, spec := range []work.Spec{long, short} {
		if _, placed, err := f.Schedule(start, spec); placed || err != nil {
			t.Fatalf("%v: placed %v, error %v", spec.ID, placed, err)
		}
	}
	f.Finish(work.Outcome{Task: running[0].ID, OK: true, RunTime: time.Minute})
	view.Free = resource.Vector{MilliCores: 1000, MemoryBytes: 4 << 32, Slots: 7}
	now := start.Add(time.Minute)
	got := f.UpdateWorker(now, view).Assigned
	if len(got) != 1 || got[0].Spec.ID != short.ID {
		t.Fatalf("assigned %v; want only the task that ends before the planned start of the gang", got)
	}
	f.Confirm(short.ID)
	f.Finish(work.Outcome{Task: short.ID, OK: true, RunTime: 10 * time.Second})
	f.Finish(work.Outcome{Task: running[1].ID, OK: true, RunTime: 2 * time.Minute})
	view.Free = view.Capacity
	got = f.UpdateWorker(start.Add(2*time.Minute), view).Assigned
	if len(got) != 2 || got[0].Spec.Class != work.Gang || got[1].Spec.Class != work.Gang {
		t.Fatalf("assigned %v; want both tasks of the gang", got)
	}
}

// TestQuotaIsBorrowedAndReturned guards against a team over its quota that delays other teams, and against free
// capacity that stays unused because of a quota.
func TestQuotaIsBorrowedAndReturned(t *testing.T) {
	f := fleet.New(fleet.FairShare)
	view := newWorkerView("w1", 8)
	free := view.Free
	view.Free = resource.Vector{}
	f.UpdateWorker(start, view)
	for i := range 16 {
		spec := taskOf([]string{"limited", "other"}[i%2], fmt.Sprint(i), work.Batch, 1)
		if i%2 == 0 {
			spec.Weight, spec.Quota = 100, resource.Vector{MilliCores: 2000, MemoryBytes: 1 << 40, Slots: 2}
		} else if i > 8 {
			continue
		}
		if _, _, err := f.Schedule(start, spec); err != nil {
			t.Fatal(err)
		}
	}
	view.Free = free
	assigned := map[ident.TeamID]int{}
	for _, a := range f.UpdateWorker(start, view).Assigned {
		assigned[a.Spec.ID.Work.Team]++
	}
	if assigned["limited"] != 4 || assigned["other"] != 4 {
		t.Errorf("assigned %v; want all 4 tasks of the other team and 4 of the limited one, 2 of them borrowed", assigned)
	}
}
