// Package load is an open-loop load generator: it sends requests to running processes at times fixed in advance, so
// that a slow system does not reduce its own load, and measures latency from the intended start of each request.
package load

import (
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"skylarkstall/internal/fault"
)

// Stream generates requests of one team and kind within a profile.
type Stream struct {
	Team    string
	Kind    string
	Rate    func(at time.Duration) float64 // arrivals per second
	RunTime func(random *rand.Rand) time.Duration
}

// Profile is a named mix of streams. At a load factor of 1, its rates suit a cell of 48 slots.
type Profile struct {
	Name     string
	Duration time.Duration
	Streams  []Stream
}

// Arrival is a request with its intended start.
type Arrival struct {
	At      time.Duration // since the start of the run
	Team    string
	Kind    string
	RunTime time.Duration
}

func constantRate(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// burstRate is a rate that rises to ten times its value within 2 s, stays there for 5 s and falls back within 2 s.
func burstRate(rate float64, from time.Duration) func(time.Duration) float64 {
	const rise, hold, peakFactor = 2 * time.Second, 5 * time.Second, 10
	return func(at time.Duration) float64 {
		switch elapsed := at - from; {
		case elapsed < 0 || elapsed > 2*rise+hold:
			return rate
		case elapsed < rise:
			return rate * (1 + (peakFactor-1)*elapsed.Seconds()/rise.Seconds())
		case elapsed < rise+hold:
			return rate * peakFactor
		default:
			return rate * (1 + (peakFactor-1)*(2*rise+hold-elapsed).Seconds()/rise.Seconds())
		}
	}
}

// uniformRunTimes returns run times that are uniformly distributed from 0.5 to 1.5 times the mean.
func uniformRunTimes(mean time.Duration) func(*rand.Rand) time.Duration {
	return func(random *rand.Rand) time.Duration {
		return mean/2 + time.Duration(random.Float64()*float64(mean))
	}
}

// paretoRunTimes returns Pareto-distributed run times with the given median, capped at 100 times the median.
func paretoRunTimes(median time.Duration) func(*rand.Rand) time.Duration {
	const shape, maxFactor = 1.2, 100
	return func(random *rand.Rand) time.Duration {
		factor := math.Pow(2*(1-random.Float64()), -1/shape)
		return time.Duration(min(factor, maxFactor) * float64(median))
	}
}

// Profiles returns the named profiles.
func Profiles() []Profile {
	const proof, quote = 200 * time.Millisecond, 150 * time.Millisecond
	return []Profile{
		{Name: "shift", Duration: 30 * time.Second, Streams: []Stream{
			{"vembanad", "proof", constantRate(40), uniformRunTimes(proof)},
			{"goldfields", "quote", constantRate(40), uniformRunTimes(quote)},
		}},
		{Name: "rush", Duration: 30 * time.Second, Streams: []Stream{
			{"vembanad", "proof", burstRate(20, 10*time.Second), uniformRunTimes(proof)},
			{"goldfields", "quote", constantRate(20), uniformRunTimes(quote)},
		}},
		{Name: "overnight", Duration: 30 * time.Second, Streams: []Stream{
			{"goldfields", "quote", constantRate(40), uniformRunTimes(quote)},
			{"vembanad", "proof-sheet", constantRate(5), uniformRunTimes(5 * time.Second)},
		}},
		{Name: "heavy-tail", Duration: 30 * time.Second, Streams: []Stream{
			{"vembanad", "proof", constantRate(30), paretoRunTimes(proof)},
			{"goldfields", "quote", constantRate(30), uniformRunTimes(quote)},
		}},
		{Name: "overload", Duration: 20 * time.Second, Streams: []Stream{
			{"vembanad", "proof", constantRate(240), uniformRunTimes(proof)},
		}},
	}
}

// ProfileByName returns the profile with the given name. It fails with Invalid for an unknown name.
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

// Arrivals returns the arrivals of a Poisson process with the profile's rates multiplied by load, ordered by time. The
// same seed gives the same list.
func (p Profile) Arrivals(seed uint64, load float64) []Arrival {
	random := rand.New(rand.NewPCG(seed, 0))
	var arrivals []Arrival
	for _, s := range p.Streams {
		arrivals = append(arrivals, s.arrivals(random, p.Duration, load)...)
	}
	sort.SliceStable(arrivals, func(i, j int) bool { return arrivals[i].At < arrivals[j].At })
	return arrivals
}

// arrivals samples a non-homogeneous Poisson process by thinning: it draws arrivals at the maximum rate and drops some.
func (s Stream) arrivals(random *rand.Rand, length time.Duration, load float64) []Arrival {
	maxRate := 0.0
	for at := time.Duration(0); at <= length; at += 100 * time.Millisecond {
		maxRate = max(maxRate, s.Rate(at)*load)
	}
	var arrivals []Arrival
	for at := 0.0; maxRate > 0; {
		at += random.ExpFloat64() / maxRate
		when := time.Duration(at * float64(time.Second))
		if when > length {
			break
		}
		if random.Float64()*maxRate < s.Rate(when)*load {
			arrivals = append(arrivals, Arrival{At: when, Team: s.Team, Kind: s.Kind, RunTime: s.RunTime(random)})
		}
	}
	return arrivals
}
