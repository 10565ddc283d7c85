package fleet

import (
	"container/heap"
	"container/list"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/resource"
	"skylarkstall/internal/domain/work"
)

// group holds the queued tasks of one team, kind and size, oldest first. A worker on which the first fits has capacity
// for any of them.
type group struct {
	key       groupKey
	team      *team
	bucket    *sizeBucket
	tasks     *list.List
	heapIndex int // index in the heap of its bucket
}

type groupKey struct {
	class work.Class
	team  ident.TeamID
	kind  string
	size  resource.Vector
}

func (g *group) first() *queuedTask { return g.tasks.Front().Value.(*queuedTask) }

// before orders groups by team, then by age, then by key, so that decisions do not depend on the order in which groups
// were emptied.
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

// sizeBucket holds the groups of one class and size in a heap, the next to be served first.
type sizeBucket struct {
	key        sizeBucketKey
	groups     groupHeap
	classIndex int // index in the list of its class
}

type sizeBucketKey struct {
	class work.Class
	size  resource.Vector
}

// groupHeap implements heap.Interface.
type groupHeap []*group

func (h groupHeap) Len() int           { return len(h) }
func (h groupHeap) Less(i, j int) bool { return h[i].before(h[j]) }

func (h groupHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *groupHeap) Push(x any) {
	g := x.(*group)
	g.heapIndex = len(*h)
	*h = append(*h, g)
}

// Pop implements heap.Interface.
func (h *groupHeap) Pop() any {
	last := len(*h) - 1
	g := (*h)[last]
	*h = (*h)[:last]
	return g
}

// fairQueue serves classes in order of urgency, and teams within a class by their weighted share. The cost of an
// operation grows with the number of distinct sizes in the queue, and with the logarithm of the number of teams and of
// tasks.
type fairQueue struct {
	groups    map[groupKey]*group
	buckets   map[sizeBucketKey]*sizeBucket
	classes   [work.ClassCount][]*sizeBucket // non-empty buckets
	byArrival [work.ClassCount]*list.List
	ids       map[ident.TaskID]*queuedTask
	expiry    expiryHeap
}

func newFairQueue() *fairQueue {
	q := &fairQueue{
		groups: map[groupKey]*group{}, buckets: map[sizeBucketKey]*sizeBucket{}, ids: map[ident.TaskID]*queuedTask{},
	}
	for i := range q.byArrival {
		q.byArrival[i] = list.New()
	}
	return q
}

func (q *fairQueue) push(w *queuedTask) {
	key := groupKey{w.spec.Class, w.spec.ID.Work.Team, w.spec.Kind, w.spec.Size}
	g, ok := q.groups[key]
	if !ok {
		g = &group{key: key, team: w.team, tasks: list.New(), bucket: q.bucket(sizeBucketKey{key.class, key.size})}
		q.groups[key] = g
		w.team.groups[g] = true
	}
	w.group, w.groupElement = g, g.tasks.PushBack(w)
	w.classElement = q.byArrival[key.class].PushBack(w)
	q.ids[w.spec.ID] = w
	if !ok {
		heap.Push(&g.bucket.groups, g)
	}
	if !w.latestStart.IsZero() {
		heap.Push(&q.expiry, w)
	}
}

func (q *fairQueue) bucket(key sizeBucketKey) *sizeBucket {
	s, ok := q.buckets[key]
	if !ok {
		s = &sizeBucket{key: key, classIndex: len(q.classes[key.class])}
		q.buckets[key] = s
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
	if !w.latestStart.IsZero() {
		heap.Remove(&q.expiry, w.expiryIndex)
	}
	q.byArrival[w.spec.Class].Remove(w.classElement)
	g := w.group
	if g.tasks.Len() == 1 {
		q.removeGroup(g) // with its last task, by which the heap compares it
		return true
	}
	first := g.tasks.Front() == w.groupElement
	g.tasks.Remove(w.groupElement)
	if first {
		heap.Fix(&g.bucket.groups, g.heapIndex)
	}
	return true
}

// removeGroup removes a group whose last task is being removed, and its bucket when no other group is left in it. The
// last bucket of the class moves to the index of the removed one.
func (q *fairQueue) removeGroup(g *group) {
	s := g.bucket
	heap.Remove(&s.groups, g.heapIndex)
	delete(q.groups, g.key)
	delete(g.team.groups, g)
	if len(s.groups) > 0 {
		return
	}
	buckets := q.classes[s.key.class]
	last := buckets[len(buckets)-1]
	buckets[s.classIndex], last.classIndex = last, s.classIndex
	q.classes[s.key.class] = buckets[:len(buckets)-1]
	delete(q.buckets, s.key)
}

func (q *fairQueue) has(task ident.TaskID) bool {
	_, ok := q.ids[task]
	return ok
}

func (q *fairQueue) len() int { return len(q.ids) }

// mayOvertake is always true: whenever a worker changes, all queued tasks are tried, so those still queued do not fit.
func (q *fairQueue) mayOvertake(work.Spec) bool { return true }

// reorder restores the heap order of a team's groups after its share has changed.
func (q *fairQueue) reorder(t *team) {
	for g := range t.groups {
		heap.Fix(&g.bucket.groups, g.heapIndex)
	}
}

func (q *fairQueue) pop(evaluate func(*queuedTask) admission) *queuedTask {
	for class := range q.classes {
		var best *group
		for _, s := range q.classes[class] {
			if g := s.next(evaluate); g != nil && (best == nil || g.before(best)) {
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

// next returns the first group of which a task may start, or nil. It checks further groups only when the answer depends
// on the kind of task.
func (s *sizeBucket) next(evaluate func(*queuedTask) admission) *group {
	switch evaluate(s.groups[0].first()) {
	case fits:
		return s.groups[0]
	case noCapacity:
		return nil
	}
	var best *group
	for _, g := range s.groups[1:] {
		if evaluate(g.first()) == fits && (best == nil || g.before(best)) {
			best = g
		}
	}
	return best
}

// expired removes and returns a task whose latest start has passed, or returns nil.
func (q *fairQueue) expired(now time.Time) *queuedTask {
	if len(q.expiry) == 0 || !now.After(q.expiry[0].latestStart) {
		return nil
	}
	w := q.expiry[0]
	q.remove(w.spec.ID)
	return w
}

func (q *fairQueue) oldestWait(now time.Time, spec work.Spec) time.Duration {
	g, ok := q.groups[groupKey{spec.Class, spec.ID.Work.Team, spec.Kind, spec.Size}]
	if !ok {
		return 0
	}
	return now.Sub(g.first().since)
}

func (q *fairQueue) load(now time.Time) (counts [work.ClassCount]int, oldest [work.ClassCount]time.Duration) {
	for class, tasks := range q.byArrival {
		counts[class] = tasks.Len()
		if first := tasks.Front(); first != nil {
			oldest[class] = now.Sub(first.Value.(*queuedTask).since)
		}
	}
	return counts, oldest
}
