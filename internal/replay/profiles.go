package replay

import (
	"fmt"
	"time"

	"skylarkstall/internal/domain/resource"
	"skylarkstall/internal/domain/work"
)

// shift is a regular day: standing work, batch work that leaves free capacity, and requests.
func shift(g *generator) {
	g.addStanding(0.2)
	g.fillBatch(0.5, 4*time.Minute)
	g.addQuotes(g.quoteRate(), 0, g.duration)
}

// rush is a cell full of batch work in which the rate of requests grows to ten times its value within 2 s.
func rush(g *generator) {
	const begin, ramp, end = 30 * time.Second, 2 * time.Second, 60 * time.Second
	g.addStanding(0.2)
	g.fillBatch(1, 4*time.Minute)
	rate := g.quoteRate()
	g.addQuotes(rate, 0, begin)
	const steps = 10
	for i := range time.Duration(steps) {
		g.addQuotes(rate*float64(i+1), begin+ramp*i/steps, begin+ramp*(i+1)/steps)
	}
	g.addQuotes(rate*10, begin+ramp, end)
	g.addQuotes(rate, end, g.duration)
}

// overnight is a backlog of long batch tasks with a few requests.
func overnight(g *generator) {
	g.fillBatch(1.3, 20*time.Minute)
	g.addQuotes(g.quoteRate(), 0, g.duration)
}

// stragglers has requests and batch work with heavy-tailed run times.
func stragglers(g *generator) {
	for i := range int(1.5 * g.slots) {
		g.addHeavyTailed(g.team(i), 0)
	}
	i := 0
	g.poisson(g.slots/15, 0, g.duration, func(at time.Duration) {
		g.addHeavyTailed(g.team(i), at)
		i++
	})
	g.poisson(g.quoteRate()*g.loadFactor, 0, g.duration, func(at time.Duration) {
		g.addQuote(g.team(g.random.IntN(1<<16)), at)
		last := &g.arrivals[len(g.arrivals)-1]
		last.RunTime = g.paretoRunTime(60*time.Millisecond, time.Minute)
	})
}

func (g *generator) addHeavyTailed(team string, at time.Duration) {
	g.addBatch(team, at, 20*time.Second)
	last := &g.arrivals[len(g.arrivals)-1]
	last.RunTime = g.paretoRunTime(4*time.Second, 2*time.Hour)
}

// wrongSizes has declared sizes and run times that are too large or too small by a factor of up to 4.
func wrongSizes(g *generator) {
	overnight(g)
	factors := []float64{0.25, 0.5, 1, 2, 4}
	for i := range g.arrivals {
		a := &g.arrivals[i]
		cores := factors[g.random.IntN(len(factors))]
		memory := factors[g.random.IntN(len(factors))]
		a.ActualUsage.MilliCores = int64(float64(a.Size.MilliCores) * cores)
		a.ActualUsage.MemoryBytes = int64(float64(a.Size.MemoryBytes) * memory)
		a.Expected = time.Duration(float64(a.Expected) * factors[g.random.IntN(len(factors))])
	}
}

// cancelWaveTasks is the number of canceled tasks in a cell with at least the workers of SmallShape.
const cancelWaveTasks = 10_000

// cancelWave queues many tasks of one team and cancels all of them at the same time.
func cancelWave(g *generator) {
	overnight(g)
	for range cancelWaveTasks * min(g.shape.Workers, SmallShape.Workers) / SmallShape.Workers {
		g.addBatch("team-wave", 5*time.Second, 20*time.Minute)
		g.arrivals[len(g.arrivals)-1].CancelAt = 30 * time.Second
	}
}

// gangs has gangs that need a tenth to a third of the slots of an owner, in a cell full of batch work.
func gangs(g *generator) {
	g.fillBatch(1.1, 30*time.Second)
	perOwner := g.slots / float64(g.shape.Owners)
	rate := float64(g.shape.Owners) / 60
	g.poisson(rate, 0, g.duration, func(at time.Duration) {
		g.add(Arrival{
			At: at, Team: g.team(g.random.IntN(1 << 16)), Kind: "press", Class: work.Gang, Size: slotSize(2, 4),
			RunTime: g.exponentialRunTime(20 * time.Second), Expected: 20 * time.Second, Deadline: 2 * time.Hour, Repeatable: true,
			GangSize: int(perOwner * (0.1 + 0.23*g.random.Float64())),
		})
	})
	g.addQuotes(g.quoteRate(), 0, g.duration)
}

// overload has only requests, which need the capacity of the cell times the load factor.
func overload(g *generator) {
	const run = 400 * time.Millisecond
	rate := g.slots / run.Seconds() * g.loadFactor
	if g.shape.Workers >= largeCellWorkers {
		rate /= 10 // fewer but longer requests keep the replay fast
	}
	mean := time.Duration(g.slots * g.loadFactor / rate * float64(time.Second))
	g.poisson(rate, 0, g.duration, func(at time.Duration) {
		g.addQuote(g.team(g.random.IntN(1<<16)), at)
		last := &g.arrivals[len(g.arrivals)-1]
		last.RunTime, last.Expected = g.exponentialRunTime(mean), mean
	})
}

// packing has tasks of mixed sizes for 1.5 times the capacity of the cell, so that cores, memory and slots are all
// scarce.
func packing(g *generator) {
	const mean = 40 * time.Second
	total := g.shape.total()
	n := int(1.5 * float64(total.MilliCores) / 4_600)
	for i := range n {
		g.addMixed(g.team(i), 0, mean)
	}
	g.poisson(float64(n)/mean.Seconds(), 0, g.duration, func(at time.Duration) {
		g.addMixed(g.team(g.random.IntN(1<<16)), at, mean)
	})
	g.addQuotes(g.quoteRate(), 0, g.duration)
}

func (g *generator) addMixed(team string, at, mean time.Duration) {
	sizes := []struct {
		resource.Vector
		percent int
	}{{slotSize(1, 4), 20}, {slotSize(2, 4), 20}, {slotSize(4, 24), 20}, {slotSize(8, 16), 20}, {slotSize(6, 48), 10}, {slotSize(16, 32), 10}}
	pick := g.random.IntN(100)
	for i, option := range sizes {
		if pick -= option.percent; pick < 0 {
			g.add(Arrival{
				At: at, Team: team, Kind: fmt.Sprintf("mixed-%d", i), Class: work.Batch, Size: option.Vector,
				RunTime: g.exponentialRunTime(mean), Expected: mean, Deadline: 12 * time.Hour, Repeatable: true,
			})
			return
		}
	}
}

// fairness has a team that floods the cell and a team of the same weight with a low load.
func fairness(g *generator) {
	const mean = 10 * time.Second
	g.poisson(g.slots/mean.Seconds()*1.5, 0, g.duration, func(at time.Duration) { g.addBatch("flooding", at, mean) })
	g.poisson(g.slots/mean.Seconds()*0.1, 0, g.duration, func(at time.Duration) { g.addBatch("quiet", at, mean) })
	g.poisson(g.slots*0.66, 0, g.duration, func(at time.Duration) { g.addQuote("flooding", at) })
	g.poisson(g.slots*0.066, 0, g.duration, func(at time.Duration) { g.addQuote("quiet", at) })
}
