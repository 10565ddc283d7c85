package fleet

import (
	"sort"
	"strings"

	"skylarkstall/internal/fault"
)

// Policy selects the scheduling rules of a fleet. Each rule can be turned off separately, to measure its effect.
type Policy struct {
	Name          string
	FairSharing   bool // order by class urgency, then weighted fair sharing between teams
	LearnRunTimes bool // estimate run times from outcomes instead of using the declared ones
	LoadShedding  bool // refuse tasks early that would wait too long or miss their deadline
	Headroom      bool // keep capacity free for the expected demand of requests
	Preemption    bool // preempt long tasks for queued requests, and stragglers for other tasks
	Backfill      bool // queue gangs and plan the start of the first one; other tasks must not delay it
	Placement     Placement
}

// Placement selects how a worker is chosen.
type Placement uint8

// Placements.
const (
	PlaceFirstFit Placement = iota // the first worker on which the task fits, by a linear scan
	PlaceBestFit                   // the fitting worker with the least free capacity, by a linear scan
	PlaceScored                    // by score, among the fitting workers with the least free capacity, by an index
)

var (
	// FirstFit is the baseline: first in, first out over all classes, on the first worker on which the task fits.
	FirstFit = Policy{Name: "first-fit"}
	// FairShare is the production policy, with all rules.
	FairShare = Policy{
		Name: "fair-share", FairSharing: true, LearnRunTimes: true, LoadShedding: true, Headroom: true, Preemption: true,
		Backfill: true, Placement: PlaceScored,
	}
	// BestFit is the reference for bin packing: first in, first out, on the worker with the least free capacity.
	BestFit = Policy{Name: "best-fit", Placement: PlaceBestFit}
)

var policies = map[string]Policy{FirstFit.Name: FirstFit, FairShare.Name: FairShare, BestFit.Name: BestFit}

// ruleDisablers maps the rule names in a policy name to functions that turn the rule off, for measurements.
var ruleDisablers = map[string]func(*Policy){
	"fair":     func(p *Policy) { p.FairSharing = false },
	"learn":    func(p *Policy) { p.LearnRunTimes = false },
	"shed":     func(p *Policy) { p.LoadShedding = false },
	"headroom": func(p *Policy) { p.Headroom = false },
	"preempt":  func(p *Policy) { p.Preemption = false },
	"promise":  func(p *Policy) { p.Backfill = false },
	"index":    func(p *Policy) { p.Placement = PlaceFirstFit },
}

// PolicyNames returns the names of the complete policies, sorted.
func PolicyNames() []string {
	names := make([]string, 0, len(policies))
	for name := range policies {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// ParsePolicy returns the policy with the given name. Rules are turned off by appending their names, as in
// fair-share~shed~learn. It fails with Invalid for unknown names.
func ParsePolicy(name string) (Policy, error) {
	base, rest, _ := strings.Cut(name, "~")
	p, ok := policies[base]
	if !ok {
		return Policy{}, fault.New(fault.Invalid, "unknown policy %q: want %s", base, strings.Join(PolicyNames(), " or "))
	}
	p.Name = name
	for _, rule := range strings.FieldsFunc(rest, func(r rune) bool { return r == '~' }) {
		disable, ok := ruleDisablers[rule]
		if !ok {
			return Policy{}, fault.New(fault.Invalid, "policy %q: unknown rule %q", name, rule)
		}
		disable(&p)
	}
	return p, nil
}
