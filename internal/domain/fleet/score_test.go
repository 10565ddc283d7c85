package fleet

import (
	"testing"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/resource"
	"skylarkstall/internal/domain/work"
)

const testGiB = 1 << 30

func vector(cores, gib, accelerators, slots int64) resource.Vector {
	return resource.Vector{MilliCores: cores * 1000, MemoryBytes: gib * testGiB, Accelerators: accelerators, Slots: slots}
}

func testRow(id string, free resource.Vector) *row {
	r := &row{WorkerView: WorkerView{Worker: ident.WorkerID(id), Capacity: vector(32, 64, 4, 8), Free: free}}
	r.key = roomKey(r)
	return r
}

// TestScoresPreferTheBetterRow guards each score against preferring the worse of two rows.
func TestScoresPreferTheBetterRow(t *testing.T) {
	size := vector(4, 8, 0, 1)
	near := func(zone ident.Zone, rack ident.Rack) (int, int) {
		return map[ident.Zone]int{"busy": 2}[zone], map[ident.Rack]int{"busy": 1}[rack]
	}
	placed := func(zone ident.Zone, rack ident.Rack) *row {
		return &row{WorkerView: WorkerView{Zone: zone, Rack: rack}}
	}
	spreads := func(r *row) float64 { return spread(r, near) }
	for _, c := range []struct {
		name          string
		score         func(*row) float64
		better, worse *row
	}{
		{"tightness: less room", tightness, testRow("a", vector(8, 16, 0, 2)), testRow("b", vector(16, 32, 0, 4))},
		{"tightness: accelerators last", tightness, testRow("a", vector(32, 64, 0, 8)), testRow("b", vector(4, 8, 1, 1))},
		{
			"balance: even remainder", func(r *row) float64 { return balance(r, size) },
			testRow("a", vector(20, 40, 0, 5)), testRow("b", vector(20, 8, 0, 5)),
		},
		{"spread: other zone", spreads, placed("idle", "busy"), placed("busy", "idle")},
		{"spread: other rack", spreads, placed("busy", "idle"), placed("busy", "busy")},
	} {
		if better, worse := c.score(c.better), c.score(c.worse); better <= worse {
			t.Errorf("%s: %v for the better row, %v for the other", c.name, better, worse)
		}
	}
}

// TestFiltersAdmit guards each filter against admitting work that must wait, or refusing work that may start.
func TestFiltersAdmit(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	free := vector(8, 16, 0, 4)
	of := func(class work.Class, size resource.Vector, expected time.Duration) work.Spec {
		return work.Spec{Class: class, Size: size, Expected: expected, Weight: 1}
	}
	headroom := func(f *Fleet, _ *row) {
		for range 3 {
			f.noteDemand(now, of(work.Request, vector(1, 1, 0, 1), time.Second))
		}
	}
	promised := func(f *Fleet, r *row) { f.promised[r] = now.Add(time.Minute) }
	for _, c := range []struct {
		name  string
		state func(*Fleet, *row)
		spec  work.Spec
		want  bool
	}{
		{"fits", nil, of(work.Batch, free, time.Hour), true},
		{"processors", nil, of(work.Batch, vector(9, 1, 0, 1), time.Hour), false},
		{"memory", nil, of(work.Batch, vector(1, 17, 0, 1), time.Hour), false},
		{"accelerators", nil, of(work.Batch, vector(1, 1, 1, 1), time.Hour), false},
		{"slots", nil, of(work.Batch, vector(1, 1, 0, 5), time.Hour), false},
		{"headroom kept from batch", headroom, of(work.Batch, vector(1, 1, 0, 1), time.Hour), false},
		{"headroom open to requests", headroom, of(work.Request, vector(1, 1, 0, 1), time.Second), true},
		{"promise kept from long work", promised, of(work.Batch, vector(1, 1, 0, 1), time.Hour), false},
		{"promise open to short work", promised, of(work.Batch, vector(1, 1, 0, 1), 10*time.Second), true},
		{"promise open to requests", promised, of(work.Request, vector(1, 1, 0, 1), time.Hour), true},
		{"promise open to gangs", promised, of(work.Gang, vector(1, 1, 0, 1), time.Hour), true},
	} {
		f := New(FairShare)
		f.UpdateWorker(now, WorkerView{Worker: "w", Capacity: vector(32, 64, 4, 8), Free: free})
		r := f.rows["w"]
		if c.state != nil {
			c.state(f, r)
		}
		if got := f.admits(now, r, c.spec); got != c.want {
			t.Errorf("%s: admits %v; want %v", c.name, got, c.want)
		}
	}
}
