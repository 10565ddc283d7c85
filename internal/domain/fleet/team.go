package fleet

import "skylarkstall/internal/domain/resource"

// team is what a team holds of this process's workers.
type team struct {
	held   resource.Vector
	weight int
	quota  resource.Vector // zero for none
	share  float64         // dominant share of the process's capacity, divided by the weight
	over   bool            // holds more than its quota: the rest is borrowed
	groups map[*group]bool // that wait
}

// account adds to what the team holds, or takes from it.
func (t *team) account(change, capacity resource.Vector) {
	t.held = t.held.Add(change)
	t.share = t.held.DominantShare(capacity) / float64(max(t.weight, 1))
	t.over = !t.quota.IsZero() && !t.held.Fits(t.quota)
}

// before reports whether the team is to be served before the other: within its quota, then with the smaller share.
func (t *team) before(o *team) bool {
	if t.over != o.over {
		return o.over
	}
	return t.share < o.share
}
