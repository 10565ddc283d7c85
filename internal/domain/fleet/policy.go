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
}

var (
	// FirstFit is the baseline: first in first out over all classes, on the first worker with room.
	FirstFit = Policy{Name: "first-fit"}
	// FairShare is the policy for use: all rules.
	FairShare = Policy{Name: "fair-share", Fair: true, Learn: true, Shed: true, Headroom: true, Preempt: true}
)

var policies = map[string]Policy{FirstFit.Name: FirstFit, FairShare.Name: FairShare}

// rules are the rules that a name can take out of a policy, for measurements.
var rules = map[string]func(*Policy) *bool{
	"fair":     func(p *Policy) *bool { return &p.Fair },
	"learn":    func(p *Policy) *bool { return &p.Learn },
	"shed":     func(p *Policy) *bool { return &p.Shed },
	"headroom": func(p *Policy) *bool { return &p.Headroom },
	"preempt":  func(p *Policy) *bool { return &p.Preempt },
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
		field, ok := rules[rule]
		if !ok {
			return Policy{}, fault.New(fault.Invalid, "policy %q: the rule %q is unknown", name, rule)
		}
		*field(&p) = false
	}
	return p, nil
}
