// Package objective predicts when a job ends, and judges by that whether it can still be of use to its caller.
package objective

import (
	"slices"
	"time"

	"skylarkstall/internal/domain/workflow"
)

// Plan predicts how long the steps of a job take when nothing has to wait for room. Durations that
// callers state are rough, so they are corrected by what tasks of the queue took, and by those of the job itself once some are done.
// It is not safe for concurrent use.
type Plan struct {
	steps     []workflow.Step
	durations []time.Duration // of a task of each step
	chains    []time.Duration // longest chain of work from the start of each step
	tails     []time.Duration // the same with what it takes to start the steps
	overhead  time.Duration   // before the tasks of a step can start: a call to the permit service
}

// estimateRange bounds how far the duration that a caller states may be from what tasks of its queue took. Statements are off by up to 90%,
// so beyond this one is more likely wrong than its tasks are unusual.
const estimateRange = 2

// NewPlan returns the plan of a job, which has at least one step. The typical duration is that of the tasks of its queue, 0 if it is not known; the overhead is what
// the start of a step takes with idle workers.
func NewPlan(steps []workflow.Step, typical, overhead time.Duration) *Plan {
	p := &Plan{
		steps: steps, overhead: overhead, durations: make([]time.Duration, len(steps)),
		chains: make([]time.Duration, len(steps)), tails: make([]time.Duration, len(steps)),
	}
	for i := range steps {
		p.durations[i] = ExpectedDuration(steps[i].Estimate, typical)
	}
	p.update()
	return p
}

// ExpectedDuration returns the duration to expect of a task, given what its caller states and what is typical of its queue; 0 if neither is
// known.
func ExpectedDuration(stated, typical time.Duration) time.Duration {
	switch {
	case typical <= 0:
		return stated
	case stated <= 0:
		return typical
	default:
		return min(max(stated, typical/estimateRange), typical*estimateRange)
	}
}

// Learn corrects the duration of the tasks of a step by the mean of those that are done.
func (p *Plan) Learn(step int, mean time.Duration) {
	if mean > 0 {
		p.durations[step] = mean
		p.update()
	}
}

func (p *Plan) update() {
	clear(p.chains)
	clear(p.tails)
	for i := len(p.steps) - 1; i >= 0; i-- { // steps depend on earlier ones
		p.chains[i] += p.durations[i]
		p.tails[i] += p.overhead + p.durations[i]
		for _, dependency := range p.steps[i].DependsOn {
			p.chains[dependency] = max(p.chains[dependency], p.chains[i])
			p.tails[dependency] = max(p.tails[dependency], p.tails[i])
		}
	}
}

// Chain returns the duration of the longest chain of work of the job.
func (p *Plan) Chain() time.Duration { return slices.Max(p.chains) }

// Remaining returns how long the job takes from now on if room for the tasks of the step is free at once.
func (p *Plan) Remaining(step int) time.Duration { return p.tails[step] }
