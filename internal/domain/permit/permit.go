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
	allowed  map[Worker]bool // as the responses so far state; it does not change within an incarnation of a worker
	tickets  map[Worker]Ticket
	asked    map[Worker]bool // workers in calls in progress
	expected float64         // tasks that calls in progress are expected to make room for
}

// New returns an empty set of permits.
func New() *Permits {
	return &Permits{allowed: map[Worker]bool{}, tickets: map[Worker]Ticket{}, asked: map[Worker]bool{}}
}

// Tickets returns the values of the tickets that are valid now.
func (p *Permits) Tickets(now time.Time) iter.Seq2[Worker, string] {
	return func(yield func(Worker, string) bool) {
		for worker, t := range p.tickets {
			if now.Before(t.Expires) && !yield(worker, t.Value) {
				return
			}
		}
	}
}

// Valid reports whether there is a ticket for the worker that is valid now.
func (p *Permits) Valid(worker Worker, now time.Time) bool {
	t, ok := p.tickets[worker]
	return ok && now.Before(t.Expires)
}

// Status names what is known of the permit for a worker: "valid", "asked" while a call is in progress, "refused", "expired" if
// it was allowed, or "unknown".
func (p *Permits) Status(worker Worker, now time.Time) string {
	switch {
	case p.Valid(worker, now):
		return "valid"
	case p.Asked(worker):
		return "asked"
	case p.Refused(worker):
		return "refused"
	case p.Allowed(worker):
		return "expired"
	default:
		return "unknown"
	}
}

// Refused reports whether the worker is known not to be allowed.
func (p *Permits) Refused(worker Worker) bool {
	allowed, known := p.allowed[worker]
	return known && !allowed
}

// Allowed reports whether the worker is known to be allowed.
func (p *Permits) Allowed(worker Worker) bool { return p.allowed[worker] }

// Call is a call for the permits of some workers.
type Call struct {
	Workers  []Worker
	Expected float64 // tasks that the allowed ones of the workers are expected to have room for
}

// BeginCall records that a call is in progress.
func (p *Permits) BeginCall(call Call) {
	for _, worker := range call.Workers {
		p.asked[worker] = true
	}
	p.expected += call.Expected
}

// Expected returns for how many tasks the calls in progress are expected to make room.
func (p *Permits) Expected() float64 { return p.expected }

// CallInProgress reports whether a call is in progress.
func (p *Permits) CallInProgress() bool { return len(p.asked) > 0 }

// Asked reports whether a call for the worker is in progress.
func (p *Permits) Asked(worker Worker) bool { return p.asked[worker] }

// EndCall records that a call is no longer in progress. A call that failed needs nothing else.
func (p *Permits) EndCall(call Call) {
	for _, worker := range call.Workers {
		delete(p.asked, worker)
	}
	if p.expected -= call.Expected; len(p.asked) == 0 {
		p.expected = 0 // without rounding errors
	}
}

// ApplyResponse applies the response to a call for the workers: those with a ticket are allowed. It returns how many of
// the workers were unknown before, and how many of these are allowed.
func (p *Permits) ApplyResponse(requested []Worker, tickets map[ident.WorkerID]Ticket) (unknown, unknownAllowed int) {
	for _, worker := range requested {
		ticket, allowed := tickets[worker.ID]
		if _, known := p.allowed[worker]; !known {
			unknown++
			if allowed {
				unknownAllowed++
			}
		}
		p.allowed[worker] = allowed
		if allowed {
			p.tickets[worker] = ticket
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
func (p *Permits) DropTicket(worker Worker) { delete(p.tickets, worker) }
