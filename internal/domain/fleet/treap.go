package fleet

import (
	"skylarkstall/internal/domain/resource"
	"skylarkstall/internal/domain/work"
)

// treapNode holds a worker's links and keys in the treap.
type treapNode struct {
	left, right *workerRecord
	priority    uint64
	freeShare   float64         // total free share of the worker; the sort key
	largestFree resource.Vector // per resource, the largest free amount on one worker of the subtree
}

// treap is an index of the workers by free capacity, lowest first. Each node knows the largest free amount of each
// resource in its subtree, so that a search skips subtrees in which the task cannot fit. The cost of an operation grows
// with the logarithm of the number of workers.
type treap struct {
	root       *workerRecord
	added      uint64
	scoringFor func(work.Spec) scoringRule
}

const (
	// candidates is how many workers on which a task fits are compared by their scores. With 1 the worker with the
	// least free capacity would be chosen.
	candidates = 8
	// maxRejected limits how many workers on which the task fits may be rejected in one search. When only the headroom
	// for requests is left, nearly all workers are rejected for other tasks, and checking each of them would make the
	// cost linear in the number of workers.
	maxRejected = 32
)

// add inserts the worker with a pseudo-random priority that depends only on the number of workers added before, so that
// equal inputs give equal decisions.
func (t *treap) add(r *workerRecord) {
	t.added++
	x := t.added * 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	r.treapNode = treapNode{priority: x ^ x>>31, freeShare: totalFreeShare(r)}
	t.insert(r)
}

func (t *treap) insert(r *workerRecord) {
	low, high := split(t.root, r)
	r.left, r.right = nil, nil
	r.updateLargestFree()
	t.root = merge(merge(low, r), high)
}

func (t *treap) remove(r *workerRecord) { t.root = removeFrom(t.root, r) }

func (t *treap) update(r *workerRecord) {
	t.remove(r)
	r.freeShare = totalFreeShare(r)
	t.insert(r)
}

// largestFree returns, for each resource, the largest free amount on any one worker.
func (t *treap) largestFree() resource.Vector {
	if t.root == nil {
		return resource.Vector{}
	}
	return t.root.largestFree
}

// less orders workers by free share, then by id.
func (r *workerRecord) less(o *workerRecord) bool {
	return r.freeShare < o.freeShare || r.freeShare == o.freeShare && r.Worker < o.Worker
}

// updateLargestFree recomputes the largest free amounts of the worker's subtree. A worker without a free slot, or with
// a negative amount of free cores or memory, counts as having nothing free, because every task needs these resources.
func (r *workerRecord) updateLargestFree() {
	r.largestFree = resource.Vector{}
	if r.Free.Slots > 0 && r.Free.MilliCores >= 0 && r.Free.MemoryBytes >= 0 {
		r.largestFree = r.Free
	}
	for _, child := range [...]*workerRecord{r.left, r.right} {
		if child != nil {
			r.largestFree = r.largestFree.Max(child.largestFree)
		}
	}
}

func split(at, r *workerRecord) (low, high *workerRecord) {
	if at == nil {
		return nil, nil
	}
	if at.less(r) {
		at.right, high = split(at.right, r)
		low = at
	} else {
		low, at.left = split(at.left, r)
		high = at
	}
	at.updateLargestFree()
	return low, high
}

func merge(low, high *workerRecord) *workerRecord {
	switch {
	case low == nil:
		return high
	case high == nil:
		return low
	case low.priority > high.priority:
		low.right = merge(low.right, high)
		low.updateLargestFree()
		return low
	default:
		high.left = merge(low, high.left)
		high.updateLargestFree()
		return high
	}
}

// removeFrom removes the worker from the subtree. It finds it by its key, so the free share must not have changed since
// the insertion.
func removeFrom(at, r *workerRecord) *workerRecord {
	switch {
	case at == nil:
		return nil
	case at == r:
		return merge(at.left, at.right)
	case r.less(at):
		at.left = removeFrom(at.left, r)
	default:
		at.right = removeFrom(at.right, r)
	}
	at.updateLargestFree()
	return at
}

// search is the state of one search over the treap.
type search struct {
	size      resource.Vector
	admits    func(*workerRecord) bool
	scoring   scoringRule
	best      *workerRecord
	bestScore float64
	admitted  int
	rejected  int
}

func (t *treap) choose(spec work.Spec, admits func(*workerRecord) bool) *workerRecord {
	s := search{size: spec.Size, admits: admits, scoring: t.scoringFor(spec)}
	s.walk(t.root)
	return s.best
}

// walk visits the workers that may fit, those with the least free capacity first. It returns false when the search is
// over.
func (s *search) walk(r *workerRecord) bool {
	if r == nil || !s.size.Fits(r.largestFree) {
		return true
	}
	return s.walk(r.left) && s.visit(r) && s.walk(r.right)
}

func (s *search) visit(r *workerRecord) bool {
	if !s.size.Fits(r.Free) {
		return true
	}
	if !s.admits(r) {
		s.rejected++
		return s.rejected < maxRejected
	}
	s.admitted++
	if score := s.scoring.score(r); s.best == nil || score > s.bestScore {
		s.best, s.bestScore = r, score
	}
	return s.admitted < s.scoring.candidates
}
