package fleet

import (
	"sort"
	"strings"

	"skylarkstall/internal/fault"
)

// Policy selects the rules by which a fleet decides. Each rule is on or off, so that its effect can be measured alone.
type Policy struct {
	Name          string
	FairSharing   bool // classes in order of urgency, weighted fair sharing between teams within a class
	LearnRunTimes bool // run times from outcomes instead of declared ones
	LoadShedding  bool // refuse work early that would wait too long or miss its deadline
	Headroom      bool // other work leaves room for the demand of requests
	Preemption    bool // long work gives way to requests that wait, and stragglers to other work
	Backfill      bool // a waiting gang has a promised start that other work does not delay
	Placement     Placement
}

// Placement is how a worker is chosen.
type Placement uint8

// Placements.
const (
	PlaceFirstFit Placement = iota // the first worker with room
	PlaceBestFit                   // the worker with the least room, after a look at each
	PlaceScored                    // by scores among the tightest workers, found by an index
)

var (
	// FirstFit is the baseline: first in first out over all classes, on the first worker with room.
	FirstFit = Policy{Name: "first-fit"}
	// FairShare is the policy for use: all rules.
	FairShare = Policy{Name: "fair-share", FairSharing: true, LearnRunTimes: true, LoadShedding: true, Headroom: true, Preemption: true, Backfill: true, Placement: PlaceScored}
	// BestFit is the reference for packing: first in first out on the worker with the least room.
	BestFit = Policy{Name: "best-fit", Placement: PlaceBestFit}
)

var policies = map[string]Policy{FirstFit.Name: FirstFit, FairShare.Name: FairShare, BestFit.Name: BestFit}

// rules are the rules that a name can take out of a policy, for measurements.
var rules = map[string]func(*Policy){
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

// ParsePolicy returns the policy with the name. A name such as fair-share~shed~learn leaves rules out. It fails with
// Invalid.
func ParsePolicy(name string) (Policy, error) {
	base, rest, _ := strings.Cut(name, "~")
	p, ok := policies[base]
	if !ok {
		return Policy{}, fault.New(fault.Invalid, "policy %q: want %s", base, strings.Join(PolicyNames(), " or "))
	}
	p.Name = name
	for _, rule := range strings.FieldsFunc(rest, func(r rune) bool { return r == '~' }) {
		leaveOut, ok := rules[rule]
		if !ok {
			return Policy{}, fault.New(fault.Invalid, "policy %q: the rule %q is unknown", name, rule)
		}
		leaveOut(&p)
	}
	return p, nil
}
