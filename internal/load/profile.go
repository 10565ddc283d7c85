// Package load sends work to real processes at times that are fixed beforehand, so that a slow system does not slow
// its own load, and measures from the intended start of each request.
package load

import (
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"skylarkstall/internal/fault"
)

// Stream is one kind of short request within a profile.
type Stream struct {
	Team    string
	Kind    string
	Rate    func(at time.Duration) float64 // arrivals a second
	RunTime func(random *rand.Rand) time.Duration
}

// Profile is a named mix of streams. Rates are for a cell of 48 slots at a load of 1.
type Profile struct {
	Name     string
	Duration time.Duration
	Streams  []Stream
}

// Arrival is one request and when it is to be sent.
type Arrival struct {
	At      time.Duration // from the start
	Team    string
	Kind    string
	RunTime time.Duration
}

func steady(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// burst is a rate that rises to ten times its value within 2 s, stays for 5 s and falls again.
func burst(rate float64, from time.Duration) func(time.Duration) float64 {
	const rise, stay, times = 2 * time.Second, 5 * time.Second, 10
	return func(at time.Duration) float64 {
		switch in := at - from; {
		case in < 0 || in > 2*rise+stay:
			return rate
		case in < rise:
			return rate * (1 + (times-1)*in.Seconds()/rise.Seconds())
		case in < rise+stay:
			return rate * times
		default:
			return rate * (1 + (times-1)*(2*rise+stay-in).Seconds()/rise.Seconds())
		}
	}
}

// around returns run times from half to one and a half of the mean.
func around(mean time.Duration) func(*rand.Rand) time.Duration {
	return func(random *rand.Rand) time.Duration {
		return mean/2 + time.Duration(random.Float64()*float64(mean))
	}
}

// heavyTail returns run times of a Pareto distribution with the given median, at most a hundred times the median.
func heavyTail(median time.Duration) func(*rand.Rand) time.Duration {
	const shape, most = 1.2, 100
	return func(random *rand.Rand) time.Duration {
		factor := math.Pow(2*(1-random.Float64()), -1/shape)
		return time.Duration(min(factor, most) * float64(median))
	}
}

// Profiles returns the named profiles.
func Profiles() []Profile {
	const proof, quote = 200 * time.Millisecond, 150 * time.Millisecond
	return []Profile{
		{Name: "shift", Duration: 30 * time.Second, Streams: []Stream{
			{"vembanad", "proof", steady(40), around(proof)},
			{"goldfields", "quote", steady(40), around(quote)},
		}},
		{Name: "rush", Duration: 30 * time.Second, Streams: []Stream{
			{"vembanad", "proof", burst(20, 10*time.Second), around(proof)},
			{"goldfields", "quote", steady(20), around(quote)},
		}},
		{Name: "overnight", Duration: 30 * time.Second, Streams: []Stream{
			{"goldfields", "quote", steady(40), around(quote)},
			{"vembanad", "proof-sheet", steady(5), around(5 * time.Second)},
		}},
		{Name: "heavy-tail", Duration: 30 * time.Second, Streams: []Stream{
			{"vembanad", "proof", steady(30), heavyTail(proof)},
			{"goldfields", "quote", steady(30), around(quote)},
		}},
		{Name: "overload", Duration: 20 * time.Second, Streams: []Stream{
			{"vembanad", "proof", steady(240), around(proof)},
		}},
	}
}

// ProfileByName returns the profile with the name. It fails with Invalid.
func ProfileByName(name string) (Profile, error) {
	var names []string
	for _, p := range Profiles() {
		if p.Name == name {
			return p, nil
		}
		names = append(names, p.Name)
	}
	return Profile{}, fault.New(fault.Invalid, "profile %q: want one of %v", name, names)
}

// Arrivals returns the arrivals of a Poisson process at the profile's rates times load, in order of time. The same seed
// gives the same list.
func (p Profile) Arrivals(seed uint64, load float64) []Arrival {
	random := rand.New(rand.NewPCG(seed, 0))
	var arrivals []Arrival
	for _, s := range p.Streams {
		arrivals = append(arrivals, s.arrivals(random, p.Duration, load)...)
	}
	sort.SliceStable(arrivals, func(i, j int) bool { return arrivals[i].At < arrivals[j].At })
	return arrivals
}

// arrivals thins a Poisson process of the highest rate down to the rate at each time.
func (s Stream) arrivals(random *rand.Rand, length time.Duration, load float64) []Arrival {
	highest := 0.0
	for at := time.Duration(0); at <= length; at += 100 * time.Millisecond {
		highest = max(highest, s.Rate(at)*load)
	}
	var arrivals []Arrival
	for at := 0.0; highest > 0; {
		at += random.ExpFloat64() / highest
		when := time.Duration(at * float64(time.Second))
		if when > length {
			break
		}
		if random.Float64()*highest < s.Rate(when)*load {
			arrivals = append(arrivals, Arrival{At: when, Team: s.Team, Kind: s.Kind, RunTime: s.RunTime(random)})
		}
	}
	return arrivals
}
