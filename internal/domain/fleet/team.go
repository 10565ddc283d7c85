package fleet

import "skylarkstall/internal/domain/resource"

// team is the usage of a team on the workers of this process, with its queued groups.
type team struct {
	used      resource.Vector
	weight    int
	quota     resource.Vector // zero for none
	share     float64         // dominant share of the process's capacity, divided by the weight
	overQuota bool            // uses more than its quota; the excess is borrowed
	groups    map[*group]bool // queued groups
}

// addUsage adds the change, which may be negative, to the team's usage.
func (t *team) addUsage(change, capacity resource.Vector) {
	t.used = t.used.Add(change)
	t.share = t.used.DominantShare(capacity) / float64(max(t.weight, 1))
	t.overQuota = !t.quota.IsZero() && !t.used.Fits(t.quota)
}

// before reports whether the team is to be served before the other one: teams within their quota first, then those with
// the smaller share.
func (t *team) before(o *team) bool {
	if t.overQuota != o.overQuota {
		return o.overQuota
	}
	return t.share < o.share
}
