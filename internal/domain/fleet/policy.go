package fleet

import (
	"sort"
	"strings"

	"skylarkstall/internal/fault"
)

// Policy selects the scheduling rules of a fleet. Each rule can be turned off separately, to measure its effect.
type Policy struct {
	Name     string
	Fair     bool // order by class urgency, then weighted fair sharing between teams
	Learn    bool // estimate run times from outcomes instead of using the declared ones
	Shed     bool // refuse tasks early that would wait too long or miss their deadline
	Headroom bool // keep capacity free for the expected demand of requests
	Preempt  bool // preempt long tasks for queued requests, and stragglers for other tasks
	Promise  bool // queue gangs and plan the start of the first one; other tasks must not delay it
	Place    Placement
}

// Placement selects how a worker is chosen.
type Placement uint8

// Placements.
const (
	FirstRow   Placement = iota // the first worker on which the task fits, by a linear scan
	TightRow                    // the fitting worker with the least free capacity, by a linear scan
	IndexedRow                  // by score, among the fitting workers with the least free capacity, by an index
)

var (
	// FirstFit is the baseline: first in, first out over all classes, on the first worker on which the task fits.
	FirstFit = Policy{Name: "first-fit"}
	// FairShare is the production policy, with all rules.
	FairShare = Policy{
		Name: "fair-share", Fair: true, Learn: true, Shed: true, Headroom: true, Preempt: true, Promise: true,
		Place: IndexedRow,
	}
	// BestFit is the reference for bin packing: first in, first out, on the worker with the least free capacity.
	BestFit = Policy{Name: "best-fit", Place: TightRow}
)

var policies = map[string]Policy{FirstFit.Name: FirstFit, FairShare.Name: FairShare, BestFit.Name: BestFit}

// ruleDisablers maps the rule names in a policy name to functions that turn the rule off, for measurements.
var ruleDisablers = map[string]func(*Policy){
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

// PolicyNamed returns the policy with the given name. Rules are turned off by appending their names, as in
// fair-share~shed~learn. It fails with Invalid for unknown names.
func PolicyNamed(name string) (Policy, error) {
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
