package fleet

import (
	"container/heap"
	"container/list"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/resource"
	"skylarkstall/internal/domain/work"
)

// group holds the waiting tasks of one team, kind and size, oldest first. All of them fit where the first fits.
type group struct {
	key   groupKey
	team  *team
	shape *shape
	tasks *list.List
	place int // in the heap of its shape
}

type groupKey struct {
	class work.Class
	team  ident.TeamID
	kind  string
	size  resource.Vector
}

func (g *group) first() *waiting { return g.tasks.Front().Value.(*waiting) }

// before orders groups by team, then by age; the key decides between equals so that decisions do not depend on the
// order in which groups were emptied.
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

// shape is a size that tasks of a class have, with the groups of that size, the next to be served first.
type shape struct {
	key    shapeKey
	groups groupHeap
	place  int // in the list of its class
}

type shapeKey struct {
	class work.Class
	size  resource.Vector
}

// groupHeap implements heap.Interface.
type groupHeap []*group

func (h groupHeap) Len() int           { return len(h) }
func (h groupHeap) Less(i, j int) bool { return h[i].before(h[j]) }

func (h groupHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].place, h[j].place = i, j
}

// Push implements heap.Interface.
func (h *groupHeap) Push(x any) {
	g := x.(*group)
	g.place = len(*h)
	*h = append(*h, g)
}

// Pop implements heap.Interface.
func (h *groupHeap) Pop() any {
	last := len(*h) - 1
	g := (*h)[last]
	*h = (*h)[:last]
	return g
}

// fairQueue serves classes in order of urgency and teams by their share. The cost of an operation grows with the number
// of distinct sizes that wait, and with the logarithm of the number of teams and of tasks.
type fairQueue struct {
	groups  map[groupKey]*group
	shapes  map[shapeKey]*shape
	classes [work.ClassCount][]*shape // that are not empty
	arrived [work.ClassCount]*list.List
	ids     map[ident.TaskID]*waiting
	expiry  expiryHeap
}

func newFairQueue() *fairQueue {
	q := &fairQueue{
		groups: map[groupKey]*group{}, shapes: map[shapeKey]*shape{}, ids: map[ident.TaskID]*waiting{},
	}
	for i := range q.arrived {
		q.arrived[i] = list.New()
	}
	return q
}

func (q *fairQueue) push(w *waiting) {
	key := groupKey{w.spec.Class, w.spec.ID.Work.Team, w.spec.Kind, w.spec.Size}
	g, ok := q.groups[key]
	if !ok {
		g = &group{key: key, team: w.team, tasks: list.New(), shape: q.shape(shapeKey{key.class, key.size})}
		q.groups[key] = g
		w.team.groups[g] = true
	}
	w.group, w.inGroup = g, g.tasks.PushBack(w)
	w.inClass = q.arrived[key.class].PushBack(w)
	q.ids[w.spec.ID] = w
	if !ok {
		heap.Push(&g.shape.groups, g)
	}
	if !w.latest.IsZero() {
		heap.Push(&q.expiry, w)
	}
}

func (q *fairQueue) shape(key shapeKey) *shape {
	s, ok := q.shapes[key]
	if !ok {
		s = &shape{key: key, place: len(q.classes[key.class])}
		q.shapes[key] = s
		q.classes[key.class] = append(q.classes[key.class], s)
	}
	return s
}

func (q *fairQueue) remove(task ident.TaskID) bool {
	w, ok := q.ids[task]
	if !ok {
		return false
	}
	delete(q.ids, task)
	if !w.latest.IsZero() {
		heap.Remove(&q.expiry, w.inExpiry)
	}
	q.arrived[w.spec.Class].Remove(w.inClass)
	g := w.group
	if g.tasks.Len() == 1 {
		q.discard(g) // while the heap can still compare its first task
		return true
	}
	first := g.tasks.Front() == w.inGroup
	g.tasks.Remove(w.inGroup)
	if first {
		heap.Fix(&g.shape.groups, g.place)
	}
	return true
}

// discard removes a group, and its shape when it was the last of it; the last shape of the class takes that one's
// place.
func (q *fairQueue) discard(g *group) {
	s := g.shape
	heap.Remove(&s.groups, g.place)
	delete(q.groups, g.key)
	delete(g.team.groups, g)
	if len(s.groups) > 0 {
		return
	}
	shapes := q.classes[s.key.class]
	last := shapes[len(shapes)-1]
	shapes[s.place], last.place = last, s.place
	q.classes[s.key.class] = shapes[:len(shapes)-1]
	delete(q.shapes, s.key)
}

func (q *fairQueue) has(task ident.TaskID) bool {
	_, ok := q.ids[task]
	return ok
}

func (q *fairQueue) len() int { return len(q.ids) }

// mayOvertake is always true: what waits was tried on every change of a worker and has no room.
func (q *fairQueue) mayOvertake(work.Spec) bool { return true }

// reorder puts the groups of a team in their place after its share has changed.
func (q *fairQueue) reorder(t *team) {
	for g := range t.groups {
		heap.Fix(&g.shape.groups, g.place)
	}
}

func (q *fairQueue) pop(judge func(*waiting) verdict) *waiting {
	for class := range q.classes {
		var best *group
		for _, s := range q.classes[class] {
			if g := s.next(judge); g != nil && (best == nil || g.before(best)) {
				best = g
			}
		}
		if best != nil {
			w := best.first()
			q.remove(w.spec.ID)
			return w
		}
	}
	return nil
}

// next returns the first group that may be served. Only where the answer depends on the kind it looks beyond the first.
func (s *shape) next(judge func(*waiting) verdict) *group {
	switch judge(s.groups[0].first()) {
	case fits:
		return s.groups[0]
	case noRoom:
		return nil
	}
	var best *group
	for _, g := range s.groups[1:] {
		if judge(g.first()) == fits && (best == nil || g.before(best)) {
			best = g
		}
	}
	return best
}

// expired removes a task whose latest start has passed, and returns nil when there is none.
func (q *fairQueue) expired(now time.Time) *waiting {
	if len(q.expiry) == 0 || !now.After(q.expiry[0].latest) {
		return nil
	}
	w := q.expiry[0]
	q.remove(w.spec.ID)
	return w
}

func (q *fairQueue) waits(now time.Time, spec work.Spec) time.Duration {
	g, ok := q.groups[groupKey{spec.Class, spec.ID.Work.Team, spec.Kind, spec.Size}]
	if !ok {
		return 0
	}
	return now.Sub(g.first().since)
}

func (q *fairQueue) load(now time.Time) (counts [work.ClassCount]int, oldest [work.ClassCount]time.Duration) {
	for class, tasks := range q.arrived {
		counts[class] = tasks.Len()
		if first := tasks.Front(); first != nil {
			oldest[class] = now.Sub(first.Value.(*waiting).since)
		}
	}
	return counts, oldest
}
