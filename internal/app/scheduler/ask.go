package scheduler

import (
	"cmp"
	"context"
	"slices"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/permit"
	"skylarkstall/internal/domain/pool"
)

// Asking for permits.
const (
	// maxNamed is the service's bound of the workers of a call.
	maxNamed = 100
	// maxNamedSlow bounds the time of the calls that take long for each worker.
	maxNamedSlow = 30
	// quickWorker is up to how long a worker of a call takes for the call to be quick.
	quickWorker = time.Millisecond
	// leastNamed leaves a choice of workers, also for runs that follow failed ones.
	leastNamed     = 16
	leastNamedSlow = 8
	// namedRoom is for how many times the tasks that are left the workers of a call should have room.
	namedRoom = 3
	// longestQueue is how much may wait at every process before no further call is made.
	longestQueue = 1500 * time.Millisecond
	// askSlack is added to the time that a call should take.
	askSlack = time.Second
	// askPenalty keeps calls from a process at which one failed.
	askPenalty = time.Second
)

// question is a call for permits.
type question struct {
	candidate
	at      ident.ProcessID // that makes the call
	workers []permit.Worker
	timeout time.Duration
}

// permitsOf returns the permits of a step, or nil where its queue needs none. The lock is held.
func (s *Scheduler) permitsOf(c candidate) *permit.Permits {
	if c.queue.PermitPolicy == nil {
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
	if c.permits.CallInProgress() {
		return question{}, false
	}
	workers := s.worthAsking(c, left, now)
	if len(workers) == 0 {
		return question{}, false
	}
	took := c.queue.PermitPolicy.CallLatency + time.Duration(len(workers))*c.queue.PermitPolicy.WorkerLatency
	at, wait := s.adviserFor(now)
	if wait > longestQueue {
		return question{}, false
	}
	s.advisers[at] = now.Add(wait + took)
	c.permits.BeginCall()
	return question{c, at, workers, wait + took + askSlack}, true
}

// asked is a worker that could be named in a call.
type asked struct {
	worker  permit.Worker
	allowed bool
	score   float64
	room    int
}

// worthAsking returns the workers to name: those known to be allowed first, then the least loaded, until they have room
// enough by what the queue's policy allows as a rule.
func (s *Scheduler) worthAsking(c candidate, left int, now time.Time) []permit.Worker {
	options := s.askable(c, now)
	least, limit := leastNamed, maxNamed
	if c.queue.PermitPolicy.WorkerLatency > quickWorker {
		least, limit = leastNamedSlow, maxNamedSlow
	}
	share := s.shareOf(c.queue.Name).Estimate()
	var workers []permit.Worker
	room := 0.0
	for _, o := range options {
		if len(workers) == limit || len(workers) >= least && room >= float64(namedRoom*left) {
			break
		}
		workers = append(workers, o.worker)
		if o.allowed {
			room += float64(o.room)
		} else {
			room += share * float64(o.room)
		}
	}
	return workers
}

// askable returns the workers with room and without a valid ticket, in the order in which they are named.
func (s *Scheduler) askable(c candidate, now time.Time) []asked {
	step := c.entry.flow.Step(c.ref)
	request := pool.Request{Ref: c.ref, Step: step, Service: c.queue.Service, Now: now, Urgent: c.queue.HasTopPriority()}
	var options []asked
	for id, k := range s.keepers {
		w := permit.Worker{ID: id, Incarnation: k.worker.Info().Incarnation}
		if !s.recorded[id] || c.permits.Refused(w) || c.permits.Valid(w, now) || !k.worker.Eligible(&request) {
			continue
		}
		options = append(options, asked{w, c.permits.Allowed(w), k.worker.Score(&request), k.worker.FitCount(step)})
	}
	slices.SortFunc(options, func(a, b asked) int {
		if a.allowed != b.allowed {
			if a.allowed {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.worker.ID, b.worker.ID))
	})
	return options
}

func (s *Scheduler) shareOf(queue string) *permit.AllowedShare {
	if s.shares[queue] == nil {
		s.shares[queue] = &permit.AllowedShare{}
	}
	return s.shares[queue]
}

// adviserFor returns the process with the least to wait for; this one comes last, because it leads. The lock is held.
func (s *Scheduler) adviserFor(now time.Time) (ident.ProcessID, time.Duration) {
	best, wait := s.self, max(s.advisers[s.self].Sub(now), 0)
	for _, peer := range s.ports.PeerPermitClients.Peers() {
		if w := max(s.advisers[peer].Sub(now), 0); w < wait || w == wait && best == s.self {
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
	s.log.Info("permits asked", "step", q.ref.String(), "at", q.at, "workers", len(ids), "allowed", len(tickets),
		"took_ms", time.Since(began).Milliseconds(), "kind", outcome(err))
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		q.permits.AbortCall()
		s.advisers[q.at] = time.Now().Add(askPenalty)
	} else {
		s.shareOf(q.queue.Name).Observe(q.permits.ApplyAnswer(q.workers, tickets))
	}
	s.poke()
}

func (s *Scheduler) adviseAt(
	ctx context.Context, q question, workers []ident.WorkerID,
) (map[ident.WorkerID]permit.Ticket, error) {
	if q.at == s.self {
		return s.ports.PermitClient.RequestPermits(ctx, q.ref, workers)
	}
	return s.ports.PeerPermitClients.RequestPermitsVia(ctx, q.at, q.ref, workers)
}
