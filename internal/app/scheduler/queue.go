package scheduler

import (
	"time"

	"skylarkstall/internal/domain/placement"
	"skylarkstall/internal/domain/route"
	"skylarkstall/internal/domain/workflow"
)

// waitQueue is the queue of the steps with tasks to start, and what a pass of placement needs to know to leave it alone.
type waitQueue struct {
	steps   placement.Queue[*candidate]
	changed []*jobEntry                   // jobs of which the steps may have changed
	due     placement.Schedule[*jobEntry] // jobs of which the steps change with time
	config  uint64                        // version of the configuration that the steps are queued by
	isKept  bool                          // the steps change only as noted in changed and due
	round   uint64                        // incremented for each job that is queued again
	settled bool                          // the last pass reached all steps, and none was noted to have changed since
	nextTry time.Time                     // when the first of them is due, once the queue is settled
	// seenReleases is the pass up to which released capacity was compared with all steps, once the queue is settled.
	seenReleases uint64
}

// bulkChange is the number of changed jobs from which on it may be cheaper to collect all steps than to queue these jobs one by one.
const bulkChange = 64

// needsRebuild reports whether to collect all steps instead of queueing the changed jobs.
func (q *waitQueue) needsRebuild(config uint64) bool {
	return !q.isKept || config != q.config || len(q.changed) >= max(bulkChange, q.steps.Len()/8)
}

// jobChanged notes that the steps of a job may have changed. The lock is held.
func (s *Scheduler) jobChanged(e *jobEntry) {
	s.queue.settled = false
	if !e.isChanged {
		e.isChanged = true
		s.queue.changed = append(s.queue.changed, e)
	}
}

// retryStep lets the next pass try a step on all workers. The lock is held.
func (s *Scheduler) retryStep(e *jobEntry, ref workflow.StepRef) {
	e.step(ref).waiting.Retry()
	s.queue.settled = false
}

// candidates returns the steps with tasks to start in the order in which they are tried. The list must not be changed. The lock is held.
func (s *Scheduler) candidates(now time.Time) []*candidate {
	q := &s.queue
	for e, ok := q.due.TakeDue(now); ok; e, ok = q.due.TakeDue(now) {
		if e.isScheduled && !e.nextChange.After(now) { // otherwise the change was put off
			s.jobChanged(e)
		}
	}
	config := s.table.Config()
	s.refreshLimits(config.Version, config.Accounts, now)
	if q.needsRebuild(config.Version) {
		s.rebuildQueue(now)
		q.config = config.Version
	} else {
		for _, e := range q.changed {
			s.requeueSteps(e, now)
		}
	}
	for _, e := range q.changed {
		e.isChanged = false
	}
	clear(q.changed)
	q.changed = q.changed[:0]
	return q.steps.Steps()
}

// rebuildQueue collects the steps of all open jobs. While runs of earlier leaders are unknown, steps are held back or released without
// a change of their jobs, so that the queue is not kept. The lock is held.
func (s *Scheduler) rebuildQueue(now time.Time) {
	q := &s.queue
	q.isKept, q.settled, q.due = s.accounted, false, placement.Schedule[*jobEntry]{}
	s.limits.dropAside()
	list := make([]*candidate, 0, q.steps.Len())
	prefetch := s.prefetchDue(now)
	for _, e := range s.openJobs {
		e.leaveQueue()
		held := s.mayRunOnUnsynced(e)
		if held && !prefetch {
			continue
		}
		queue := s.queueOf(e)
		for _, ref := range e.workflow.Ready(now) {
			c := s.newCandidate(e, ref, queue, now)
			c.held = held
			e.enterQueue(c)
			if s.underLimit(c) == 0 {
				s.limits.add(c, now)
				continue
			}
			list = append(list, c)
		}
		s.scheduleChange(e, now)
	}
	q.steps.Reset(list)
}

// requeueSteps queues the steps of a job again. The lock is held.
func (s *Scheduler) requeueSteps(e *jobEntry, now time.Time) {
	q := &s.queue
	q.round++
	var added []*candidate
	for _, ref := range e.workflow.Ready(now) {
		step := e.step(ref)
		step.wait.observe(now)
		if c := step.queued; c != nil && c.keepsPosition(now) {
			c.round = q.round
			continue
		}
		c := s.newCandidate(e, ref, s.queueOf(e), now)
		c.round = q.round
		added = append(added, c)
	}
	kept := e.queued[:0]
	for _, c := range e.queued {
		if c.round == q.round {
			kept = append(kept, c)
			continue
		}
		s.dequeue(c)
		c.step.queued = nil
	}
	clear(e.queued[len(kept):])
	e.queued = kept
	for _, c := range added {
		s.enqueue(c, now)
		e.enterQueue(c)
	}
	s.scheduleChange(e, now)
}

// scheduleChange notes when the steps of a job change without an event. The lock is held.
func (s *Scheduler) scheduleChange(e *jobEntry, now time.Time) {
	next, ok := e.workflow.NextDue(now)
	for _, c := range e.queued {
		if at := c.outlook.changesAt; !at.IsZero() && (!ok || at.Before(next)) {
			next, ok = at, true
		}
	}
	if ok && (!e.isScheduled || !next.Equal(e.nextChange)) {
		s.queue.due.Add(next, e)
	}
	e.nextChange, e.isScheduled = next, ok
}

// newCandidate returns a step with tasks to start. The lock is held.
func (s *Scheduler) newCandidate(e *jobEntry, ref workflow.StepRef, queue route.Queue, now time.Time) *candidate {
	step := e.step(ref)
	step.wait.observe(now)
	if e.plan == nil && queue.Objective.IsSet() {
		e.plan = s.planJob(e, queue)
	}
	outlook := e.outlook(ref, &queue, now)
	return &candidate{
		entry: e, ref: ref, queue: queue, step: step, outlook: outlook,
		position: placement.Position{
			Ref: ref, Overdue: outlook.overdue, Priority: queue.Priority, Rank: outlook.rank, Accepted: e.accepted,
		},
	}
}

func (e *jobEntry) enterQueue(c *candidate) {
	c.step.queued = c
	e.queued = append(e.queued, c)
}

func (e *jobEntry) leaveQueue() {
	for _, c := range e.queued {
		c.step.queued, c.step.aside = nil, nil
	}
	clear(e.queued)
	e.queued, e.isScheduled = e.queued[:0], false
}
