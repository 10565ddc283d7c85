package placement

import (
	"cmp"
	"slices"
	"time"

	"skylarkstall/internal/domain/workflow"
)

// Position is the place of a step with tasks to start: overdue ones first, then by the priority of the queue, by rank and by the age of
// the job.
type Position struct {
	Ref      workflow.StepRef
	Overdue  bool
	Rank     Rank
	Priority int // 0 is the highest
	Accepted time.Time
}

// Compare orders positions.
func (p *Position) Compare(other *Position) int {
	if p.Overdue != other.Overdue {
		if p.Overdue {
			return -1
		}
		return 1
	}
	if order := cmp.Compare(p.Priority, other.Priority); order != 0 {
		return order
	}
	if p.Rank != other.Rank {
		return cmp.Compare(p.Rank, other.Rank)
	}
	if order := p.Accepted.Compare(other.Accepted); order != 0 {
		return order
	}
	return cmp.Or(
		cmp.Compare(p.Ref.Job, other.Ref.Job), cmp.Compare(p.Ref.Occurrence, other.Ref.Occurrence),
		cmp.Compare(p.Ref.Step, other.Ref.Step))
}

// Step is a step in a Queue.
type Step interface {
	Position() *Position // must not change while the step is in the queue
}

// Queue holds the steps with tasks to start in the order of their positions, each once. It is kept up to date by changes, so that a pass
// of placement does not have to collect and sort all of them. It is not safe for concurrent use.
type Queue[S Step] struct {
	steps []S
}

// Steps returns the steps in order. The list is valid until the next change, and must not be changed.
func (q *Queue[S]) Steps() []S { return q.steps }

// Len returns the number of steps.
func (q *Queue[S]) Len() int { return len(q.steps) }

// Add adds a step, in place of one with the same position.
func (q *Queue[S]) Add(step S) {
	i, found := q.find(step.Position())
	if found {
		q.steps[i] = step
		return
	}
	q.steps = slices.Insert(q.steps, i, step)
}

// Remove removes the step at a position, if there is one.
func (q *Queue[S]) Remove(position *Position) {
	if i, found := q.find(position); found {
		q.steps = slices.Delete(q.steps, i, i+1)
	}
}

// Reset replaces all steps. It takes over the list.
func (q *Queue[S]) Reset(steps []S) {
	slices.SortFunc(steps, func(a, b S) int { return a.Position().Compare(b.Position()) })
	q.steps = steps
}

func (q *Queue[S]) find(position *Position) (int, bool) {
	return slices.BinarySearchFunc(q.steps, position, func(s S, p *Position) int { return s.Position().Compare(p) })
}
