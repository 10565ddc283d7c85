package admission

import (
	"time"

	"skylarkstall/internal/domain/objective"
	"skylarkstall/internal/domain/route"
	"skylarkstall/internal/domain/workflow"
)

// durationMargin is how many times longer than expected the tasks of a job may take.
const durationMargin = 2

// Chain is the longest chain of tasks of a job that follow one another.
type Chain struct {
	Estimate time.Duration // of all tasks together, by the caller
	Tasks    int           // 0 if the job does not run once from now on, or has no estimate
}

// LongestChain returns the longest chain of a job.
func LongestChain(spec *workflow.Spec) Chain {
	if spec.Occurrences > 0 {
		return Chain{}
	}
	var longest Chain
	chains := make([]Chain, len(spec.Steps)) // longest one that ends with the step
	for i := range spec.Steps {
		step := &spec.Steps[i]
		if step.LongRunning || step.Estimate <= 0 {
			return Chain{}
		}
		for _, before := range step.DependsOn {
			if chains[before].Estimate > chains[i].Estimate {
				chains[i] = chains[before]
			}
		}
		chains[i] = Chain{chains[i].Estimate + step.Estimate, chains[i].Tasks + 1}
		if chains[i].Estimate > longest.Estimate {
			longest = chains[i]
		}
	}
	return longest
}

// LatestStart returns how long a job may wait for room and still be completed while that is of use to its caller. It errs on the long
// side. It is 0, for any time, without an objective or a chain. The mean is the duration of tasks of the queue, or 0 if it is not known:
// it counts if it is longer than the estimates, which are rough.
func (c Chain) LatestStart(target route.Objective, mean time.Duration) time.Duration {
	if !target.IsSet() || c.Tasks == 0 {
		return 0
	}
	longest := durationMargin * max(c.Estimate, time.Duration(c.Tasks)*mean)
	var now time.Time
	return max(objective.LimitsOf(target, now, longest).Useful.Sub(now)-longest, minReturn)
}
