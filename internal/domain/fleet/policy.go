package fleet

import (
	"sort"
	"strings"

	"skylarkstall/internal/fault"
)

// Policy selects the rules by which a fleet decides. Each rule is on or off, so that its effect can be measured alone.
type Policy struct {
	Name     string
	Fair     bool // classes in order of urgency, weighted fair sharing between teams within a class
	Learn    bool // run times from outcomes instead of declared ones
	Shed     bool // refuse work early that would wait too long or miss its deadline
	Headroom bool // other work leaves room for the demand of requests
	Preempt  bool // long work gives way to requests that wait, and stragglers to other work
	Promise  bool // a waiting gang has a promised start that other work does not delay
	Place    Placement
}

// Placement is how a worker is chosen.
type Placement uint8

// Placements.
const (
	FirstRow   Placement = iota // the first worker with room
	TightRow                    // the worker with the least room, after a look at each
	IndexedRow                  // by scores among the tightest workers, found by an index
)

var (
	// FirstFit is the baseline: first in first out over all classes, on the first worker with room.
	FirstFit = Policy{Name: "first-fit"}
	// FairShare is the policy for use: all rules.
	FairShare = Policy{Name: "fair-share", Fair: true, Learn: true, Shed: true, Headroom: true, Preempt: true, Promise: true, Place: IndexedRow}
	// BestFit is the reference for packing: first in first out on the worker with the least room.
	BestFit = Policy{Name: "best-fit", Place: TightRow}
)

var policies = map[string]Policy{FirstFit.Name: FirstFit, FairShare.Name: FairShare, BestFit.Name: BestFit}

// rules are the rules that a name can take out of a policy, for measurements.
var rules = map[string]func(*Policy){
	"fair":     func(p *Policy) { p.Fair = false },
	"learn":    func(p *Policy) { p.Learn = false },
	"shed":     func(p *Policy) { p.Shed = false },
	"headroom": func(p *Policy) { p.Headroom = false },
	"preempt":  func(p *Policy) { p.Preempt = false },
	"promise":  func(p *Policy) { p.Promise = false },
	"index":    func(p *Policy) { p.Place = FirstRow },
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

// PolicyNamed returns the policy with the name. A name such as fair-share~shed~learn leaves rules out. It fails with
// Invalid.
func PolicyNamed(name string) (Policy, error) {
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
