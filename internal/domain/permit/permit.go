// Package permit holds the aggregate of the permits for one step: which workers its queue's policy allows, and the
// tickets that prove it at a start.
package permit

import (
	"time"

	"skylarkstall/internal/domain/ident"
)

// Ticket proves to a worker that a step may run there.
type Ticket struct {
	Value   string
	Expires time.Time // by our clock
}

// Worker names one life of a worker.
type Worker struct {
	ID          ident.WorkerID
	Incarnation int64
}

// Permits is the aggregate of one step. It is not safe for concurrent use.
type Permits struct {
	answers map[Worker]bool // whether the worker is allowed; this never changes in a worker's life
	tickets map[Worker]Ticket
	asking  int // calls in progress
}

// New returns permits of which nothing has been asked.
func New() *Permits {
	return &Permits{answers: map[Worker]bool{}, tickets: map[Worker]Ticket{}}
}

// Tickets returns the tickets that are valid now.
func (p *Permits) Tickets(now time.Time) map[Worker]string {
	valid := make(map[Worker]string, len(p.tickets))
	for worker, t := range p.tickets {
		if now.Before(t.Expires) {
			valid[worker] = t.Value
		}
	}
	return valid
}

// Valid reports whether the worker's ticket is valid now.
func (p *Permits) Valid(worker Worker, now time.Time) bool {
	t, ok := p.tickets[worker]
	return ok && now.Before(t.Expires)
}

// Refused reports whether the worker is known not to be allowed.
func (p *Permits) Refused(worker Worker) bool {
	allowed, known := p.answers[worker]
	return known && !allowed
}

// Allowed reports whether the worker is known to be allowed.
func (p *Permits) Allowed(worker Worker) bool { return p.answers[worker] }

// BeginCall notes that a call is in progress.
func (p *Permits) BeginCall() { p.asking++ }

// CallInProgress reports whether a call is in progress.
func (p *Permits) CallInProgress() bool { return p.asking > 0 }

// AbortCall notes that a call ended without an answer.
func (p *Permits) AbortCall() { p.asking-- }

// ApplyAnswer applies the answer to a call about the workers. It returns of how many of them nothing was known, and how many
// of those are allowed.
func (p *Permits) ApplyAnswer(asked []Worker, tickets map[ident.WorkerID]Ticket) (fresh, freshAllowed int) {
	p.asking--
	for _, worker := range asked {
		ticket, allowed := tickets[worker.ID]
		if _, known := p.answers[worker]; !known {
			fresh++
			if allowed {
				freshAllowed++
			}
		}
		p.answers[worker] = allowed
		if allowed {
			p.tickets[worker] = ticket
		}
	}
	return fresh, freshAllowed
}

// AllowedShare estimates which share of the workers a queue's policy allows. The zero value is ready for use.
type AllowedShare struct {
	asked, allowed float64
}

// What the estimate begins with: a third of a few workers.
const (
	priorAsked   = 9
	priorAllowed = 3
)

// shareMemory is about how many answers the estimate goes back.
const shareMemory = 500

// Observe adds answers about workers of which nothing was known.
func (s *AllowedShare) Observe(asked, allowed int) {
	if s.asked+float64(asked) > shareMemory {
		s.asked, s.allowed = s.asked/2, s.allowed/2
	}
	s.asked, s.allowed = s.asked+float64(asked), s.allowed+float64(allowed)
}

// Estimate returns the estimate, above 0 and at most 1.
func (s *AllowedShare) Estimate() float64 { return (s.allowed + priorAllowed) / (s.asked + priorAsked) }

// DropTicket drops a ticket that the worker did not take.
func (p *Permits) DropTicket(worker Worker) { delete(p.tickets, worker) }
