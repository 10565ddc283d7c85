package scheduler

import (
	"cmp"
	"context"
	"slices"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/permit"
	"skylarkstall/internal/domain/pool"
	"skylarkstall/internal/domain/workflow"
)

// Asking for permits.
const (
	// maxAsked bounds the workers of a call for queues whose calls take long.
	maxAsked = 30
	// quickDecision is how short a call's own part is for all workers to be named in it.
	quickDecision = 100 * time.Millisecond
	// longestQueue is how much may wait at every process before no further call is made.
	longestQueue = 1500 * time.Millisecond
	// askSlack is added to the time that a call should take.
	askSlack = time.Second
	// askPenalty keeps calls from a process at which one failed.
	askPenalty = time.Second
)

// question is a call for permits.
type question struct {
	entry   *entry
	ref     workflow.StepRef
	permits *permit.Permits
	at      ident.ProcessID // that makes the call
	workers []permit.Worker
	timeout time.Duration
}

// permitsOf returns the permits of a step, or nil where its queue needs none. The lock is held.
func (s *Scheduler) permitsOf(c candidate) *permit.Permits {
	if c.queue.Advice == nil {
		return nil
	}
	p := c.entry.permits[c.ref]
	if p == nil {
		p = permit.New()
		c.entry.permits[c.ref] = p
	}
	return p
}

// questionFor returns the call that helps the tasks that are left of a step, and false when none would. The lock is held.
func (s *Scheduler) questionFor(c candidate, left int, now time.Time) (question, bool) {
	permits := s.permitsOf(c)
	if permits.Asking() {
		return question{}, false
	}
	workers := s.worthAsking(c, permits, left, now)
	if len(workers) == 0 {
		return question{}, false
	}
	took := c.queue.Advice.Decision + time.Duration(len(workers))*c.queue.Advice.PerWorker
	at, wait := s.adviserFor(took, now)
	if wait > longestQueue {
		return question{}, false
	}
	s.advisers[at] = now.Add(wait + took)
	permits.Ask()
	return question{c.entry, c.ref, permits, at, workers, wait + took + askSlack}, true
}

// worthAsking returns the workers that have room and no valid ticket: first those known to be allowed, then the least
// loaded. Workers that are known to be allowed are enough once they have room for what is left.
func (s *Scheduler) worthAsking(c candidate, permits *permit.Permits, left int, now time.Time) []permit.Worker {
	step := c.entry.flow.Step(c.ref)
	request := pool.Request{Ref: c.ref, Step: step, Service: c.queue.Service, Now: now}
	type option struct {
		worker  permit.Worker
		allowed bool
		score   float64
		room    int
	}
	var options []option
	for id, k := range s.keepers {
		w := permit.Worker{ID: id, Born: k.worker.Entry().Born}
		if _, valid := permits.Ticket(w, now); valid || permits.Refused(w) || !k.worker.Eligible(&request) {
			continue
		}
		options = append(options, option{w, permits.Allowed(w), k.worker.Score(&request), k.worker.Room(step)})
	}
	slices.SortFunc(options, func(a, b option) int {
		if a.allowed != b.allowed {
			if a.allowed {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.worker.ID, b.worker.ID))
	})
	limit := maxAsked
	if c.queue.Advice.Decision <= quickDecision {
		limit = len(options)
	}
	var workers []permit.Worker
	room := 0
	for _, o := range options[:min(limit, len(options))] {
		if !o.allowed && room >= 2*left {
			break
		}
		workers = append(workers, o.worker)
		if o.allowed {
			room += o.room
		}
	}
	return workers
}

// adviserFor returns the process with the least to wait for. The lock is held.
func (s *Scheduler) adviserFor(took time.Duration, now time.Time) (ident.ProcessID, time.Duration) {
	best, wait := s.self, max(s.advisers[s.self].Sub(now), 0)
	for _, peer := range s.ports.Advisers.Peers() {
		if w := max(s.advisers[peer].Sub(now), 0); w < wait || w == wait && best == s.self && took > quickDecision {
			best, wait = peer, w
		}
	}
	return best, wait
}

// ask makes the call and applies its answer.
func (s *Scheduler) ask(ctx context.Context, q question) {
	ids := make([]ident.WorkerID, 0, len(q.workers))
	for _, w := range q.workers {
		ids = append(ids, w.ID)
	}
	began := time.Now()
	asking, cancel := context.WithTimeout(ctx, q.timeout)
	defer cancel()
	tickets, err := s.adviseAt(asking, q, ids)
	s.log.Debug("permits asked", "step", q.ref.String(), "at", q.at, "workers", len(ids), "allowed", len(tickets),
		"took_ms", time.Since(began).Milliseconds(), "error", err)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		q.permits.GiveUp()
		s.advisers[q.at] = time.Now().Add(askPenalty)
	} else {
		q.permits.Answer(q.workers, tickets)
	}
	s.poke()
}

func (s *Scheduler) adviseAt(
	ctx context.Context, q question, workers []ident.WorkerID,
) (map[ident.WorkerID]permit.Ticket, error) {
	if q.at == s.self {
		return s.ports.Adviser.Advise(ctx, q.ref, workers)
	}
	return s.ports.Advisers.AdviseAt(ctx, q.at, q.ref, workers)
}
