package fleet

import (
	"container/list"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/resource"
	"skylarkstall/internal/domain/work"
)

// team is what a team holds of this process's workers.
type team struct {
	held   resource.Vector
	weight int
	quota  resource.Vector // zero for none
	share  float64         // dominant share of the process's capacity, divided by the weight
	over   bool            // holds more than its quota: the rest is borrowed
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

// group holds the waiting tasks of one team, kind and size, oldest first. All of them fit where the first fits.
type group struct {
	key   groupKey
	team  *team
	tasks *list.List
	place int // in the list of its class
}

type groupKey struct {
	class work.Class
	team  ident.TeamID
	kind  string
	size  resource.Vector
}

func (g *group) first() *waiting { return g.tasks.Front().Value.(*waiting) }

// fairQueue serves classes in order of urgency and teams by their share. push and remove cost the same at any length; pop
// costs a look at each group, of which there are as many as teams and kinds that wait.
type fairQueue struct {
	groups  map[groupKey]*group
	classes [work.ClassCount][]*group // that are not empty
	counts  [work.ClassCount]int
	ids     map[ident.TaskID]place
}

type place struct {
	group *group
	task  *list.Element
}

func newFairQueue() *fairQueue {
	return &fairQueue{groups: map[groupKey]*group{}, ids: map[ident.TaskID]place{}}
}

func (q *fairQueue) push(w *waiting) {
	key := groupKey{w.spec.Class, w.spec.ID.Work.Team, w.spec.Kind, w.spec.Size}
	g, ok := q.groups[key]
	if !ok {
		g = &group{key: key, team: w.team, tasks: list.New(), place: len(q.classes[key.class])}
		q.groups[key] = g
		q.classes[key.class] = append(q.classes[key.class], g)
	}
	q.ids[w.spec.ID] = place{g, g.tasks.PushBack(w)}
	q.counts[key.class]++
}

func (q *fairQueue) remove(task ident.TaskID) bool {
	at, ok := q.ids[task]
	if !ok {
		return false
	}
	g := at.group
	g.tasks.Remove(at.task)
	delete(q.ids, task)
	q.counts[g.key.class]--
	if g.tasks.Len() == 0 {
		q.discard(g)
	}
	return true
}

// discard removes an empty group; the last of its class takes its place.
func (q *fairQueue) discard(g *group) {
	groups := q.classes[g.key.class]
	last := groups[len(groups)-1]
	groups[g.place], last.place = last, g.place
	q.classes[g.key.class] = groups[:len(groups)-1]
	delete(q.groups, g.key)
}

func (q *fairQueue) has(task ident.TaskID) bool {
	_, ok := q.ids[task]
	return ok
}

func (q *fairQueue) len() int { return len(q.ids) }

// mayOvertake is always true: what waits was tried on every change of a worker and has no room.
func (q *fairQueue) mayOvertake(work.Spec) bool { return true }

func (q *fairQueue) pop(judge func(*waiting) verdict) (*waiting, []*waiting) {
	var late []*waiting
	for class := range q.classes {
		best, expired := q.best(work.Class(class), judge)
		late = append(late, expired...)
		if best != nil {
			w := best.first()
			q.remove(w.spec.ID)
			return w, late
		}
	}
	return nil, late
}

// best returns the group of the class to serve next, and takes out the tasks that are too late.
func (q *fairQueue) best(class work.Class, judge func(*waiting) verdict) (*group, []*waiting) {
	var best *group
	var late []*waiting
	for i := 0; i < len(q.classes[class]); {
		g := q.classes[class][i]
		w := g.first()
		switch judge(w) {
		case tooLate:
			late = append(late, w)
			q.remove(w.spec.ID) // puts another group at i when this one is empty now
			continue
		case fits:
			if best == nil || g.before(best) {
				best = g
			}
		}
		i++
	}
	return best, late
}

// before orders groups by team, then by age; the key decides between equals so that decisions do not depend on the order
// in which groups were emptied.
func (g *group) before(o *group) bool {
	if g.team != o.team && (g.team.before(o.team) || o.team.before(g.team)) {
		return g.team.before(o.team)
	}
	a, b := g.first(), o.first()
	if !a.since.Equal(b.since) {
		return a.since.Before(b.since)
	}
	if g.key.team != o.key.team {
		return g.key.team < o.key.team
	}
	return g.key.kind < o.key.kind
}

// waits returns how long the oldest waiting task of the team's kind and size has waited.
func (q *fairQueue) waits(now time.Time, spec work.Spec) time.Duration {
	g, ok := q.groups[groupKey{spec.Class, spec.ID.Work.Team, spec.Kind, spec.Size}]
	if !ok {
		return 0
	}
	return now.Sub(g.first().since)
}

func (q *fairQueue) load(now time.Time) (counts [work.ClassCount]int, oldest [work.ClassCount]time.Duration) {
	for class, groups := range q.classes {
		for _, g := range groups {
			oldest[class] = max(oldest[class], now.Sub(g.first().since))
		}
	}
	return q.counts, oldest
}
