// Package permit tracks the permits of one step: which workers the policy of its queue allows, and the tickets that
// prove this when a run starts.
package permit

import (
	"iter"
	"time"

	"skylarkstall/internal/domain/ident"
)

// Ticket proves to a worker that a step may run on it.
type Ticket struct {
	Value   string
	Expires time.Time // on the local clock
}

// Worker identifies one incarnation of a worker.
type Worker struct {
	ID          ident.WorkerID
	Incarnation int64
}

// Permits is the set of permits of one step. It is not safe for concurrent use.
type Permits struct {
	workers  map[Worker]*permit
	allowed  []*permit // those of workers that are allowed
	asked    int       // workers in calls in progress
	latest   time.Time // when the last of the tickets expires
	expected float64   // tasks that calls in progress are expected to make room for
}

// permit is what is known of one worker.
type permit struct {
	worker   Worker
	answered bool // a response told whether the worker is allowed
	allowed  bool // as the last response states; it does not change within an incarnation of a worker
	asked    int  // calls in progress
	ticket   Ticket
}

func (p *permit) valid(now time.Time) bool { return now.Before(p.ticket.Expires) }

func (p *permit) refused() bool { return p.answered && !p.allowed }

// New returns an empty set of permits.
func New() *Permits { return &Permits{workers: map[Worker]*permit{}} }

// Tickets returns the tickets that are valid now.
func (p *Permits) Tickets(now time.Time) iter.Seq2[Worker, Ticket] {
	return func(yield func(Worker, Ticket) bool) {
		for _, known := range p.allowed {
			if known.valid(now) && !yield(known.worker, known.ticket) {
				return
			}
		}
	}
}

// AnyValid reports whether a ticket may be valid now.
func (p *Permits) AnyValid(now time.Time) bool { return now.Before(p.latest) }

// Lapsed returns the workers that are allowed and have no ticket that is valid now.
func (p *Permits) Lapsed(now time.Time) iter.Seq[Worker] {
	return func(yield func(Worker) bool) {
		for _, known := range p.allowed {
			if !known.valid(now) && !yield(known.worker) {
				return
			}
		}
	}
}

// of returns what is known of a worker.
func (p *Permits) of(worker Worker) permit {
	if known := p.workers[worker]; known != nil {
		return *known
	}
	return permit{}
}

// entry returns what is known of a worker, to be changed.
func (p *Permits) entry(worker Worker) *permit {
	known := p.workers[worker]
	if known == nil {
		known = &permit{worker: worker}
		p.workers[worker] = known
	}
	return known
}

// Valid reports whether there is a ticket for the worker that is valid now.
func (p *Permits) Valid(worker Worker, now time.Time) bool {
	known := p.of(worker)
	return known.valid(now)
}

// Ticket returns the ticket for the worker if there is one that is valid now.
func (p *Permits) Ticket(worker Worker, now time.Time) (Ticket, bool) {
	known := p.of(worker)
	return known.ticket, known.valid(now)
}

// Refused reports whether the worker is known not to be allowed.
func (p *Permits) Refused(worker Worker) bool {
	known := p.of(worker)
	return known.refused()
}

// Allowed reports whether the worker is known to be allowed.
func (p *Permits) Allowed(worker Worker) bool { return p.of(worker).allowed }

// Asked reports whether a call for the worker is in progress.
func (p *Permits) Asked(worker Worker) bool { return p.of(worker).asked > 0 }

// Status names what is known of the permit for a worker: "valid", "asked" while a call is in progress, "refused", "expired" if
// it was allowed, or "unknown".
func (p *Permits) Status(worker Worker, now time.Time) string {
	known := p.of(worker)
	switch {
	case known.valid(now):
		return "valid"
	case known.asked > 0:
		return "asked"
	case known.refused():
		return "refused"
	case known.allowed:
		return "expired"
	default:
		return "unknown"
	}
}

// MayAsk reports whether a call could bring a ticket for the worker: it has none that is valid, is not known to be refused, and no
// call for it is in progress. It also reports whether the worker is known to be allowed.
func (p *Permits) MayAsk(worker Worker, now time.Time) (mayAsk, allowed bool) {
	known := p.of(worker)
	return !known.refused() && known.asked == 0 && !known.valid(now), known.allowed
}

// Call is a call for the permits of some workers.
type Call struct {
	Workers  []Worker
	Expected float64 // tasks that the allowed ones of the workers are expected to have room for
}

// BeginCall records that a call is in progress.
func (p *Permits) BeginCall(call Call) {
	for _, worker := range call.Workers {
		p.entry(worker).asked++
	}
	p.asked += len(call.Workers)
	p.expected += call.Expected
}

// Expected returns for how many tasks the calls in progress are expected to make room.
func (p *Permits) Expected() float64 { return p.expected }

// CallInProgress reports whether a call is in progress.
func (p *Permits) CallInProgress() bool { return p.asked > 0 }

// EndCall records that a call is no longer in progress. A call that failed needs nothing else.
func (p *Permits) EndCall(call Call) {
	for _, worker := range call.Workers {
		p.entry(worker).asked--
	}
	p.asked -= len(call.Workers)
	if p.expected -= call.Expected; p.asked == 0 {
		p.expected = 0 // without rounding errors
	}
}

// ApplyResponse applies the response to a call for the workers: those with a ticket are allowed. It returns how many of
// the workers were unknown before, and how many of these are allowed.
func (p *Permits) ApplyResponse(requested []Worker, tickets map[ident.WorkerID]Ticket) (unknown, unknownAllowed int) {
	for _, worker := range requested {
		ticket, allowed := tickets[worker.ID]
		known := p.entry(worker)
		if !known.answered {
			unknown++
			if allowed {
				unknownAllowed++
			}
		}
		if allowed && !known.allowed {
			p.allowed = append(p.allowed, known)
		}
		known.answered, known.allowed = true, allowed
		if allowed {
			known.ticket = ticket
			if ticket.Expires.After(p.latest) {
				p.latest = ticket.Expires
			}
		}
	}
	return unknown, unknownAllowed
}

// AllowedShare estimates the share of workers that a queue's policy allows. The zero value is ready for use.
type AllowedShare struct {
	requested, allowed float64
}

// Prior of the estimate: one third, with the weight of a few workers.
const (
	priorRequested = 9
	priorAllowed   = 3
)

// sampleLimit bounds the number of samples; beyond it the weight of the earlier ones is halved, so that the estimate
// follows recent responses.
const sampleLimit = 500

// Observe adds a response for workers that were unknown before.
func (s *AllowedShare) Observe(requested, allowed int) {
	if s.requested+float64(requested) > sampleLimit {
		s.requested, s.allowed = s.requested/2, s.allowed/2
	}
	s.requested, s.allowed = s.requested+float64(requested), s.allowed+float64(allowed)
}

// Estimate returns the estimated share, above 0 and at most 1.
func (s *AllowedShare) Estimate() float64 {
	return (s.allowed + priorAllowed) / (s.requested + priorRequested)
}

// DropTicket drops the ticket of a worker that rejected it.
func (p *Permits) DropTicket(worker Worker) {
	p.entry(worker).ticket = Ticket{}
}
