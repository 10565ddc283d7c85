package scheduler

import (
	"slices"
	"time"

	"skylarkstall/internal/domain/pool"
	"skylarkstall/internal/domain/workflow"
)

// holdTime is how long freed capacity is kept for the waiting task. It exceeds the time that a worker takes to stop a
// run and to report its end.
const holdTime = 2 * time.Second

// preemption is a decision to stop runs on a worker.
type preemption struct {
	monitor *workerMonitor
	plan    pool.Preemption
}

// preempt stops runs of lower priorities so that waiting tasks of a step can start. The lock is held.
func (s *Scheduler) preempt(c candidate, unplaced int, now time.Time) {
	if c.waited < pool.PreemptDelay(c.queue.Priority) || !c.mayPreempt() {
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
	step := c.step
	options := preemptionOptions(c, request)
	for len(list) < count && len(options) > 0 {
		best := cheapestOption(options)
		monitor := options[best].monitor
		plan, _ := monitor.worker.PlanPreemption(request)
		monitor.worker.Preempt(request, plan, request.Now.Add(holdTime))
		step.heldOn = append(step.heldOn, monitor)
		list = append(list, preemption{monitor, plan})
		if cost, ok := monitor.worker.PreemptionCost(request); ok {
			options[best].cost = cost
		} else {
			options = slices.Delete(options, best, best+1)
		}
	}
	if all && len(list) < count {
		for _, p := range list {
			p.monitor.worker.CancelPreemption(request, p.plan)
		}
		return nil
	}
	return list
}

// preemptionOption is a worker that can take a task if runs are stopped.
type preemptionOption struct {
	monitor *workerMonitor
	cost    float64
}

func preemptionOptions(c candidate, request *pool.Request) []preemptionOption {
	var options []preemptionOption
	for _, allowed := range c.workers {
		if cost, ok := allowed.monitor.worker.PreemptionCost(request); ok {
			options = append(options, preemptionOption{allowed.monitor, cost})
		}
	}
	return options
}

// cheapestOption returns the index of the option with the lowest cost, among equals that of the lowest worker id.
func cheapestOption(options []preemptionOption) int {
	best := 0
	for i, o := range options {
		lowest := options[best]
		if o.cost < lowest.cost || o.cost == lowest.cost && o.monitor.worker.ID() < lowest.monitor.worker.ID() {
			best = i
		}
	}
	return best
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

// dropHolds ends the holds of a step of which no task waits any more. The scheduler's lock is held.
func (c *candidate) dropHolds() {
	step := c.step
	for _, m := range step.heldOn {
		m.worker.DropHolds(c.ref)
	}
	step.heldOn = nil
}
