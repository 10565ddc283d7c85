package fleet

import (
	"math"
	"sort"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/resource"
	"skylarkstall/internal/domain/work"
)

// Action is what is done to a running task to make room, in the order in which it is tried.
type Action uint8

// Actions.
const (
	Checkpoint Action = iota // end the attempt after its progress was saved
	Throttle                 // limit it to half of its size
	Stop                     // end the attempt; only of repeatable work
)

// String returns the name of the action.
func (a Action) String() string { return [...]string{"checkpoint", "throttle", "stop"}[a] }

// Preemption makes a running task give way.
type Preemption struct {
	Task    ident.TaskID
	Attempt ident.Attempt
	Worker  ident.WorkerID
	Action  Action
	Limit   resource.Vector // for Throttle
}

const (
	// reclaimEvery bounds how often the running tasks are looked through.
	reclaimEvery = 50 * time.Millisecond
	// actionTimeout is how long an action may take before the next one is tried.
	actionTimeout = 2 * time.Second
	// preemptShare is the share of the slots that may be taken back within budgetPeriod.
	preemptShare = 0.3
	budgetPeriod = time.Minute
	// stragglerFactor times the run time that nine of ten tasks of a kind do not exceed makes a straggler.
	stragglerFactor = 4
	// stragglerShare is the share of the slots that stragglers may hold while other work waits.
	stragglerShare = 0.1
)

// budget is a token bucket of preemptions.
type budget struct {
	tokens float64
	at     time.Time
}

func (b *budget) refill(now time.Time, most float64) {
	if b.at.IsZero() {
		b.tokens = most
	} else {
		b.tokens = min(most, b.tokens+most*now.Sub(b.at).Seconds()/budgetPeriod.Seconds())
	}
	b.at = now
}

// Reclaim returns the running tasks that are to give way to requests that wait, and those whose last action had no effect
// in time. It returns nothing while nobody waits or within 50 ms of the last look.
func (f *Fleet) Reclaim(now time.Time) []Preemption {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.policy.Preempt || now.Sub(f.reclaimed) < reclaimEvery {
		return nil
	}
	f.reclaimed = now
	f.budget.refill(now, preemptShare*float64(f.capacity.Slots))
	counts, _ := f.queue.load(now)
	if counts[work.Request] == 0 && counts[work.Batch] == 0 {
		return nil
	}
	var out []Preemption
	asked := int64(0)
	for _, h := range f.byRank(now) {
		if !h.asked.IsZero() {
			asked += max(f.demand.units(h.spec.Size), 1)
			out = append(out, h.escalate(now)...)
		}
	}
	if counts[work.Request] > 0 {
		out = append(out, f.makeRoom(now, asked)...)
	}
	return append(out, f.boundStragglers(now)...)
}

// makeRoom asks as many tasks to give way as the demand for requests exceeds the room.
func (f *Fleet) makeRoom(now time.Time, asked int64) []Preemption {
	short := int64(f.demand.need(now)) - int64(f.held[work.Request]) - f.room - asked
	var out []Preemption
	for _, h := range f.byRank(now) {
		if short <= 0 || f.budget.tokens < 1 {
			break
		}
		if !h.asked.IsZero() || !h.givesWay() {
			continue
		}
		short -= max(f.demand.units(h.spec.Size), 1)
		out = append(out, f.ask(now, h))
	}
	return out
}

// givesWay reports whether the task may be ended for requests: repeatable long work that is not part of a gang.
func (h *held) givesWay() bool {
	return !h.assumed && h.spec.Repeatable && (h.spec.Class == work.Batch || h.spec.Class == work.Standing)
}

func (f *Fleet) ask(now time.Time, h *held) Preemption {
	f.budget.tokens--
	h.asked, h.action = now, Checkpoint
	return h.preemption()
}

func (h *held) preemption() Preemption {
	p := Preemption{Task: h.spec.ID, Attempt: h.spec.Attempt, Worker: h.row.Worker, Action: h.action}
	if h.action == Throttle {
		p.Limit = h.spec.Size
		p.Limit.MilliCores /= 2
	}
	return p
}

// escalate goes on to the next action when the last one had no effect in time.
func (h *held) escalate(now time.Time) []Preemption {
	if now.Sub(h.asked) < actionTimeout || h.action == Stop {
		return nil
	}
	h.asked = now
	h.action++
	return []Preemption{h.preemption()}
}

// byRank returns the running tasks that may be asked, the first to give way first: those of teams over their quota, of
// the teams with the largest share, batch before standing, and the youngest, which lose least.
func (f *Fleet) byRank(now time.Time) []*held {
	var all []*held
	for _, r := range f.order {
		for _, h := range r.tasks {
			if h.givesWay() || f.isStraggler(now, h) {
				all = append(all, h)
			}
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].givesWayBefore(all[j]) })
	return all
}

func (h *held) givesWayBefore(o *held) bool {
	switch {
	case h.team.over != o.team.over:
		return h.team.over
	case h.spec.Class != o.spec.Class:
		return h.spec.Class < o.spec.Class
	case h.team.share != o.team.share:
		return h.team.share > o.team.share
	case !h.since.Equal(o.since):
		return h.since.After(o.since)
	default:
		return h.spec.ID.String() < o.spec.ID.String()
	}
}

// isStraggler reports whether the task runs far longer than its kind does.
func (f *Fleet) isStraggler(now time.Time, h *held) bool {
	if h.assumed || !h.spec.Repeatable || h.spec.Class == work.Standing || h.spec.Class == work.Gang {
		return false
	}
	_, high := f.times.estimate(h.spec)
	return now.Sub(h.since) > stragglerFactor*high
}

// boundStragglers asks the longest running stragglers to give way when together they hold more than their share.
func (f *Fleet) boundStragglers(now time.Time) []Preemption {
	var stragglers []*held
	for _, h := range f.byRank(now) {
		if h.asked.IsZero() && f.isStraggler(now, h) {
			stragglers = append(stragglers, h)
		}
	}
	excess := len(stragglers) - int(math.Ceil(stragglerShare*float64(f.capacity.Slots)))
	if excess <= 0 {
		return nil
	}
	sort.SliceStable(stragglers, func(i, j int) bool { return stragglers[i].since.Before(stragglers[j].since) })
	var out []Preemption
	for _, h := range stragglers[:excess] {
		if f.budget.tokens < 1 {
			break
		}
		out = append(out, f.ask(now, h))
	}
	return out
}
