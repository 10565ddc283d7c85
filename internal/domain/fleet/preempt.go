package fleet

import (
	"math"
	"sort"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/resource"
	"skylarkstall/internal/domain/work"
)

// Action is an action on a running task that frees capacity. The actions are tried in their order.
type Action uint8

// Actions.
const (
	Checkpoint Action = iota // save the task's progress, then end the attempt
	Throttle                 // limit the task to half of its cores
	Stop                     // end the attempt; only for repeatable tasks
)

func (a Action) String() string { return [...]string{"checkpoint", "throttle", "stop"}[a] }

// Preemption is an action on a running task to free capacity for others.
type Preemption struct {
	Task    ident.TaskID
	Attempt ident.Attempt
	Worker  ident.WorkerID
	Action  Action
	Limit   resource.Vector // for Throttle
}

const (
	// preemptionInterval is the minimum time between two evaluations of preemption, each of which scans the running
	// tasks.
	preemptionInterval = 50 * time.Millisecond
	// stragglerInterval is the minimum time between two counts of stragglers, which run for long.
	stragglerInterval = time.Second
	// actionTimeout is how long an action may take to end the attempt before the next one is tried.
	actionTimeout = 2 * time.Second
	// maxPreemptShare is the share of the slots that may be preempted within budgetPeriod.
	maxPreemptShare = 0.3
	budgetPeriod    = time.Minute
	// stragglerFactor is how many times the 90th percentile of its kind's run times a task must have run to be a
	// straggler.
	stragglerFactor = 4
	// stragglerShare is the share of the slots that stragglers may hold while other tasks are queued.
	stragglerShare = 0.1
)

// preemptionBudget is a token bucket; each preemption takes a token.
type preemptionBudget struct {
	tokens   float64
	refilled time.Time
}

func (b *preemptionBudget) refill(now time.Time, capacity float64) {
	if b.refilled.IsZero() {
		b.tokens = capacity
	} else {
		b.tokens = min(capacity, b.tokens+capacity*now.Sub(b.refilled).Seconds()/budgetPeriod.Seconds())
	}
	b.refilled = now
}

// SelectPreemptions returns the actions to take now: running tasks to preempt for queued requests, stragglers that hold
// more than their share, and the next action for tasks whose last one had no effect in time. It returns nothing while
// no request and no batch task is queued, and within 50 ms of the last evaluation.
func (f *Fleet) SelectPreemptions(now time.Time) []Preemption {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.policy.Preemption || now.Sub(f.preemptionChecked) < preemptionInterval {
		return nil
	}
	f.preemptionChecked = now
	f.budget.refill(now, maxPreemptShare*float64(f.capacity.Slots))
	counts, _ := f.queue.load(now)
	if counts[work.Request] == 0 && counts[work.Batch] == 0 {
		return nil
	}
	out, pending := f.escalatePreemptions(now)
	if counts[work.Request] > 0 {
		out = append(out, f.preemptForRequests(now, pending)...)
	}
	if now.Sub(f.stragglersChecked) >= stragglerInterval {
		f.stragglersChecked = now
		out = append(out, f.preemptStragglers(now)...)
	}
	return out
}

// escalatePreemptions returns the next action for each task whose last one had no effect in time. It also returns how
// many requests will fit once all preemptions in progress have taken effect.
func (f *Fleet) escalatePreemptions(now time.Time) (out []Preemption, pending int64) {
	running := f.preempted[:0]
	for _, h := range f.preempted {
		if f.tasks[h.spec.ID] != h {
			continue
		}
		running = append(running, h)
		pending += max(f.demand.countFitting(h.spec.Size), 1)
		if now.Sub(h.preemptedAt) >= actionTimeout && h.action != Stop {
			h.preemptedAt = now
			h.action++
			out = append(out, h.preemption())
		}
	}
	clear(f.preempted[len(running):])
	f.preempted = running
	return out, pending
}

// preemptForRequests preempts as many tasks as it takes to cover the expected demand for requests.
func (f *Fleet) preemptForRequests(now time.Time, pending int64) []Preemption {
	shortfall := int64(f.demand.targetConcurrency(now)) - int64(f.activeCounts[work.Request]) - f.requestCapacity - pending
	if shortfall <= 0 || f.budget.tokens < 1 {
		return nil
	}
	candidates := f.runningTasks((*assignedTask).preemptible)
	sort.Slice(candidates, func(i, j int) bool { return candidates[i].preemptedBefore(candidates[j]) })
	var out []Preemption
	for _, h := range candidates {
		if shortfall <= 0 || f.budget.tokens < 1 {
			break
		}
		shortfall -= max(f.demand.countFitting(h.spec.Size), 1)
		out = append(out, f.preempt(now, h))
	}
	return out
}

// runningTasks returns, in no particular order, the running tasks that satisfy the condition and are not being
// preempted.
func (f *Fleet) runningTasks(selects func(*assignedTask) bool) []*assignedTask {
	var out []*assignedTask
	for _, h := range f.tasks {
		if !h.assumed && h.preemptedAt.IsZero() && selects(h) {
			out = append(out, h)
		}
	}
	return out
}

// preemptible reports whether the task may be preempted for requests: only repeatable batch and standing tasks may.
func (h *assignedTask) preemptible() bool {
	return h.spec.Repeatable && (h.spec.Class == work.Batch || h.spec.Class == work.Standing)
}

func (f *Fleet) preempt(now time.Time, h *assignedTask) Preemption {
	f.budget.tokens--
	h.preemptedAt, h.action = now, Checkpoint
	f.preempted = append(f.preempted, h)
	return h.preemption()
}

func (h *assignedTask) preemption() Preemption {
	p := Preemption{Task: h.spec.ID, Attempt: h.spec.Attempt, Worker: h.worker.Worker, Action: h.action}
	if h.action == Throttle {
		p.Limit = h.spec.Size
		p.Limit.MilliCores /= 2
	}
	return p
}

// preemptedBefore orders candidates for preemption: tasks of teams over their quota first, then batch before standing,
// then tasks of the teams with the largest share, then the youngest, which lose the least progress.
func (h *assignedTask) preemptedBefore(o *assignedTask) bool {
	switch {
	case h.team.overQuota != o.team.overQuota:
		return h.team.overQuota
	case h.spec.Class != o.spec.Class:
		return h.spec.Class < o.spec.Class
	case h.team.share != o.team.share:
		return h.team.share > o.team.share
	case !h.since.Equal(o.since):
		return h.since.After(o.since)
	default:
		return h.sequence > o.sequence
	}
}

// isStraggler reports whether the task has run far longer than tasks of its kind usually do.
func (f *Fleet) isStraggler(now time.Time, h *assignedTask) bool {
	if !h.spec.Repeatable || h.spec.Class == work.Standing || h.spec.Class == work.Gang {
		return false
	}
	_, p90 := f.runTimes.estimate(h.spec)
	return now.Sub(h.since) > stragglerFactor*p90
}

// preemptStragglers preempts the oldest stragglers when all of them together hold more than stragglerShare of the
// slots.
func (f *Fleet) preemptStragglers(now time.Time) []Preemption {
	stragglers := f.runningTasks(func(h *assignedTask) bool { return f.isStraggler(now, h) })
	excess := len(stragglers) - int(math.Ceil(stragglerShare*float64(f.capacity.Slots)))
	if excess <= 0 {
		return nil
	}
	sort.Slice(stragglers, func(i, j int) bool { return stragglers[i].sequence < stragglers[j].sequence })
	var out []Preemption
	for _, h := range stragglers[:excess] {
		if f.budget.tokens < 1 {
			break
		}
		out = append(out, f.preempt(now, h))
	}
	return out
}
