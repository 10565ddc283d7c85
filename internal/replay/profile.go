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

// Profile generates a list of arrivals.
type Profile struct {
	Name     string
	Duration time.Duration // virtual time
	WarmUp   time.Duration // arrivals before are not measured
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

// ProfileNames returns the names that ProfileNamed knows.
func ProfileNames() []string {
	names := make([]string, len(profiles))
	for i, p := range profiles {
		names[i] = p.Name
	}
	return names
}

// ProfileByName returns the profile with the name. It fails with Invalid.
func ProfileByName(name string) (Profile, error) {
	for _, p := range profiles {
		if p.Name == name {
			return p, nil
		}
	}
	return Profile{}, fault.New(fault.Invalid, "profile %q: want one of %v", name, ProfileNames())
}

// Arrivals returns the list of the profile, in order of time. load scales the rate of requests: at 1 the overload
// profile needs just the capacity of the cell.
func (p Profile) Arrivals(shape Shape, seed uint64, load float64) []Arrival {
	g := &generator{
		random: rand.New(rand.NewPCG(seed, 1)), shape: shape, length: p.Duration, load: load,
		slots: float64(shape.total().Slots), counts: map[string]int{},
	}
	p.generate(g)
	sort.SliceStable(g.out, func(i, j int) bool { return g.out[i].At < g.out[j].At })
	return g.out
}

type generator struct {
	random *rand.Rand
	shape  Shape
	length time.Duration
	load   float64
	slots  float64 // of the cell
	counts map[string]int
	out    []Arrival
}

const gib = 1 << 30

func size(cores float64, memoryGiB float64) resource.Vector {
	return resource.Vector{MilliCores: int64(cores * 1000), MemoryBytes: int64(memoryGiB * gib), Slots: 1}
}

// exponential returns a run time with the mean, at least a twentieth of it.
func (g *generator) exponential(mean time.Duration) time.Duration {
	return max(time.Duration(g.random.ExpFloat64()*float64(mean)), mean/20)
}

// pareto returns a heavy-tailed run time: one in a hundred is longer than 40 times the least.
func (g *generator) pareto(least, most time.Duration) time.Duration {
	const shape = 1.25
	return min(time.Duration(float64(least)/math.Pow(1-g.random.Float64(), 1/shape)), most)
}

func (g *generator) add(a Arrival) {
	g.counts[a.Team]++
	a.Request = fmt.Sprintf("%s-%d", a.Kind, g.counts[a.Team])
	a.Weight = max(a.Weight, 1)
	if a.ActualUsage.IsZero() {
		a.ActualUsage = a.Size
	}
	g.out = append(g.out, a)
}

// poisson calls add at random times with the rate a second, from until to.
func (g *generator) poisson(rate float64, from, to time.Duration, add func(at time.Duration)) {
	for at := from; ; {
		at += time.Duration(g.random.ExpFloat64() / rate * float64(time.Second))
		if at >= to {
			return
		}
		add(at)
	}
}

// quote is a short request.
func (g *generator) quote(team string, at time.Duration) {
	g.add(Arrival{
		At: at, Team: team, Kind: "quote", Class: work.Request, Size: size(0.5, 0.25), RunTime: g.exponential(200 * time.Millisecond),
		Expected: 150 * time.Millisecond, Deadline: 10 * time.Second, Repeatable: true,
	})
}

// batch is a long task of one of four sizes.
func (g *generator) batch(team string, at, mean time.Duration) {
	sizes := []resource.Vector{size(1, 2), size(2, 8), size(4, 6), size(2, 4)}
	i := g.random.IntN(len(sizes))
	g.add(Arrival{
		At: at, Team: team, Kind: fmt.Sprintf("run-%d", i), Class: work.Batch, Size: sizes[i], RunTime: g.exponential(mean),
		Expected: mean, Deadline: 12 * time.Hour, Repeatable: true,
	})
}

// fillBatch starts with the share of the cell's slots in batch tasks, and adds more at the rate at which they end.
func (g *generator) fillBatch(share float64, mean time.Duration) {
	n := share * g.slots
	for i := range int(n) {
		g.batch(g.team(i), 0, mean)
	}
	i := 0
	g.poisson(n/mean.Seconds(), 0, g.length, func(at time.Duration) {
		g.batch(g.team(i), at, mean)
		i++
	})
}

func (g *generator) standing(share float64) {
	for i := range int(share * g.slots) {
		g.add(Arrival{
			Team: g.team(i), Kind: "watch", Class: work.Standing, Size: size(0.5, 0.25), RunTime: g.length * 2,
			Deadline: 10 * time.Minute, Repeatable: true,
		})
	}
}

// team returns one of a few teams.
func (g *generator) team(i int) string { return fmt.Sprintf("team-%02d", i%g.teams()) }

func (g *generator) teams() int {
	if g.shape.Workers < smallCell {
		return 8
	}
	return 350
}

// quotes adds requests of all teams.
func (g *generator) quotes(rate float64, from, to time.Duration) {
	g.poisson(rate*g.load, from, to, func(at time.Duration) { g.quote(g.team(g.random.IntN(1<<16)), at) })
}

// quoteRate is a tenth of the peak rate of task starts: 53 a second in a large cell.
func (g *generator) quoteRate() float64 { return 53 * math.Max(g.slots/27_520, 0.5) }
