package replay

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"skylarkstall/internal/domain/resource"
	"skylarkstall/internal/domain/work"
	"skylarkstall/internal/fault"
)

// Profile generates arrivals.
type Profile struct {
	Name     string
	Duration time.Duration // in virtual time
	WarmUp   time.Duration // arrivals during this initial period are not measured
	generate func(g *generator)
}

var profiles = []Profile{
	{"shift", 120 * time.Second, 20 * time.Second, shift},
	{"rush", 70 * time.Second, 10 * time.Second, rush},
	{"overnight", 90 * time.Second, 10 * time.Second, overnight},
	{"stragglers", 90 * time.Second, 10 * time.Second, stragglers},
	{"wrong-sizes", 90 * time.Second, 10 * time.Second, wrongSizes},
	{"cancel", 60 * time.Second, 10 * time.Second, cancelWave},
	{"gangs", 180 * time.Second, 10 * time.Second, gangs},
	{"overload", 30 * time.Second, 5 * time.Second, overload},
	{"packing", 120 * time.Second, 20 * time.Second, packing},
	{"fairness", 90 * time.Second, 10 * time.Second, fairness},
}

// ProfileNames returns the names of all profiles.
func ProfileNames() []string {
	names := make([]string, len(profiles))
	for i, p := range profiles {
		names[i] = p.Name
	}
	return names
}

// ProfileByName returns the profile with the given name. It fails with Invalid for an unknown name.
func ProfileByName(name string) (Profile, error) {
	for _, p := range profiles {
		if p.Name == name {
			return p, nil
		}
	}
	return Profile{}, fault.New(fault.Invalid, "profile %q: want one of %v", name, ProfileNames())
}

// Arrivals returns the arrivals of the profile, ordered by time. loadFactor scales the rate of requests: at 1, the
// overload profile needs exactly the capacity of the cell.
func (p Profile) Arrivals(shape Shape, seed uint64, loadFactor float64) []Arrival {
	g := &generator{
		random: rand.New(rand.NewPCG(seed, 1)), shape: shape, duration: p.Duration, loadFactor: loadFactor,
		slots: float64(shape.total().Slots), counts: map[string]int{},
	}
	p.generate(g)
	sort.SliceStable(g.arrivals, func(i, j int) bool { return g.arrivals[i].At < g.arrivals[j].At })
	return g.arrivals
}

type generator struct {
	random     *rand.Rand
	shape      Shape
	duration   time.Duration
	loadFactor float64
	slots      float64 // number of slots of the cell
	counts     map[string]int
	arrivals   []Arrival
}

const gib = 1 << 30

func slotSize(cores float64, memoryGiB float64) resource.Vector {
	return resource.Vector{MilliCores: int64(cores * 1000), MemoryBytes: int64(memoryGiB * gib), Slots: 1}
}

// exponentialRunTime returns an exponentially distributed run time, at least 1/20 of the mean.
func (g *generator) exponentialRunTime(mean time.Duration) time.Duration {
	return max(time.Duration(g.random.ExpFloat64()*float64(mean)), mean/20)
}

// paretoRunTime returns a heavy-tailed run time: 1 in 100 exceeds 40 times the shortest.
func (g *generator) paretoRunTime(shortest, longest time.Duration) time.Duration {
	const shape = 1.25
	return min(time.Duration(float64(shortest)/math.Pow(1-g.random.Float64(), 1/shape)), longest)
}

func (g *generator) add(a Arrival) {
	g.counts[a.Team]++
	a.Request = fmt.Sprintf("%s-%d", a.Kind, g.counts[a.Team])
	a.Weight = max(a.Weight, 1)
	if a.ActualUsage.IsZero() {
		a.ActualUsage = a.Size
	}
	g.arrivals = append(g.arrivals, a)
}

// poisson calls add at the times of a Poisson process with the given rate per second, between from and to.
func (g *generator) poisson(rate float64, from, to time.Duration, add func(at time.Duration)) {
	for at := from; ; {
		at += time.Duration(g.random.ExpFloat64() / rate * float64(time.Second))
		if at >= to {
			return
		}
		add(at)
	}
}

// addQuote adds a short request.
func (g *generator) addQuote(team string, at time.Duration) {
	g.add(Arrival{
		At: at, Team: team, Kind: "quote", Class: work.Request, Size: slotSize(0.5, 0.25), RunTime: g.exponentialRunTime(200 * time.Millisecond),
		Expected: 150 * time.Millisecond, Deadline: 10 * time.Second, Repeatable: true,
	})
}

// addBatch adds a long-running batch task of one of four sizes.
func (g *generator) addBatch(team string, at, mean time.Duration) {
	sizes := []resource.Vector{slotSize(1, 2), slotSize(2, 8), slotSize(4, 6), slotSize(2, 4)}
	i := g.random.IntN(len(sizes))
	g.add(Arrival{
		At: at, Team: team, Kind: fmt.Sprintf("run-%d", i), Class: work.Batch, Size: sizes[i], RunTime: g.exponentialRunTime(mean),
		Expected: mean, Deadline: 12 * time.Hour, Repeatable: true,
	})
}

// fillBatch adds batch tasks for the given share of the cell's slots at the start, and further ones at the rate at which
// they end.
func (g *generator) fillBatch(share float64, mean time.Duration) {
	n := share * g.slots
	for i := range int(n) {
		g.addBatch(g.team(i), 0, mean)
	}
	i := 0
	g.poisson(n/mean.Seconds(), 0, g.duration, func(at time.Duration) {
		g.addBatch(g.team(i), at, mean)
		i++
	})
}

func (g *generator) addStanding(share float64) {
	for i := range int(share * g.slots) {
		g.add(Arrival{
			Team: g.team(i), Kind: "watch", Class: work.Standing, Size: slotSize(0.5, 0.25), RunTime: g.duration * 2,
			Deadline: 10 * time.Minute, Repeatable: true,
		})
	}
}

// team returns the name of team i modulo the number of teams.
func (g *generator) team(i int) string { return fmt.Sprintf("team-%02d", i%g.teams()) }

func (g *generator) teams() int {
	if g.shape.Workers < largeCellWorkers {
		return 8
	}
	return 350
}

// addQuotes adds requests of random teams.
func (g *generator) addQuotes(rate float64, from, to time.Duration) {
	g.poisson(rate*g.loadFactor, from, to, func(at time.Duration) { g.addQuote(g.team(g.random.IntN(1<<16)), at) })
}

// quoteRate is a tenth of the peak rate of task starts: 53 per second in a large cell.
func (g *generator) quoteRate() float64 { return 53 * math.Max(g.slots/27_520, 0.5) }
