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

// Ticket returns a ticket that is valid now, and false when there is none.
func (p *Permits) Ticket(worker Worker, now time.Time) (string, bool) {
	t, ok := p.tickets[worker]
	return t.Value, ok && now.Before(t.Until)
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

// Answer applies the answer to a call about the workers.
func (p *Permits) Answer(asked []Worker, tickets map[ident.WorkerID]Ticket) {
	p.asking--
	for _, worker := range asked {
		ticket, allowed := tickets[worker.ID]
		p.answers[worker] = allowed
		if allowed {
			p.tickets[worker] = ticket
		}
	}
}

// Reject drops a ticket that the worker did not take.
func (p *Permits) Reject(worker Worker) { delete(p.tickets, worker) }
