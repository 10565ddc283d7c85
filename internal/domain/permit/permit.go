// Package permit holds the aggregate of the permits for one step: which workers its queue's policy allows, and the
// tickets that prove it at a start.
package permit

import (
	"time"

	"skylarkstall/internal/domain/ident"
)

// Ticket proves to a worker that a step may run there.
type Ticket struct {
	Value string
	Until time.Time // by our clock
}

// Worker names one life of a worker.
type Worker struct {
	ID   ident.WorkerID
	Born int64
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
		if now.Before(t.Until) {
			valid[worker] = t.Value
		}
	}
	return valid
}

// Valid reports whether the worker's ticket is valid now.
func (p *Permits) Valid(worker Worker, now time.Time) bool {
	t, ok := p.tickets[worker]
	return ok && now.Before(t.Until)
}

// Refused reports whether the worker is known not to be allowed.
func (p *Permits) Refused(worker Worker) bool {
	allowed, known := p.answers[worker]
	return known && !allowed
}

// Allowed reports whether the worker is known to be allowed.
func (p *Permits) Allowed(worker Worker) bool { return p.answers[worker] }

// Ask notes that a call is in progress.
func (p *Permits) Ask() { p.asking++ }

// Asking reports whether a call is in progress.
func (p *Permits) Asking() bool { return p.asking > 0 }

// GiveUp notes that a call ended without an answer.
func (p *Permits) GiveUp() { p.asking-- }

// Answer applies the answer to a call about the workers. It returns of how many of them nothing was known, and how many
// of those are allowed.
func (p *Permits) Answer(asked []Worker, tickets map[ident.WorkerID]Ticket) (fresh, freshAllowed int) {
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

// Share estimates which share of the workers a queue's policy allows. The zero value is ready for use.
type Share struct {
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
func (s *Share) Observe(asked, allowed int) {
	if s.asked+float64(asked) > shareMemory {
		s.asked, s.allowed = s.asked/2, s.allowed/2
	}
	s.asked, s.allowed = s.asked+float64(asked), s.allowed+float64(allowed)
}

// Value returns the estimate, above 0 and at most 1.
func (s *Share) Value() float64 { return (s.allowed + priorAllowed) / (s.asked + priorAsked) }

// Reject drops a ticket that the worker did not take.
func (p *Permits) Reject(worker Worker) { delete(p.tickets, worker) }
