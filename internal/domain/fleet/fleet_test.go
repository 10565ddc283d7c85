package fleet_test

import (
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

func workerRow(id string, cores int64) fleet.Row {
	size := resource.Vector{MilliCores: cores * 1000, MemoryBytes: cores << 32, Slots: 8}
	return fleet.Row{Worker: ident.WorkerID(id), Capacity: size, Free: size}
}

// TestReportKeepsAssumedAssignments guards against a worker's report that does not contain an assignment yet: the room
// would be given away twice.
func TestReportKeepsAssumedAssignments(t *testing.T) {
	f := fleet.New(fleet.FirstFit)
	row := workerRow("w1", 2)
	f.Update(start, row)
	first := taskOf("a", "1", work.Request, 2)
	if _, placed, err := f.Offer(start, first); !placed || err != nil {
		t.Fatalf("first: placed %v, error %v", placed, err)
	}
	f.Update(start, row)
	if _, placed, _ := f.Offer(start, taskOf("a", "2", work.Request, 1)); placed {
		t.Fatal("a report gave the room of an assumed assignment away")
	}
	if freed := f.Forget(start, first.ID).Assigned; len(freed) != 1 || freed[0].Spec.ID.Work.Request != "2" {
		t.Fatalf("Forget assigned %v; want the waiting task", freed)
	}
}
