package metrics

import (
	"time"

	"github.com/uber-go/tally/v4"

	"skylarkstall/internal/domain/objective"
	"skylarkstall/internal/port"
)

var (
	// passBuckets range from 50 us to 1.6 s. A pass has about 5 ms, unless the process gets no processor time.
	passBuckets = tally.MustMakeExponentialDurationBuckets(50*time.Microsecond, 2, 16)
	stepBuckets = append(tally.ValueBuckets{0}, tally.MustMakeExponentialValueBuckets(1, 2, 14)...)
)

// Outcomes of a pass of placement.
const (
	passComplete  = "complete"   // tried all steps with tasks to start
	passPartial   = "partial"    // ended before it reached all
	passNoneTried = "none_tried" // ended before it reached the first
)

// RecordPass counts a pass of placement, and records its duration and how many steps it tried.
func (c *CellMetrics) RecordPass(pass port.PlacementPass) {
	outcome := passComplete
	switch {
	case pass.Left > 0 && pass.Tried == 0:
		outcome = passNoneTried
	case pass.Left > 0:
		outcome = passPartial
	}
	c.passes[outcome].Inc(1)
	c.passSeconds.RecordDuration(pass.Took)
	c.stepsTried.RecordValue(float64(pass.Tried))
}

// queueGauges are the gauges of one queue.
type queueGauges struct {
	waitingTasks, oldestWait, excessSteps tally.Gauge
	waitingJobs                           [objective.Count]tally.Gauge // by standing
}

const (
	// maxQueueLabels bounds the series of queues. Names of queues come and go with the configuration.
	maxQueueLabels = 1000
	// otherQueues is the label of the queues beyond that.
	otherQueues = "(other)"
)

// updateQueues sets the gauges of the queues. Those of queues in which nothing waits any more return to 0.
func (c *CellMetrics) updateQueues(states map[string]port.QueueState) {
	labeled := map[string]port.QueueState{}
	for name, state := range states {
		if _, known := c.queues[name]; !known && len(c.queues) >= maxQueueLabels {
			name = otherQueues
		}
		total := labeled[name]
		total.WaitingTasks += state.WaitingTasks
		total.OldestWait = max(total.OldestWait, state.OldestWait)
		total.ExcessSteps += state.ExcessSteps
		for i, jobs := range state.Standings {
			total.Standings[i] += jobs
		}
		labeled[name] = total
		c.registerQueue(name)
	}
	for name, gauges := range c.queues {
		gauges.waitingTasks.Update(float64(labeled[name].WaitingTasks))
		gauges.oldestWait.Update(labeled[name].OldestWait.Seconds())
		gauges.excessSteps.Update(float64(labeled[name].ExcessSteps))
		for i, gauge := range gauges.waitingJobs {
			gauge.Update(float64(labeled[name].Standings[i]))
		}
	}
}

func (c *CellMetrics) registerQueue(name string) {
	if _, known := c.queues[name]; known {
		return
	}
	scope := c.scope.Tagged(map[string]string{"queue": name})
	gauges := queueGauges{
		waitingTasks: scope.Gauge("queue_waiting_tasks"), oldestWait: scope.Gauge("queue_oldest_wait_seconds"),
		excessSteps: scope.Gauge("queue_excess_steps"),
	}
	for i := range gauges.waitingJobs {
		standing := map[string]string{"standing": objective.Standing(i).String()}
		gauges.waitingJobs[i] = scope.Tagged(standing).Gauge("queue_waiting_jobs")
	}
	c.queues[name] = gauges
}
