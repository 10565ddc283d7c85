package scheduler

import (
	"context"
	"iter"
	"slices"
	"time"

	"skylarkstall/internal/domain/pool"
	"skylarkstall/internal/domain/workflow"
	"skylarkstall/internal/pause"
	"skylarkstall/internal/port"
)

// placeInterval is the interval at which tasks are placed even if nothing has changed: occurrences become due and
// backoffs of workers end.
const placeInterval = 100 * time.Millisecond

// runsPerTerm bounds the number of runs of one task in one term. Run numbers start at a multiple of it for each term,
// so that the runs of a new leader have higher numbers than runs that an earlier leader started and that nothing
// records.
const runsPerTerm = 1000

// runNumberFloor returns the number above which the runs of this term are numbered.
func (s *Scheduler) runNumberFloor() workflow.RunNumber {
	return workflow.RunNumber((s.term.Number - 1) * runsPerTerm)
}

// runPlacement places tasks, after changes and periodically, until the term ends.
func (s *Scheduler) runPlacement(ctx context.Context) {
	ticker := time.NewTicker(placeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.wake:
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		started := time.Now()
		launches, calls := s.place(started)
		for _, l := range launches {
			s.goTask(func() { s.startRun(ctx, l) })
		}
		for _, call := range calls {
			s.goTask(func() { s.callPermits(ctx, call) })
		}
		pause.For(ctx, s.settings.placePause(time.Since(started)))
	}
}

// placePause returns the pause after a pass that took some time.
func (s Settings) placePause(took time.Duration) time.Duration {
	share := placeShare
	if s.CPUShare > 0 {
		share *= min(s.CPUShare, 1)
	}
	return min(max(minPlacePause, time.Duration((1/share-1)*float64(took))), maxPlacePause)
}

const (
	// minPlacePause limits the rate of placement when many changes arrive at once.
	minPlacePause = 4 * time.Millisecond
	// placeShare is the part of the processor time that placement may take: leases, ends, stops and the requests of starts need the
	// rest, and placement is what may slow down under overload. It takes more only where the pause would exceed maxPlacePause.
	placeShare = 1.0 / 3
	// maxPlacePause keeps starts going on a process that has hardly any processor time.
	maxPlacePause = 50 * time.Millisecond
	// maxPlaceTime bounds one pass, in which the lock is held. The next pass continues with the steps that were not tried.
	maxPlaceTime = 5 * time.Millisecond
	// minChangedSteps is the number of changed steps that a pass reaches however little time it has.
	minChangedSteps = 16
	// minTryTime is left for trying steps, however long it took to collect them and the workers.
	minTryTime = 2 * time.Millisecond
)

// place decides which runs start now, and for which steps the permit service is called.
func (s *Scheduler) place(now time.Time) ([]launch, []permitCall) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.updateUnsynced(now)
	if !s.mayLetRun(now) {
		return nil, nil
	}
	s.adaptStarts(now)
	s.breakUpGangs()
	s.releases.notice(s, now)
	pass := s.newPass(now)
	started := time.Now()
	list := s.candidates(now)
	if len(list) == 0 || s.nothingToTry(now) {
		s.observePass(now, started, len(list), len(list))
		return nil, nil
	}
	collected := time.Since(started)
	limit := max(maxPlaceTime, collected+minTryTime)
	pass.retryTime = (limit - collected) / 2
	launches, calls, tried := s.tryInOrder(pass, list, started.Add(limit))
	s.setAside(now)
	s.observePass(now, started, tried, len(list))
	return launches, calls
}

// nothingToTry reports whether the last pass reached all steps, and since then none has changed or become due and no capacity was
// released. The lock is held.
func (s *Scheduler) nothingToTry(now time.Time) bool {
	return s.queue.settled && now.Before(s.queue.nextTry) && len(s.releases.since(s.queue.seenReleases)) == 0
}

// mostOverdue returns the index of the step that has waited longest for a retry if it is overdue, and -1 if none is. It goes first, so
// that retries of higher priorities cannot leave it out for good.
func mostOverdue(list []*candidate, now time.Time) int {
	oldest := -1
	for i, c := range list {
		if w := &c.step.waiting; w.Overdue(now) && (oldest < 0 || w.TriedBefore(&list[oldest].step.waiting)) {
			oldest = i
		}
	}
	return oldest
}

// inOrder returns the steps of the list, the one at index first before the others unless it is negative.
func inOrder(list []*candidate, first int) iter.Seq[*candidate] {
	return func(yield func(*candidate) bool) {
		if first >= 0 && !yield(list[first]) {
			return
		}
		for i, c := range list {
			if i != first && !yield(c) {
				return
			}
		}
	}
}

// tryInOrder tries the steps in their order until the time limit, and beyond it until minChangedSteps that have changed since their last
// try were reached, so that none is left out for good. It also returns how many it tried. The lock is held.
func (s *Scheduler) tryInOrder(pass *placementPass, list []*candidate, limit time.Time) ([]launch, []permitCall, int) {
	var launches []launch
	var calls []permitCall
	tried, reached := 0, 0 // reached counts steps that had changed
	settled, nextTry := true, pass.now.Add(placeInterval)
	for c := range inOrder(list, mostOverdue(list, pass.now)) {
		pass.underLimit = s.underLimit(c)
		if pass.underLimit == 0 {
			s.limits.reached = append(s.limits.reached, c)
			tried++
			continue
		}
		room := s.starts.Max(c.queue.HasTopPriority()) - s.startsInProgress - len(launches)
		if room <= 0 {
			settled = false
			continue // the end of a start wakes placement
		}
		waiting := &c.step.waiting
		changed := waiting.Changed()
		if time.Now().After(limit) {
			settled = false
			s.wakePlacement()
			if reached >= minChangedSteps {
				break
			}
			if !changed {
				continue
			}
		}
		tried++
		if s.needsTry(c, pass.now) {
			attempt := *c
			attempt.room, attempt.pass = min(room, pass.underLimit), pass
			placed, asked := s.tryStep(attempt, pass.now)
			launches, calls = append(launches, placed...), append(calls, asked...)
		} else {
			c.step.wait.triedAt = pass.now
		}
		if changed && !waiting.Changed() { // one that nothing can start stays changed
			reached++
		}
		if waiting.Changed() {
			settled = false // all its tasks were placed, or nothing can start it
		} else if next := c.nextTry(); next.Before(nextTry) {
			nextTry = next
		}
	}
	if pass.retriesLeft > 0 {
		s.wakePlacement()
	}
	s.startsInProgress += len(launches)
	s.queue.settled, s.queue.nextTry, s.queue.seenReleases = settled && pass.retriesLeft == 0, nextTry, s.releases.pass
	return launches, calls, tried - pass.retriesLeft
}

// needsTry reports whether a step has to be compared with any worker. The lock is held.
func (s *Scheduler) needsTry(c *candidate, now time.Time) bool {
	waiting := &c.step.waiting
	if c.step.near.isDue(now) {
		waiting.Retry()
	}
	return c.held || waiting.Due(now, c.queue.Priority) || len(s.releases.since(c.step.triedIn)) > 0
}

// tryStep places the waiting tasks of a step if something has changed since the last try. The lock is held.
func (s *Scheduler) tryStep(c candidate, now time.Time) ([]launch, []permitCall) {
	step := c.step
	c.permits = s.permitsOf(c)
	if c.held {
		step.wait.triedAt = now
		c.workers = s.allowedWorkers(c)
		return nil, s.prefetchPermits(c, now)
	}
	c.waited = step.waiting.For(now)
	if step.waiting.Changed() {
		return s.tryAll(c, now)
	}
	due := step.waiting.Due(now, c.queue.Priority)
	if due && c.pass.retryTime > 0 {
		started := time.Now()
		defer func() { c.pass.retryTime -= time.Since(started) }()
		return s.tryAll(c, now)
	}
	c.workers, c.partial = s.releasedWorkers(c), true
	if len(c.workers) > 0 && c.entry.workflow.Step(c.ref).Gang {
		return s.tryAll(c, now) // its members need several workers
	}
	if due {
		c.pass.retriesLeft++
	} else {
		step.wait.triedAt = now
	}
	return s.tryReleased(c, now), nil
}

// tryReleased places waiting tasks of a step on workers on which capacity has been released. The lock is held.
func (s *Scheduler) tryReleased(c candidate, now time.Time) []launch {
	step := c.step
	step.triedIn = s.releases.pass
	if len(c.workers) == 0 {
		return nil
	}
	launches, unplaced := s.placeStep(c, now)
	switch {
	case unplaced == 0:
		step.waiting.Placed()
		s.allPlaced(c)
	case len(launches) == c.room:
		step.waiting.Retry()
	}
	return launches
}

// tryAll places waiting tasks of a step on all workers that may run them. For tasks that do not fit it prepares preemptions and calls
// for permits. The lock is held.
func (s *Scheduler) tryAll(c candidate, now time.Time) ([]launch, []permitCall) {
	step := c.step
	step.wait.triedAt = now
	c.workers, c.partial = s.allowedWorkers(c), false
	launches, unplaced := s.placeStep(c, now)
	s.near.lapse(step, now)
	step.waiting.Tried(now, unplaced)
	step.triedIn = s.releases.pass
	switch {
	case unplaced == 0:
		s.allPlaced(c)
		return launches, nil
	case len(launches) == c.room:
		step.waiting.Retry() // the others may have room too
		return launches, nil
	case step.near.isOn(now):
		return launches, nil // there is room elsewhere
	}
	s.preempt(c, unplaced, now)
	if c.queue.PermitPolicy == nil {
		return launches, nil
	}
	return launches, s.planPermitCalls(c, unplaced, now)
}

// allPlaced ends what was kept for the waiting tasks of a step. The lock is held.
func (s *Scheduler) allPlaced(c candidate) {
	if c.entry.workflow.WaitingCount(c.ref) == 0 {
		c.step.wait = stepWait{}
		s.near.allPlaced(&c, c.pass.now)
	}
	if c.waited > 0 {
		c.dropHolds()
	}
}

// placeStep places waiting tasks of a step and returns how many could not be placed.
func (s *Scheduler) placeStep(c candidate, now time.Time) ([]launch, int) {
	waiting := c.entry.workflow.Waiting(c.ref)
	if c.entry.workflow.Step(c.ref).Gang {
		return s.placeGang(c, waiting, now)
	}
	waiting = slices.DeleteFunc(waiting, func(index int) bool {
		return c.entry.mustNotStart(workflow.TaskRef{StepRef: c.ref, Index: index})
	})
	var launches []launch
	for i, index := range waiting {
		task := workflow.TaskRef{StepRef: c.ref, Index: index}
		if !c.entry.workflow.HasAttemptsLeft(task, c.queue.MaxAttempts) {
			continue
		}
		run := workflow.RunRef{Task: task, Run: c.entry.workflow.NextRun(task, s.runNumberFloor())}
		l, ok := s.reserve(c, run, "", now)
		if !ok && len(c.entry.avoidWorkers[task]) == 0 {
			return launches, min(len(waiting)-i, c.pass.underLimit-len(launches)) // the remaining tasks have the same requirements
		}
		if ok {
			launches = append(launches, l)
		}
		if len(launches) == c.room {
			break
		}
	}
	return launches, min(len(waiting), c.pass.underLimit) - len(launches)
}

// reserve reserves capacity for a run on the best worker, of the given rack unless that is empty. It returns false when
// no worker is eligible.
func (s *Scheduler) reserve(c candidate, ref workflow.RunRef, rack string, now time.Time) (launch, bool) {
	step := c.entry.workflow.Step(c.ref)
	best := c.chooseWorker(ref.Task, rack, now)
	if best.monitor == nil || s.waitsForRack(&c, best.monitor.worker, now) {
		return launch{}, false
	}
	worker := best.monitor.worker
	free := worker.Free().String()
	if worker.Reserve(ref, step) != nil {
		return launch{}, false
	}
	checkpoint := c.entry.workflow.Checkpoint(ref.Task)
	run := worker.Run(ref)
	run.Partial, run.Priority, run.Behind = checkpoint != "", c.queue.Priority, !c.mayPreempt()
	worker.Suspect(ref, c.entry.workflow.Crashes(ref.Task))
	c.entry.workflow.Start(workflow.Placement{RunRef: ref, Worker: worker.Info().ID})
	leaseUntil, _ := worker.ExtendLease(s.settings.leaseDuration(), now)
	return launch{
		monitor: best.monitor, entry: c.entry, target: best.monitor.target(), silence: worker.SilentFor(now), free: free,
		decided: now,
		request: port.StartRequest{
			RunRef: ref, Payload: c.entry.workflow.Spec().Payload, Checkpoint: checkpoint,
			Ticket: best.ticket, Token: worker.Token(), LeaseExpiry: leaseUntil,
		},
	}, true
}

// bestWorker returns the eligible worker with the best score.
func (c *candidate) bestWorker(request *pool.Request, rack string) allowedWorker {
	var best allowedWorker
	var bestScore float64
	workers := slices.Values(c.workers)
	if c.permits == nil && !c.partial {
		workers = c.pass.scheduler.withRoom(request.Step)
	}
	for allowed := range workers {
		worker := allowed.monitor.worker
		if rack != "" && worker.Rack() != rack || !worker.Eligible(request) {
			continue
		}
		score := worker.Score(request)
		tie := best.monitor != nil && score == bestScore && worker.ID() < best.monitor.worker.ID()
		if best.monitor == nil || score < bestScore || tie {
			best, bestScore = allowed, score
		}
	}
	return best
}
