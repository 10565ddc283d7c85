package scheduler

import (
	"cmp"
	"context"
	"slices"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/permit"
)

// Parameters of calls to the permit service.
const (
	// maxWorkersPerCall is the permit service's limit.
	maxWorkersPerCall = 100
	// maxWorkersPerSlowCall bounds the duration of calls that take long for each worker.
	maxWorkersPerSlowCall = 30
	// fastCallPerWorker is the longest time per worker for which a call counts as fast.
	fastCallPerWorker = time.Millisecond
	// The minimum leaves a choice of workers, also for runs that avoid workers after a failure.
	minWorkersPerCall     = 16
	minWorkersPerSlowCall = 8
	// capacityFactor is the capacity of the workers in a call, as a multiple of the waiting tasks.
	capacityFactor = 3
	// maxCallBacklog is the longest wait for the least busy process with which a call is still made.
	maxCallBacklog = 1500 * time.Millisecond
	// callTimeoutSlack is added to the expected duration of a call to get its timeout.
	callTimeoutSlack = time.Second
	// failedCallPenalty is how long a process gets no calls after one failed there.
	failedCallPenalty = time.Second
)

// permitCall is a call to the permit service for the workers that may run a step.
type permitCall struct {
	candidate
	process   ident.ProcessID // makes the call
	requested []permit.Worker
	timeout   time.Duration
}

// permitsOf returns the permits of a step, or nil if its queue needs none. The lock is held.
func (s *Scheduler) permitsOf(c candidate) *permit.Permits {
	if c.queue.PermitPolicy == nil {
		return nil
	}
	step := c.entry.step(c.ref)
	if step.permits == nil {
		step.permits = permit.New()
	}
	return step.permits
}

// planPermitCall returns a call for a step of which some tasks could not be placed, and false when a call is already in
// progress, would not help, or would wait too long. The lock is held.
func (s *Scheduler) planPermitCall(c candidate, unplaced int, now time.Time) (permitCall, bool) {
	if c.permits.CallInProgress() {
		return permitCall{}, false
	}
	process, wait := s.leastBusyProcess(now)
	if wait > maxCallBacklog {
		return permitCall{}, false
	}
	workers := s.selectWorkers(c, unplaced, now)
	if len(workers) == 0 {
		return permitCall{}, false
	}
	duration := c.queue.PermitPolicy.CallLatency + time.Duration(len(workers))*c.queue.PermitPolicy.WorkerLatency
	s.permitBusyUntil[process] = now.Add(wait + duration)
	c.permits.BeginCall()
	return permitCall{c, process, workers, wait + duration + callTimeoutSlack}, true
}

// permitCandidate is a worker that a call could include.
type permitCandidate struct {
	worker   permit.Worker
	allowed  bool
	score    float64
	fitCount int // further tasks of the step that fit
}

// selectWorkers returns the workers to include in a call: those known to be allowed first, then those with the best
// score, until their capacity is expected to suffice at the share of workers that the queue's policy usually allows.
func (s *Scheduler) selectWorkers(c candidate, unplaced int, now time.Time) []permit.Worker {
	options := s.permitCandidates(c, now)
	minimum, limit := minWorkersPerCall, maxWorkersPerCall
	if c.queue.PermitPolicy.WorkerLatency > fastCallPerWorker {
		minimum, limit = minWorkersPerSlowCall, maxWorkersPerSlowCall
	}
	share := s.allowedShare(c.queue.Name).Estimate()
	var workers []permit.Worker
	capacity := 0.0
	for _, o := range options {
		if len(workers) == limit || len(workers) >= minimum && capacity >= float64(capacityFactor*unplaced) {
			break
		}
		workers = append(workers, o.worker)
		if o.allowed {
			capacity += float64(o.fitCount)
		} else {
			capacity += share * float64(o.fitCount)
		}
	}
	return workers
}

// permitCandidates returns the eligible workers that have no valid ticket and were not refused, in order of preference.
func (s *Scheduler) permitCandidates(c candidate, now time.Time) []permitCandidate {
	step := c.entry.workflow.Step(c.ref)
	request := c.request(now)
	request.LastChoice = request.WaitedLong() // workers on which runs have failed come last
	var options []permitCandidate
	for id, m := range s.monitors {
		w := permit.Worker{ID: id, Incarnation: m.worker.Info().Incarnation}
		if !s.recorded[id] || c.permits.Refused(w) || c.permits.Valid(w, now) || !m.worker.Eligible(&request) {
			continue
		}
		options = append(options, permitCandidate{w, c.permits.Allowed(w), m.worker.Score(&request), m.worker.FitCount(step)})
	}
	slices.SortFunc(options, func(a, b permitCandidate) int {
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

func (s *Scheduler) allowedShare(queue string) *permit.AllowedShare {
	if s.allowedShares[queue] == nil {
		s.allowedShares[queue] = &permit.AllowedShare{}
	}
	return s.allowedShares[queue]
}

// leastBusyProcess returns the process with the shortest backlog of calls, and the backlog. Among equals this process
// comes last, because the leader has other work. The lock is held.
func (s *Scheduler) leastBusyProcess(now time.Time) (ident.ProcessID, time.Duration) {
	best, wait := s.self, max(s.permitBusyUntil[s.self].Sub(now), 0)
	for _, peer := range s.ports.PeerPermitClients.Peers() {
		if w := max(s.permitBusyUntil[peer].Sub(now), 0); w < wait || w == wait && best == s.self {
			best, wait = peer, w
		}
	}
	return best, wait
}

// callPermits makes the call and applies the response.
func (s *Scheduler) callPermits(ctx context.Context, call permitCall) {
	ids := make([]ident.WorkerID, 0, len(call.requested))
	for _, w := range call.requested {
		ids = append(ids, w.ID)
	}
	started := time.Now()
	callCtx, cancel := context.WithTimeout(ctx, call.timeout)
	defer cancel()
	tickets, err := s.requestPermits(callCtx, call, ids)
	s.log.Info("permits asked", "step", call.ref.String(), "at", call.process, "workers", len(ids), "allowed", len(tickets),
		"took_ms", time.Since(started).Milliseconds(), "kind", resultKind(err))
	s.mu.Lock()
	defer s.mu.Unlock()
	call.entry.step(call.ref).waiting.Retry()
	if err != nil {
		call.permits.AbortCall()
		s.permitBusyUntil[call.process] = time.Now().Add(failedCallPenalty)
	} else {
		s.allowedShare(call.queue.Name).Observe(call.permits.ApplyResponse(call.requested, tickets))
	}
	s.wakePlacement()
}

func (s *Scheduler) requestPermits(
	ctx context.Context, call permitCall, workers []ident.WorkerID,
) (map[ident.WorkerID]permit.Ticket, error) {
	if call.process == s.self {
		return s.ports.PermitClient.RequestPermits(ctx, call.ref, workers)
	}
	return s.ports.PeerPermitClients.RequestPermitsVia(ctx, call.process, call.ref, workers)
}
