package fleet

import (
	"skylarkstall/internal/domain/resource"
	"skylarkstall/internal/domain/work"
)

// node is a row's place in the tree.
type node struct {
	left, right *row
	priority    uint64
	key         float64         // how much room the row has
	largest     resource.Vector // largest free amount of each resource in the subtree
}

// tree is an index over free capacity: a treap in order of room, the tightest rows first. Each subtree knows the
// largest free amount of each resource in it, so that a search passes over what cannot fit. Its cost grows with the
// logarithm of the number of rows, not with the number.
type tree struct {
	root  *row
	count uint64
	score func(work.Spec) scoring
}

const (
	// candidates is how many rows with room are compared by their scores. With 1 the tightest row is taken.
	candidates = 8
	// maxTries bounds the rows that have room and are not admitted. Above the room that is left for requests nearly all
	// rows are refused, and looking at each would cost as much as there are workers.
	maxTries = 32
)

// add gives the row a pseudo-random priority that depends only on the number of rows added before.
func (t *tree) add(r *row) {
	t.count++
	x := t.count * 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	r.node = node{priority: x ^ x>>31, key: roomKey(r)}
	t.insert(r)
}

func (t *tree) insert(r *row) {
	low, high := split(t.root, r)
	r.left, r.right = nil, nil
	r.measure()
	t.root = merge(merge(low, r), high)
}

func (t *tree) remove(r *row) { t.root = cut(t.root, r) }

func (t *tree) changed(r *row) {
	t.remove(r)
	r.key = roomKey(r)
	t.insert(r)
}

// largest returns the largest free amount of each resource on one row.
func (t *tree) largest() resource.Vector {
	if t.root == nil {
		return resource.Vector{}
	}
	return t.root.largest
}

// below orders rows by room; the id decides between equals.
func (r *row) below(o *row) bool {
	return r.key < o.key || r.key == o.key && r.Worker < o.Worker
}

// measure brings the row's subtree up to date. A row that lacks a resource that all work needs has no room at all.
func (r *row) measure() {
	r.largest = resource.Vector{}
	if r.Free.Slots > 0 && r.Free.MilliCores >= 0 && r.Free.MemoryBytes >= 0 {
		r.largest = r.Free
	}
	for _, child := range [...]*row{r.left, r.right} {
		if child != nil {
			r.largest = r.largest.Max(child.largest)
		}
	}
}

func split(at, r *row) (low, high *row) {
	if at == nil {
		return nil, nil
	}
	if at.below(r) {
		at.right, high = split(at.right, r)
		low = at
	} else {
		low, at.left = split(at.left, r)
		high = at
	}
	at.measure()
	return low, high
}

func merge(low, high *row) *row {
	switch {
	case low == nil:
		return high
	case high == nil:
		return low
	case low.priority > high.priority:
		low.right = merge(low.right, high)
		low.measure()
		return low
	default:
		high.left = merge(low, high.left)
		high.measure()
		return high
	}
}

// cut removes the row, which is found by its key as it was when it was inserted.
func cut(at, r *row) *row {
	switch {
	case at == nil:
		return nil
	case at == r:
		return merge(at.left, at.right)
	case r.below(at):
		at.left = cut(at.left, r)
	default:
		at.right = cut(at.right, r)
	}
	at.measure()
	return at
}

// search is one walk over the tree.
type search struct {
	size   resource.Vector
	admits func(*row) bool
	score  scoring
	best   *row
	points float64
	found  int
	tried  int
}

func (t *tree) choose(spec work.Spec, admits func(*row) bool) *row {
	s := search{size: spec.Size, admits: admits, score: t.score(spec)}
	s.walk(t.root)
	return s.best
}

// walk visits the rows that may fit, the tightest first. It returns false when it has seen enough.
func (s *search) walk(r *row) bool {
	if r == nil || !s.size.Fits(r.largest) {
		return true
	}
	return s.walk(r.left) && s.visit(r) && s.walk(r.right)
}

func (s *search) visit(r *row) bool {
	if !s.size.Fits(r.Free) {
		return true
	}
	if !s.admits(r) {
		s.tried++
		return s.tried < maxTries
	}
	s.found++
	if points := s.score.points(r); s.best == nil || points > s.points {
		s.best, s.points = r, points
	}
	return s.found < s.score.candidates
}
