package fleet

import (
	"sort"
	"strings"

	"skylarkstall/internal/fault"
)

// Policy selects the rules by which a fleet decides. Each rule is on or off, so that its effect can be measured alone.
type Policy struct {
	Name string
}

// FirstFit is the baseline: first in first out over all classes, on the first worker with room.
var FirstFit = Policy{Name: "first-fit"}

var policies = map[string]Policy{FirstFit.Name: FirstFit}

// PolicyNames returns the names that PolicyNamed knows, sorted.
func PolicyNames() []string {
	names := make([]string, 0, len(policies))
	for name := range policies {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// PolicyNamed returns the policy with the name. It fails with Invalid.
func PolicyNamed(name string) (Policy, error) {
	p, ok := policies[name]
	if !ok {
		return Policy{}, fault.New(fault.Invalid, "policy %q: want %s", name, strings.Join(PolicyNames(), " or "))
	}
	return p, nil
}
