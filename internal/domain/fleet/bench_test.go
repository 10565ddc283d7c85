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

// BenchmarkDecision measures one placement decision: a task is scheduled or taken from the queue and confirmed, after a
// task that ends has freed its capacity. It reports decisions per second and quantiles of the decision time.
func BenchmarkDecision(b *testing.B) {
	for _, workers := range []int{50, 860} {
		for _, queued := range []int{0, 1_000, 10_000} {
			for _, policy := range []fleet.Policy{fleet.FairShare, fleet.FirstFit} {
				b.Run(fmt.Sprintf("%s/workers=%d/queued=%d", policy.Name, workers, queued), func(b *testing.B) {
					newDecisionBench(policy, workers, queued).measure(b)
				})
			}
		}
	}
}

// decisionBench drives a fully loaded fleet: each decision replaces a task that ends with one that is queued or
// arrives.
type decisionBench struct {
	fleet   *fleet.Fleet
	views   []fleet.WorkerView
	running [][]work.Spec
	random  *rand.Rand
	now     time.Time
	next    int
}

const (
	benchTeams = 350
	benchSlots = 32
)

func newDecisionBench(policy fleet.Policy, workers, queued int) *decisionBench {
	d := &decisionBench{fleet: fleet.New(policy), random: rand.New(rand.NewPCG(1, 1)), now: start}
	size := resource.Vector{MilliCores: 64_000, MemoryBytes: 256 << 30, Slots: benchSlots}
	for i := range workers {
		view := fleet.WorkerView{Worker: ident.WorkerID(fmt.Sprintf("w%03d", i)), Capacity: size, Free: size}
		d.views = append(d.views, view)
		d.fleet.UpdateWorker(d.now, view)
	}
	d.running = make([][]work.Spec, workers)
	for waiting := 0; waiting < max(queued, 1); {
		spec := d.task()
		if a, placed, err := d.fleet.Schedule(d.now, spec); err != nil {
			panic(err)
		} else if placed {
			d.started(a)
		} else {
			waiting++
		}
	}
	if queued == 0 {
		d.end(d.random.IntN(workers)) // free capacity for at least one task, so that arrivals are not queued
	}
	return d
}

func (d *decisionBench) task() work.Spec {
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

func (d *decisionBench) started(a fleet.Assignment) {
	d.fleet.Confirm(a.Spec.ID)
	for i := range d.views {
		if d.views[i].Worker == a.Worker {
			d.views[i].Free = d.views[i].Free.Sub(a.Spec.Size)
			d.running[i] = append(d.running[i], a.Spec)
		}
	}
}

// end ends a task on the worker and returns how long the fleet took to reassign its capacity.
func (d *decisionBench) end(i int) time.Duration {
	if len(d.running[i]) == 0 {
		return 0
	}
	last := len(d.running[i]) - 1
	spec := d.running[i][last]
	d.running[i] = d.running[i][:last]
	d.views[i].Free = d.views[i].Free.Add(spec.Size)
	d.now = d.now.Add(time.Millisecond)
	startTime := time.Now()
	d.fleet.Finish(work.Outcome{Task: spec.ID, OK: true, RunTime: time.Minute})
	assigned := d.fleet.UpdateWorker(d.now, d.views[i]).Assigned
	elapsed := time.Since(startTime)
	for _, a := range assigned {
		d.started(a)
	}
	return elapsed
}

func (d *decisionBench) measure(b *testing.B) {
	times := make([]time.Duration, 0, b.N)
	total := time.Duration(0)
	for b.Loop() {
		elapsed := d.end(d.random.IntN(len(d.views)))
		spec := d.task()
		startTime := time.Now()
		a, placed, err := d.fleet.Schedule(d.now, spec)
		elapsed += time.Since(startTime)
		if err == nil && placed {
			d.started(a)
		}
		times = append(times, elapsed)
		total += elapsed
	}
	slices.Sort(times)
	b.ReportMetric(float64(len(times))/total.Seconds(), "decisions/s")
	b.ReportMetric(float64(times[len(times)/2].Microseconds()), "p50-µs")
	b.ReportMetric(float64(times[len(times)*99/100].Microseconds()), "p99-µs")
}
