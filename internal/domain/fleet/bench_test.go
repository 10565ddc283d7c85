package fleet_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"skylarkstall/internal/domain/fleet"
	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/resource"
	"skylarkstall/internal/domain/work"
)

// BenchmarkDecision measures one placement decision: a task is offered or taken from the queue, is confirmed, and a
// task that ends makes room. It reports decisions a second and the quantiles of the time of a decision.
func BenchmarkDecision(b *testing.B) {
	for _, workers := range []int{50, 860} {
		for _, queued := range []int{0, 1_000, 10_000} {
			for _, policy := range []fleet.Policy{fleet.FairShare, fleet.FirstFit} {
				b.Run(fmt.Sprintf("%s/workers=%d/queued=%d", policy.Name, workers, queued), func(b *testing.B) {
					newDecisions(policy, workers, queued).measure(b)
				})
			}
		}
	}
}

// decisions drives a full fleet: each decision replaces a task that ends by one that waits or arrives.
type decisions struct {
	fleet   *fleet.Fleet
	rows    []fleet.WorkerView
	running [][]work.Spec
	random  *rand.Rand
	now     time.Time
	next    int
}

const (
	benchTeams = 350
	benchSlots = 32
)

func newDecisions(policy fleet.Policy, workers, queued int) *decisions {
	d := &decisions{fleet: fleet.New(policy), random: rand.New(rand.NewPCG(1, 1)), now: start}
	size := resource.Vector{MilliCores: 64_000, MemoryBytes: 256 << 30, Slots: benchSlots}
	for i := range workers {
		row := fleet.WorkerView{Worker: ident.WorkerID(fmt.Sprintf("w%03d", i)), Capacity: size, Free: size}
		d.rows = append(d.rows, row)
		d.fleet.UpdateWorker(d.now, row)
	}
	d.running = make([][]work.Spec, workers)
	for waits := 0; waits < max(queued, 1); {
		spec := d.task()
		if a, placed, err := d.fleet.Schedule(d.now, spec); err != nil {
			panic(err)
		} else if placed {
			d.started(a)
		} else {
			waits++
		}
	}
	if queued == 0 {
		d.end(d.random.IntN(workers)) // room for one task at least: arrivals do not wait
	}
	return d
}

func (d *decisions) task() work.Spec {
	d.next++
	team := d.random.IntN(benchTeams)
	return work.Spec{
		ID: ident.TaskID{Work: ident.WorkID{
			Team: ident.TeamID(fmt.Sprintf("team-%d", team)), Request: ident.RequestID(fmt.Sprint(d.next)),
		}},
		Kind: "run", Class: work.Batch, Weight: 1, Repeatable: true,
		Size: resource.Vector{MilliCores: 500 * int64(1+team%4), MemoryBytes: int64(1+team%8) << 29, Slots: 1},
	}
}

func (d *decisions) started(a fleet.Assignment) {
	d.fleet.Confirm(a.Spec.ID)
	for i := range d.rows {
		if d.rows[i].Worker == a.Worker {
			d.rows[i].Free = d.rows[i].Free.Sub(a.Spec.Size)
			d.running[i] = append(d.running[i], a.Spec)
		}
	}
}

// end ends a task of the worker and returns how long the fleet took to give its room away.
func (d *decisions) end(i int) time.Duration {
	if len(d.running[i]) == 0 {
		return 0
	}
	last := len(d.running[i]) - 1
	spec := d.running[i][last]
	d.running[i] = d.running[i][:last]
	d.rows[i].Free = d.rows[i].Free.Add(spec.Size)
	d.now = d.now.Add(time.Millisecond)
	began := time.Now()
	d.fleet.Finish(work.Outcome{Task: spec.ID, OK: true, RunTime: time.Minute})
	assigned := d.fleet.UpdateWorker(d.now, d.rows[i]).Assigned
	took := time.Since(began)
	for _, a := range assigned {
		d.started(a)
	}
	return took
}

func (d *decisions) measure(b *testing.B) {
	times := make([]time.Duration, 0, b.N)
	total := time.Duration(0)
	for b.Loop() {
		took := d.end(d.random.IntN(len(d.rows)))
		spec := d.task()
		began := time.Now()
		a, placed, err := d.fleet.Schedule(d.now, spec)
		took += time.Since(began)
		if err == nil && placed {
			d.started(a)
		}
		times = append(times, took)
		total += took
	}
	slices.Sort(times)
	b.ReportMetric(float64(len(times))/total.Seconds(), "decisions/s")
	b.ReportMetric(float64(times[len(times)/2].Microseconds()), "p50-µs")
	b.ReportMetric(float64(times[len(times)*99/100].Microseconds()), "p99-µs")
}
