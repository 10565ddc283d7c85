package replay

import (
	"fmt"
	"time"

	"skylarkstall/internal/domain/resource"
	"skylarkstall/internal/domain/work"
)

// shift is an ordinary day: standing work, batch that leaves room, requests.
func shift(g *generator) {
	g.standing(0.2)
	g.fillBatch(0.5, 4*time.Minute)
	g.quotes(g.quoteRate(), 0, g.length)
}

// rush is a cell full of batch work in which the rate of requests grows ten times within 2 s.
func rush(g *generator) {
	const begin, ramp, end = 30 * time.Second, 2 * time.Second, 60 * time.Second
	g.standing(0.2)
	g.fillBatch(1, 4*time.Minute)
	rate := g.quoteRate()
	g.quotes(rate, 0, begin)
	const steps = 10
	for i := range time.Duration(steps) {
		g.quotes(rate*float64(i+1), begin+ramp*i/steps, begin+ramp*(i+1)/steps)
	}
	g.quotes(rate*10, begin+ramp, end)
	g.quotes(rate, end, g.length)
}

// overnight is a backlog of long runs with a few requests.
func overnight(g *generator) {
	g.fillBatch(1.3, 20*time.Minute)
	g.quotes(g.quoteRate(), 0, g.length)
}

// stragglers has heavy-tailed run times in requests and in batch.
func stragglers(g *generator) {
	for i := range int(1.5 * g.slots) {
		g.heavy(g.team(i), 0)
	}
	i := 0
	g.poisson(g.slots/15, 0, g.length, func(at time.Duration) {
		g.heavy(g.team(i), at)
		i++
	})
	g.poisson(g.quoteRate()*g.load, 0, g.length, func(at time.Duration) {
		g.quote(g.team(g.random.IntN(1<<16)), at)
		last := &g.out[len(g.out)-1]
		last.RunTime = g.pareto(60*time.Millisecond, time.Minute)
	})
}

func (g *generator) heavy(team string, at time.Duration) {
	g.batch(team, at, 20*time.Second)
	last := &g.out[len(g.out)-1]
	last.RunTime = g.pareto(4*time.Second, 2*time.Hour)
}

// wrongSizes declares sizes and run times that are up to 4 times too large or too small.
func wrongSizes(g *generator) {
	overnight(g)
	factors := []float64{0.25, 0.5, 1, 2, 4}
	for i := range g.out {
		a := &g.out[i]
		cores := factors[g.random.IntN(len(factors))]
		memory := factors[g.random.IntN(len(factors))]
		a.ActualUsage.MilliCores = int64(float64(a.Size.MilliCores) * cores)
		a.ActualUsage.MemoryBytes = int64(float64(a.Size.MemoryBytes) * memory)
		a.Expected = time.Duration(float64(a.Expected) * factors[g.random.IntN(len(factors))])
	}
}

// waveTasks is the size of a cancellation wave in a cell of today's size or larger.
const waveTasks = 10_000

// cancelWave queues many tasks of one team and cancels them at once.
func cancelWave(g *generator) {
	overnight(g)
	for range waveTasks * min(g.shape.Workers, SmallShape.Workers) / SmallShape.Workers {
		g.batch("team-wave", 5*time.Second, 20*time.Minute)
		g.out[len(g.out)-1].CancelAt = 30 * time.Second
	}
}

// gangs has gangs that need a tenth to a third of an owner's slots, among batch work for the whole cell.
func gangs(g *generator) {
	g.fillBatch(1.1, 30*time.Second)
	perOwner := g.slots / float64(g.shape.Owners)
	rate := float64(g.shape.Owners) / 60
	g.poisson(rate, 0, g.length, func(at time.Duration) {
		g.add(Arrival{
			At: at, Team: g.team(g.random.IntN(1 << 16)), Kind: "press", Class: work.Gang, Size: size(2, 4),
			RunTime: g.exponential(20 * time.Second), Expected: 20 * time.Second, Deadline: 2 * time.Hour, Repeatable: true,
			GangSize: int(perOwner * (0.1 + 0.23*g.random.Float64())),
		})
	})
	g.quotes(g.quoteRate(), 0, g.length)
}

// overload has requests alone, at the capacity of the cell times the load.
func overload(g *generator) {
	const run = 400 * time.Millisecond
	rate := g.slots / run.Seconds() * g.load
	if g.shape.Workers >= smallCell {
		rate /= 10 // longer requests keep the replay short
	}
	mean := time.Duration(g.slots * g.load / rate * float64(time.Second))
	g.poisson(rate, 0, g.length, func(at time.Duration) {
		g.quote(g.team(g.random.IntN(1<<16)), at)
		last := &g.out[len(g.out)-1]
		last.RunTime, last.Expected = g.exponential(mean), mean
	})
}

// packing has tasks of mixed sizes for half more than the cell, so that processors, memory and slots all bind.
func packing(g *generator) {
	const mean = 40 * time.Second
	total := g.shape.total()
	n := int(1.5 * float64(total.MilliCores) / 4_600)
	for i := range n {
		g.mixed(g.team(i), 0, mean)
	}
	g.poisson(float64(n)/mean.Seconds(), 0, g.length, func(at time.Duration) {
		g.mixed(g.team(g.random.IntN(1<<16)), at, mean)
	})
	g.quotes(g.quoteRate(), 0, g.length)
}

func (g *generator) mixed(team string, at, mean time.Duration) {
	sizes := []struct {
		resource.Vector
		per int
	}{{size(1, 4), 20}, {size(2, 4), 20}, {size(4, 24), 20}, {size(8, 16), 20}, {size(6, 48), 10}, {size(16, 32), 10}}
	pick := g.random.IntN(100)
	for i, s := range sizes {
		if pick -= s.per; pick < 0 {
			g.add(Arrival{
				At: at, Team: team, Kind: fmt.Sprintf("mixed-%d", i), Class: work.Batch, Size: s.Vector,
				RunTime: g.exponential(mean), Expected: mean, Deadline: 12 * time.Hour, Repeatable: true,
			})
			return
		}
	}
}

// fairness has a team that floods the cell and a quiet one of the same weight.
func fairness(g *generator) {
	const mean = 10 * time.Second
	g.poisson(g.slots/mean.Seconds()*1.5, 0, g.length, func(at time.Duration) { g.batch("flooding", at, mean) })
	g.poisson(g.slots/mean.Seconds()*0.1, 0, g.length, func(at time.Duration) { g.batch("quiet", at, mean) })
	g.poisson(g.slots*0.66, 0, g.length, func(at time.Duration) { g.quote("flooding", at) })
	g.poisson(g.slots*0.066, 0, g.length, func(at time.Duration) { g.quote("quiet", at) })
}
