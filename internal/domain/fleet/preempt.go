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
	// boundEvery bounds how often stragglers are counted; they last for long.
	boundEvery = time.Second
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

// SelectPreemptions returns the running tasks that are to give way to requests that wait, and those whose last action had no
// effect in time. It returns nothing while nobody waits or within 50 ms of the last look.
func (f *Fleet) SelectPreemptions(now time.Time) []Preemption {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.policy.Preemption || now.Sub(f.reclaimed) < reclaimEvery {
		return nil
	}
	f.reclaimed = now
	f.budget.refill(now, preemptShare*float64(f.capacity.Slots))
	counts, _ := f.queue.load(now)
	if counts[work.Request] == 0 && counts[work.Batch] == 0 {
		return nil
	}
	out, asked := f.escalate(now)
	if counts[work.Request] > 0 {
		out = append(out, f.makeRoom(now, asked)...)
	}
	if now.Sub(f.bounded) >= boundEvery {
		f.bounded = now
		out = append(out, f.boundStragglers(now)...)
	}
	return out
}

// escalate goes on to the next action where the last one had no effect in time. It also returns how many requests will
// have room when all that was asked is done.
func (f *Fleet) escalate(now time.Time) (out []Preemption, asked int64) {
	running := f.asked[:0]
	for _, h := range f.asked {
		if f.tasks[h.spec.ID] != h {
			continue
		}
		running = append(running, h)
		asked += max(f.demand.units(h.spec.Size), 1)
		if now.Sub(h.asked) >= actionTimeout && h.action != Stop {
			h.asked = now
			h.action++
			out = append(out, h.preemption())
		}
	}
	clear(f.asked[len(running):])
	f.asked = running
	return out, asked
}

// makeRoom asks as many tasks to give way as the demand for requests exceeds the room.
func (f *Fleet) makeRoom(now time.Time, asked int64) []Preemption {
	short := int64(f.demand.need(now)) - int64(f.held[work.Request]) - f.room - asked
	if short <= 0 || f.budget.tokens < 1 {
		return nil
	}
	yielding := f.running((*held).givesWay)
	sort.Slice(yielding, func(i, j int) bool { return yielding[i].givesWayBefore(yielding[j]) })
	var out []Preemption
	for _, h := range yielding {
		if short <= 0 || f.budget.tokens < 1 {
			break
		}
		short -= max(f.demand.units(h.spec.Size), 1)
		out = append(out, f.ask(now, h))
	}
	return out
}

// running returns the running tasks that the condition selects and that were not asked yet, in no order.
func (f *Fleet) running(selects func(*held) bool) []*held {
	var out []*held
	for _, h := range f.tasks {
		if !h.assumed && h.asked.IsZero() && selects(h) {
			out = append(out, h)
		}
	}
	return out
}

// givesWay reports whether the task may be ended for requests: repeatable long work that is not part of a gang.
func (h *held) givesWay() bool {
	return h.spec.Repeatable && (h.spec.Class == work.Batch || h.spec.Class == work.Standing)
}

func (f *Fleet) ask(now time.Time, h *held) Preemption {
	f.budget.tokens--
	h.asked, h.action = now, Checkpoint
	f.asked = append(f.asked, h)
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

// givesWayBefore orders the tasks that may be asked: first those of teams over their quota, then of the teams with the
// largest share, batch before standing, and the youngest, which lose least.
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
		return h.number > o.number
	}
}

// isStraggler reports whether the task runs far longer than its kind does.
func (f *Fleet) isStraggler(now time.Time, h *held) bool {
	if !h.spec.Repeatable || h.spec.Class == work.Standing || h.spec.Class == work.Gang {
		return false
	}
	_, high := f.times.estimate(h.spec)
	return now.Sub(h.since) > stragglerFactor*high
}

// boundStragglers asks the longest running stragglers to give way when together they hold more than their share.
func (f *Fleet) boundStragglers(now time.Time) []Preemption {
	stragglers := f.running(func(h *held) bool { return f.isStraggler(now, h) })
	excess := len(stragglers) - int(math.Ceil(stragglerShare*float64(f.capacity.Slots)))
	if excess <= 0 {
		return nil
	}
	sort.Slice(stragglers, func(i, j int) bool { return stragglers[i].number < stragglers[j].number })
	var out []Preemption
	for _, h := range stragglers[:excess] {
		if f.budget.tokens < 1 {
			break
		}
		out = append(out, f.ask(now, h))
	}
	return out
}
