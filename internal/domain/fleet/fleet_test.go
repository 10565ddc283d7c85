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

func workerRow(id string, cores int64) fleet.WorkerView {
	size := resource.Vector{MilliCores: cores * 1000, MemoryBytes: cores << 32, Slots: 8}
	return fleet.WorkerView{Worker: ident.WorkerID(id), Capacity: size, Free: size}
}

// TestReportKeepsAssumedAssignments guards against a worker's report that does not contain an assignment yet: the room
// would be given away twice.
func TestReportKeepsAssumedAssignments(t *testing.T) {
	f := fleet.New(fleet.FirstFit)
	row := workerRow("w1", 2)
	f.UpdateWorker(start, row)
	first := taskOf("a", "1", work.Request, 2)
	if _, placed, err := f.Schedule(start, first); !placed || err != nil {
		t.Fatalf("first: placed %v, error %v", placed, err)
	}
	f.UpdateWorker(start, row)
	if _, placed, _ := f.Schedule(start, taskOf("a", "2", work.Request, 1)); placed {
		t.Fatal("a report gave the room of an assumed assignment away")
	}
	if freed := f.Forget(start, first.ID).Assigned; len(freed) != 1 || freed[0].Spec.ID.Work.Request != "2" {
		t.Fatalf("Forget assigned %v; want the waiting task", freed)
	}
}

// TestGangStartsAsPromised guards against work that keeps a gang waiting: long batch tasks that would take each slot
// that becomes free on a worker that the gang needs, and a gang that starts in part.
func TestGangStartsAsPromised(t *testing.T) {
	f := fleet.New(fleet.FairShare)
	row := workerRow("w1", 4)
	f.UpdateWorker(start, row)
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
	row.Free = resource.Vector{MilliCores: 1000, MemoryBytes: 4 << 32, Slots: 7}
	now := start.Add(time.Minute)
	got := f.UpdateWorker(now, row).Assigned
	if len(got) != 1 || got[0].Spec.ID != short.ID {
		t.Fatalf("assigned %v; want only the task that ends before the gang starts", got)
	}
	f.Confirm(short.ID)
	f.Finish(work.Outcome{Task: short.ID, OK: true, RunTime: 10 * time.Second})
	f.Finish(work.Outcome{Task: running[1].ID, OK: true, RunTime: 2 * time.Minute})
	row.Free = row.Capacity
	got = f.UpdateWorker(start.Add(2*time.Minute), row).Assigned
	if len(got) != 2 || got[0].Spec.Class != work.Gang || got[1].Spec.Class != work.Gang {
		t.Fatalf("assigned %v; want both tasks of the gang", got)
	}
}

// TestQuotaIsBorrowedAndReturned guards against a team that keeps others waiting with more than its quota, and against
// room that stays empty because of a quota.
func TestQuotaIsBorrowedAndReturned(t *testing.T) {
	f := fleet.New(fleet.FairShare)
	row := workerRow("w1", 8)
	free := row.Free
	row.Free = resource.Vector{}
	f.UpdateWorker(start, row)
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
	row.Free = free
	held := map[ident.TeamID]int{}
	for _, a := range f.UpdateWorker(start, row).Assigned {
		held[a.Spec.ID.Work.Team]++
	}
	if held["limited"] != 4 || held["other"] != 4 {
		t.Errorf("held %v; want all 4 tasks of the other team, and the rest borrowed", held)
	}
}
