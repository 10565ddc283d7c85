package fleet

import (
	"testing"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/resource"
	"skylarkstall/internal/domain/work"
)

const gibibyte = 1 << 30

func vector(cores, gib, accelerators, slots int64) resource.Vector {
	return resource.Vector{MilliCores: cores * 1000, MemoryBytes: gib * gibibyte, Accelerators: accelerators, Slots: slots}
}

func newTestWorker(id string, free resource.Vector) *workerRecord {
	r := &workerRecord{WorkerView: WorkerView{Worker: ident.WorkerID(id), Capacity: vector(32, 64, 4, 8), Free: free}}
	r.freeShare = totalFreeShare(r)
	return r
}

// TestScoresPreferTheBetterRow guards against a score that prefers the worse of two workers.
func TestScoresPreferTheBetterRow(t *testing.T) {
	size := vector(4, 8, 0, 1)
	countTasks := func(zone ident.Zone, rack ident.Rack) (int, int) {
		return map[ident.Zone]int{"busy": 2}[zone], map[ident.Rack]int{"busy": 1}[rack]
	}
	workerAt := func(zone ident.Zone, rack ident.Rack) *workerRecord {
		return &workerRecord{WorkerView: WorkerView{Zone: zone, Rack: rack}}
	}
	spreadScore := func(r *workerRecord) float64 { return spread(r, countTasks) }
	for _, c := range []struct {
		name          string
		score         func(*workerRecord) float64
		better, worse *workerRecord
	}{
		{
			"tightness: less free capacity", tightness,
			newTestWorker("a", vector(8, 16, 0, 2)), newTestWorker("b", vector(16, 32, 0, 4)),
		},
		{
			"tightness: accelerators last", tightness,
			newTestWorker("a", vector(32, 64, 0, 8)), newTestWorker("b", vector(4, 8, 1, 1)),
		},
		{
			"balance: even remainder", func(r *workerRecord) float64 { return balance(r, size) },
			newTestWorker("a", vector(20, 40, 0, 5)), newTestWorker("b", vector(20, 8, 0, 5)),
		},
		{"spread: other zone", spreadScore, workerAt("idle", "busy"), workerAt("busy", "idle")},
		{"spread: other rack", spreadScore, workerAt("busy", "idle"), workerAt("busy", "busy")},
	} {
		if better, worse := c.score(c.better), c.score(c.worse); better <= worse {
			t.Errorf("%s: score %v for the better worker, %v for the worse", c.name, better, worse)
		}
	}
}

// TestFiltersAdmit guards against a filter that admits tasks that must wait, or rejects tasks that may start.
func TestFiltersAdmit(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	free := vector(8, 16, 0, 4)
	spec := func(class work.Class, size resource.Vector, expected time.Duration) work.Spec {
		return work.Spec{Class: class, Size: size, Expected: expected, Weight: 1}
	}
	headroom := func(f *Fleet, _ *workerRecord) {
		for range 3 {
			f.recordDemand(now, spec(work.Request, vector(1, 1, 0, 1), time.Second))
		}
	}
	gangPlanned := func(f *Fleet, r *workerRecord) { f.gangStarts[r] = now.Add(time.Minute) }
	for _, c := range []struct {
		name  string
		setUp func(*Fleet, *workerRecord)
		spec  work.Spec
		want  bool
	}{
		{"fits", nil, spec(work.Batch, free, time.Hour), true},
		{"cores", nil, spec(work.Batch, vector(9, 1, 0, 1), time.Hour), false},
		{"memory", nil, spec(work.Batch, vector(1, 17, 0, 1), time.Hour), false},
		{"accelerators", nil, spec(work.Batch, vector(1, 1, 1, 1), time.Hour), false},
		{"slots", nil, spec(work.Batch, vector(1, 1, 0, 5), time.Hour), false},
		{"headroom: batch", headroom, spec(work.Batch, vector(1, 1, 0, 1), time.Hour), false},
		{"headroom: request", headroom, spec(work.Request, vector(1, 1, 0, 1), time.Second), true},
		{"before a planned gang: long batch task", gangPlanned, spec(work.Batch, vector(1, 1, 0, 1), time.Hour), false},
		{"before a planned gang: short batch task", gangPlanned, spec(work.Batch, vector(1, 1, 0, 1), 10*time.Second), true},
		{"before a planned gang: request", gangPlanned, spec(work.Request, vector(1, 1, 0, 1), time.Hour), true},
		{"before a planned gang: gang", gangPlanned, spec(work.Gang, vector(1, 1, 0, 1), time.Hour), true},
	} {
		f := New(FairShare)
		f.UpdateWorker(now, WorkerView{Worker: "w", Capacity: vector(32, 64, 4, 8), Free: free})
		r := f.workers["w"]
		if c.setUp != nil {
			c.setUp(f, r)
		}
		if got := f.admits(now, r, c.spec); got != c.want {
			t.Errorf("%s: admits %v; want %v", c.name, got, c.want)
		}
	}
}
