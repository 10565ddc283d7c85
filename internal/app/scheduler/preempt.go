package scheduler

import (
	"time"

	"skylarkstall/internal/domain/pool"
	"skylarkstall/internal/domain/workflow"
)

// Parameters of preemption.
const (
	// A task of the highest priority waits this long for a run to end by itself before it preempts one.
	urgentPreemptDelay = 100 * time.Millisecond
	// Other tasks have more time, and every preemption delays another task.
	preemptDelay = 500 * time.Millisecond
	// holdTime is how long freed capacity is kept for the waiting task. It exceeds the time that a worker takes to stop a
	// run and to report its end.
	holdTime = 2 * time.Second
)

// preemption is a decision to stop runs on a worker.
type preemption struct {
	monitor *workerMonitor
	plan    pool.Preemption
}

// preempt stops runs of lower priorities so that waiting tasks of a step can start. The lock is held.
func (s *Scheduler) preempt(c candidate, unplaced int, now time.Time) {
	delay := preemptDelay
	if c.queue.HasTopPriority() {
		delay = urgentPreemptDelay
	}
	if c.waited < delay {
		return
	}
	request := c.request(now)
	held := 0
	for w := range c.allowed() {
		held += w.HoldCount(&request)
	}
	isGang := request.Step.Gang
	if isGang && held > 0 {
		return // waits for the runs that are being stopped
	}
	preemptions := planPreemptions(c, &request, unplaced-held, isGang)
	for _, p := range preemptions {
		s.stopPreempted(c, p)
	}
}

// planPreemptions prepares the workers for up to count tasks; if all is set, for all of them or none.
func planPreemptions(c candidate, request *pool.Request, count int, all bool) []preemption {
	var list []preemption
	for range count {
		best, ok := cheapestPreemption(c, request)
		if !ok {
			break
		}
		best.monitor.worker.Preempt(request, best.plan, request.Now.Add(holdTime))
		list = append(list, best)
	}
	if all && len(list) < count {
		for _, p := range list {
			p.monitor.worker.CancelPreemption(request, p.plan)
		}
		return nil
	}
	return list
}

func cheapestPreemption(c candidate, request *pool.Request) (preemption, bool) {
	var best preemption
	for _, allowed := range c.workers {
		plan, ok := allowed.monitor.worker.PlanPreemption(request)
		if !ok {
			continue
		}
		id := allowed.monitor.worker.Info().ID
		if best.monitor == nil || plan.Cost < best.plan.Cost ||
			plan.Cost == best.plan.Cost && id < best.monitor.worker.Info().ID {
			best = preemption{allowed.monitor, plan}
		}
	}
	return best, best.monitor != nil
}

// stopPreempted stops the runs of a preemption; each task resumes from its checkpoint later. The lock is held.
func (s *Scheduler) stopPreempted(c candidate, p preemption) {
	worker := p.monitor.worker.Info().ID
	var runs []workflow.Placement
	for _, ref := range p.plan.Runs {
		s.log.Info("run preempted", "task", ref.Task.String(), "run", ref.Run, "worker", worker, "for", c.ref.String(),
			"priority", c.queue.Priority, "waited_ms", c.waited.Milliseconds())
		runs = append(runs, workflow.Placement{RunRef: ref, Worker: worker})
	}
	s.stopRuns(runs)
}

// dropHolds ends the holds of a step of which no task waits any more. The lock is held.
func (s *Scheduler) dropHolds(ref workflow.StepRef) {
	for _, m := range s.monitors {
		m.worker.DropHolds(ref)
	}
}
