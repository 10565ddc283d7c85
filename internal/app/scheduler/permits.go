package scheduler

import (
	"cmp"
	"context"
	"slices"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/permit"
	"skylarkstall/internal/domain/pool"
	"skylarkstall/internal/domain/route"
)

// Parameters of calls to the permit service.
const (
	// capacityFactor is the expected capacity of the allowed workers in calls, as a multiple of the waiting tasks: other
	// steps use some of it before the response.
	capacityFactor = 3
	// A call is made for the best of enoughOptions workers, and of choiceFactor times as many as are needed. To compare all workers for each
	// call would take most of the time of placement.
	enoughOptions = 32
	choiceFactor  = 3
	// A wide step leaves less of a choice.
	wideCapacityFactor = 1.5
	// wideStep is the number of waiting tasks from which workers with much free capacity are preferred: fewer workers have
	// to be asked about, and the tickets are valid at the same time.
	wideStep = 8
	// maxCallsOfWideStep bounds the calls for a wide step that are planned at once.
	maxCallsOfWideStep = 6
	// callTimeoutSlack is added to the expected duration of a call to get its timeout.
	callTimeoutSlack = time.Second
)

// permitCall is a call to the permit service for the workers that may run a step.
type permitCall struct {
	candidate
	permit.Call
	process ident.ProcessID // makes the call
	timeout time.Duration
}

// permitWorker identifies a worker and its incarnation to the permit service.
func permitWorker(m *workerMonitor) permit.Worker {
	return permit.Worker{ID: m.worker.ID(), Incarnation: m.worker.Incarnation()}
}

// permitsOf returns the permits of a step, or nil if its queue needs none. The lock is held.
func (s *Scheduler) permitsOf(c candidate) *permit.Permits {
	if c.queue.PermitPolicy == nil {
		return nil
	}
	if c.step.permits == nil {
		c.step.permits = permit.New()
	}
	return c.step.permits
}

// planPermitCalls returns the calls for a step of which some tasks could not be placed. There is none when the calls in
// progress are expected to suffice, or when a call would wait too long. The lock is held.
func (s *Scheduler) planPermitCalls(c candidate, unplaced int, now time.Time) []permitCall {
	missing, maxCalls := capacityFactor*float64(unplaced), 1
	if unplaced >= wideStep {
		missing, maxCalls = wideCapacityFactor*float64(unplaced), maxCallsOfWideStep
	}
	missing -= c.permits.Expected()
	if maxCalls == 1 && c.permits.CallInProgress() {
		return nil
	}
	var calls []permitCall
	var options []permitCandidate
	for len(calls) < maxCalls && missing > 0 {
		slot, ok := s.dispatcher.Next(c.pass.peers(), &c.position, c.queue.HasTopPriority(), now)
		if !ok {
			break
		}
		times := callTimes(c.queue.PermitPolicy)
		size := times.Size(slot.Wait > 0)
		if options == nil {
			options = s.permitCandidates(c, unplaced, missing, now)
			if !c.queue.HasTopPriority() || !c.permits.CallInProgress() { // an urgent step always finds a process, and would ask about all
				options = c.appendFullWorkers(options, size.Min, now)
			}
		}
		if len(options) == 0 {
			break
		}
		var call permit.Call
		call, options = s.selectWorkers(c, options, missing, size)
		missing -= call.Expected
		duration := times.Duration(len(call.Workers))
		s.dispatcher.Begin(slot, c.queue.HasTopPriority(), duration, now)
		c.permits.BeginCall(call)
		calls = append(calls, permitCall{c, call, slot.Process, slot.Wait + duration + callTimeoutSlack})
	}
	return calls
}

// Steps that are held back until the runs of an earlier leader have certainly ended get their permits shortly before, because all
// of them are released at once.
const (
	prefetchLead     = time.Second
	prefetchInterval = 200 * time.Millisecond
)

// prefetchDue reports whether to plan calls for steps that are held back. The lock is held.
func (s *Scheduler) prefetchDue(now time.Time) bool {
	if s.accounted || now.Sub(s.prefetchedAt) < prefetchInterval || now.Before(s.predecessorLapsedAt().Add(-prefetchLead)) {
		return false
	}
	s.prefetchedAt = now
	return true
}

// prefetchPermits returns the calls for a step that is held back, unless it has enough tickets. The lock is held.
func (s *Scheduler) prefetchPermits(c candidate, now time.Time) []permitCall {
	if c.permits == nil {
		return nil
	}
	missing := len(c.entry.workflow.Waiting(c.ref))
	for w := range c.allowed() {
		missing -= w.FitCount(c.entry.workflow.Step(c.ref))
	}
	if missing <= 0 {
		return nil
	}
	return s.planPermitCalls(c, missing, now)
}

// permitCandidate is a worker that a call could include.
type permitCandidate struct {
	worker   permit.Worker
	allowed  bool
	tooSlow  bool // for an urgent task
	near     bool // on the rack with the data, which is worth waiting for
	score    float64
	fitCount int // further tasks of the step that fit
}

// expected returns for how many tasks the worker is expected to make room, at the share of workers that the policy usually allows.
func (o *permitCandidate) expected(share float64) float64 {
	if o.allowed {
		return float64(o.fitCount)
	}
	return share * float64(o.fitCount)
}

// selectWorkers returns a call for the first of the options, until their capacity is expected to suffice at the share of
// workers that the queue's policy usually allows, and the remaining options.
func (s *Scheduler) selectWorkers(
	c candidate, options []permitCandidate, missing float64, size permit.CallSize,
) (permit.Call, []permitCandidate) {
	share := s.allowedShare(c.queue.Name).Estimate()
	var call permit.Call
	for i, o := range options {
		if i == size.Max || i >= size.Min && call.Expected >= missing {
			return call, options[i:]
		}
		call.Workers = append(call.Workers, o.worker)
		call.Expected += o.expected(share)
	}
	return call, nil
}

// permitCandidates returns workers that could take tasks of the step, have no valid ticket and were not refused, in order of preference:
// for an urgent step those that are not slow first, then those known to be allowed, for a wide step those with the most free capacity, then
// those with the best score. There are enough for the missing tasks, and a choice, rather than all, without those that are too slow. Workers on which other runs would have to be stopped are included if the
// others do not suffice.
func (s *Scheduler) permitCandidates(c candidate, unplaced int, missing float64, now time.Time) []permitCandidate {
	request := c.request(now)
	request.LastChoice = request.WaitedLong() // workers on which runs have failed come last
	share, expected := s.allowedShare(c.queue.Name).Estimate(), 0.0
	var options []permitCandidate
	choice := 0
	add := func(m *workerMonitor, known bool) {
		if option, ok := c.permitOption(m, &request, unplaced); ok && option.allowed == known {
			options = append(options, option)
			if !option.tooSlow {
				expected += option.expected(share)
				choice++
			}
		}
	}
	for worker := range c.permits.Lapsed(c.pass.ticketTime) {
		if m := s.monitors[worker.ID]; m != nil && s.mayGetRuns(m) {
			add(m, true)
		}
	}
	for recorded := range s.withRoom(request.Step) {
		if expected >= choiceFactor*missing && choice >= enoughOptions && request.Step.DataRack == "" {
			break
		}
		add(recorded.monitor, false)
	}
	for _, m := range s.fullNearWorkers(&c, &request) {
		if option, ok := c.askable(m); ok {
			options = append(options, option)
		}
	}
	if expected < missing && c.waited >= askForPreemptionAfter && c.mayPreempt() && !c.pass.hasLowestPriority(c.queue.Priority) {
		options = c.appendPreemptionOptions(options, &request, share, missing-expected)
	}
	slices.SortFunc(options, func(a, b permitCandidate) int { return a.compare(&b, unplaced >= wideStep) })
	return options
}

// compare orders candidates by preference: those that are not too slow first, then those on the rack with the data, then those known to be allowed, then those with the most room if
// that counts, then by score.
func (o *permitCandidate) compare(other *permitCandidate, byRoom bool) int {
	switch {
	case o.tooSlow != other.tooSlow:
		if other.tooSlow {
			return -1
		}
		return 1
	case o.near != other.near:
		if o.near {
			return -1
		}
		return 1
	case o.allowed != other.allowed:
		if o.allowed {
			return -1
		}
		return 1
	}
	if byRoom && o.fitCount != other.fitCount {
		return cmp.Compare(other.fitCount, o.fitCount)
	}
	return cmp.Or(cmp.Compare(o.score, other.score), cmp.Compare(o.worker.ID, other.worker.ID))
}

// permitOption returns the worker as an option for a call, and false if it cannot take a task now or must not be asked about.
func (c *candidate) permitOption(m *workerMonitor, request *pool.Request, unplaced int) (permitCandidate, bool) {
	if !m.worker.Eligible(request) {
		return permitCandidate{}, false
	}
	option, mayAsk := c.askable(m)
	if !mayAsk {
		return permitCandidate{}, false
	}
	option.score, option.fitCount = m.worker.Score(request), min(m.worker.FitCount(request.Step), unplaced)
	return option, true
}

// askable returns the worker as an option for a call, whatever room it has, and false if it must not be asked about.
func (c *candidate) askable(m *workerMonitor) (permitCandidate, bool) {
	option := permitCandidate{worker: permitWorker(m), tooSlow: c.queue.HasTopPriority() && m.worker.IsSlow()}
	step := c.entry.workflow.Step(c.ref)
	option.near = c.pass.scheduler.settings.RemoteFactor > 1 && step.DataRack != "" && m.worker.IsNear(step)
	var mayAsk bool
	mayAsk, option.allowed = c.permits.MayAsk(option.worker, c.pass.ticketTime)
	return option, mayAsk
}

// appendFullWorkers appends workers that have no room for a task now until there are as many options as a call should name at least. Capacity
// of theirs may be released while the ticket is valid.
func (c *candidate) appendFullWorkers(options []permitCandidate, minimum int, now time.Time) []permitCandidate {
	if len(options) >= minimum {
		return options
	}
	listed := make(map[ident.WorkerID]bool, len(options))
	for _, o := range options {
		listed[o.worker.ID] = true
	}
	request := c.request(now)
	for _, recorded := range c.pass.scheduler.recordedWorkers() {
		m := recorded.monitor
		if len(options) >= minimum {
			break
		}
		option, mayAsk := c.askable(m)
		if !mayAsk || listed[m.worker.ID()] {
			continue
		}
		if m.worker.Rejection(&request) == pool.NoCapacity {
			options = append(options, option)
		}
	}
	return options
}

func callTimes(policy *route.PermitPolicy) permit.CallTimes {
	return permit.CallTimes{Fixed: policy.CallLatency, PerWorker: policy.WorkerLatency, TicketTTL: policy.TicketTTL}
}

// appendPreemptionOptions appends workers on which a task would fit if other runs were stopped, until they suffice for the missing tasks
// and leave a choice.
func (c *candidate) appendPreemptionOptions(
	options []permitCandidate, request *pool.Request, share, missing float64,
) []permitCandidate {
	for _, recorded := range c.pass.scheduler.recordedWorkers() {
		if missing <= 0 && len(options) >= enoughOptions {
			break
		}
		m := recorded.monitor
		option := permitCandidate{worker: permitWorker(m), fitCount: 1}
		var mayAsk bool
		if mayAsk, option.allowed = c.permits.MayAsk(option.worker, c.pass.ticketTime); !mayAsk || m.worker.Eligible(request) {
			continue
		}
		if cost, ok := m.worker.PreemptionCost(request); ok {
			option.score = preemptionScore + cost
			missing -= option.expected(share)
			options = append(options, option)
		}
	}
	return options
}

// preemptionScore ranks workers on which other runs have to be stopped behind all on which the task fits.
const preemptionScore = 10

// askForPreemptionAfter is how long a step waits before workers are asked for on which it would have to stop other runs.
const askForPreemptionAfter = 500 * time.Millisecond

func (s *Scheduler) allowedShare(queue string) *permit.AllowedShare {
	if s.allowedShares[queue] == nil {
		s.allowedShares[queue] = &permit.AllowedShare{}
	}
	return s.allowedShares[queue]
}

// peers returns the other processes, in the order of their names.
func (p *placementPass) peers() []ident.ProcessID {
	if p.peerNames == nil {
		p.peerNames = p.scheduler.ports.PeerPermitClients.Peers()
		slices.Sort(p.peerNames)
	}
	return p.peerNames
}

// callPermits makes the call and applies the response.
func (s *Scheduler) callPermits(ctx context.Context, call permitCall) {
	ids := make([]ident.WorkerID, 0, len(call.Workers))
	for _, w := range call.Workers {
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
	s.retryStep(call.entry, call.ref)
	call.permits.EndCall(call.Call)
	s.dispatcher.End(call.process, err != nil, time.Now())
	if ref, ok := s.dispatcher.Waiter(); ok && s.openJobs[ref.Job] != nil {
		s.retryStep(s.openJobs[ref.Job], ref)
	}
	if err == nil {
		s.allowedShare(call.queue.Name).Observe(call.permits.ApplyResponse(call.Workers, tickets))
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
