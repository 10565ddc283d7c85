package scheduler

import (
	"time"

	"skylarkstall/internal/domain/objective"
	"skylarkstall/internal/domain/placement"
	"skylarkstall/internal/domain/route"
	"skylarkstall/internal/domain/workflow"
)

// outlook is what decides on the place of a step besides its priority and age.
type outlook struct {
	overdue   bool
	standing  objective.Standing
	rank      placement.Rank
	changesAt time.Time // when one of them changes if nothing happens to the job until then; zero if none does
}

// overdueAfter is how long tasks of a long-running step that has run may wait before it goes first: what it served is away
// meanwhile. A step that has not run yet keeps its place in the queue.
const overdueAfter = 2 * time.Second

// outlook judges a step with tasks to start.
func (e *jobEntry) outlook(ref workflow.StepRef, queue *route.Queue, now time.Time) outlook {
	since := now
	if step := e.steps[ref]; step != nil && !step.wait.since.IsZero() {
		since = step.wait.since
	}
	var o outlook
	if e.workflow.Step(ref).LongRunning {
		overdueAt := since.Add(overdueAfter)
		if e.workflow.HasRun(ref) {
			o.overdue = !now.Before(overdueAt)
			o.changeAt(overdueAt, now)
		}
	} else if e.plan != nil {
		limits := objective.LimitsOf(queue.Objective, e.countsFrom(ref), e.plan.Chain())
		var next time.Time
		o.standing, next = limits.Standing(e.plan.Remaining(ref.Step), now)
		o.changeAt(next, now)
	}
	if o.rank = placement.RankOf(o.standing, e.excess, now.Sub(since)); o.rank.IsBehind() {
		o.changeAt(since.Add(placement.MaxBehind), now)
	}
	return o
}

// changeAt notes a time at which the outlook changes, unless it has passed.
func (o *outlook) changeAt(at, now time.Time) {
	if at.After(now) && (o.changesAt.IsZero() || at.Before(o.changesAt)) {
		o.changesAt = at
	}
}

// countsFrom returns the time from which the objective of a step's job counts.
func (e *jobEntry) countsFrom(ref workflow.StepRef) time.Time {
	if due := e.workflow.Spec().Due(ref.Occurrence); !due.IsZero() {
		return due
	}
	return e.accepted
}

// keepsPosition judges the step anew and reports whether its place in the queue is the same.
func (c *candidate) keepsPosition(now time.Time) bool {
	c.outlook = c.entry.outlook(c.ref, &c.queue, now)
	return c.position.Overdue == c.outlook.overdue && c.position.Rank == c.outlook.rank
}

// mayPreempt reports whether runs of lower priorities may be stopped for the step: that costs others, and gains nothing for a job that is
// late already, or that its account has no share for.
func (c *candidate) mayPreempt() bool {
	return c.outlook.standing == objective.InTime && !c.entry.excess
}

// planJob returns a plan by what is known of the queue now. The lock is held.
func (s *Scheduler) planJob(e *jobEntry, queue route.Queue) *objective.Plan {
	var overhead time.Duration
	if policy := queue.PermitPolicy; policy != nil {
		times := callTimes(policy)
		overhead = times.Duration(times.Size(false).Min)
	}
	return objective.NewPlan(e.workflow.Spec().Steps, s.history(queue.Name).Typical(), overhead)
}

// history returns how long the tasks of a queue take. The lock is held.
func (s *Scheduler) history(queue string) *objective.History {
	if s.histories[queue] == nil {
		s.histories[queue] = &objective.History{}
	}
	return s.histories[queue]
}
