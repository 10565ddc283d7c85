package scheduler

import (
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/pool"
	"skylarkstall/internal/domain/workflow"
	"skylarkstall/internal/port"
)

// applyReply applies a sync reply. A reply to a request that was sent before that of the last applied reply only
// updates the clock: the worker reports the rest again. If it is of another incarnation, it may be of a former one. The token is that
// of the request.
func (s *Scheduler) applyReply(m *workerMonitor, token ident.Epoch, reply port.SyncReply, sentAt, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	overtaken := sentAt.Before(m.lastSyncSent)
	if overtaken && isRestarted(m, reply) {
		m.unreachable = true // the next sync must not acknowledge ends of another incarnation
		return
	}
	s.detectRestart(m, reply, sentAt)
	s.closeFence(m, token, reply, now)
	s.resolveLapsed(m)
	m.worker.ObserveClock(reply.WorkerClock, sentAt, now)
	if overtaken {
		return
	}
	m.lastSyncSent = sentAt
	if m.unreachable {
		s.log.Info("worker reached", "worker", m.worker.Info().ID, "running", len(reply.Running), "ended", len(reply.Ended),
			"incarnation", reply.Incarnation, "clock_ms", reply.WorkerClock.Milliseconds(), "token", token,
			"lease_left_ms", m.worker.LeaseLeft(now).Milliseconds())
	}
	m.unreachable = false
	if m.answeredAt.IsZero() {
		m.answeredAt = now
		m.worker.Return(now, s.crashHistory(m))
	}
	if _, recorded := s.recorded[m.worker.Info().ID]; !recorded && !m.worker.Synced() {
		select {
		case s.firstAnswers <- struct{}{}:
		default: // already signaled
		}
	}
	if !reply.MoreEnds {
		m.worker.MarkSynced()
	}
	s.applyEnds(m, reply.Ended)
	s.applyRunning(m, reply.Running, now)
	if !reply.MoreEnds {
		s.releaseVanished(m, reply.Running, sentAt)
	}
	for _, throttle := range m.worker.Throttles(now) {
		s.goTask(func() { s.throttleRun(m, throttle) })
	}
	s.wakePlacement()
}

// closeFence notes the first answer of the worker to a request with its present token. Requests with lower tokens may have left the longest
// lease there, if they were meant for an earlier life of the worker, unless there were none or the previous leader has recorded that none
// of them can. The lock is held.
func (s *Scheduler) closeFence(m *workerMonitor, token ident.Epoch, reply port.SyncReply, now time.Time) {
	restarted := m.worker.AwaitsFence()
	record := s.unsynced[m.worker.Info().ID]
	fencedBefore := record.Fenced && record.Incarnation == reply.Incarnation || !s.term.HasPredecessor
	longest := s.settings.MaxLease
	if fencedBefore && !restarted {
		longest = s.settings.leaseDuration()
	}
	m.worker.CloseFence(token, reply.WorkerClock, longest, now)
	if restarted && !m.worker.AwaitsFence() {
		s.log.Info("worker fenced", "worker", m.worker.Info().ID, "incarnation", reply.Incarnation, "token", token,
			"clock_ms", reply.WorkerClock.Milliseconds(), "lease_ms", longest.Milliseconds())
	}
}

// isRestarted reports whether a reply is of another incarnation than the known one.
func isRestarted(m *workerMonitor, reply port.SyncReply) bool {
	return reply.Incarnation != 0 && reply.Incarnation != m.worker.Info().Incarnation
}

// detectRestart ends the runs of the previous incarnation when the worker has restarted. A start that was in flight may
// have reached the new incarnation: a run that the new incarnation reports, or whose start was not acknowledged before
// the sync was sent, is kept. The lock is held.
func (s *Scheduler) detectRestart(m *workerMonitor, reply port.SyncReply, sentAt time.Time) {
	if !isRestarted(m, reply) {
		return
	}
	reported := map[workflow.RunRef]bool{}
	for _, r := range reply.Running {
		reported[r.RunRef] = true
	}
	for _, end := range reply.Ended {
		reported[end.Run] = true
	}
	s.log.Warn("worker restarted", "worker", m.worker.Info().ID, "runs", len(m.worker.Runs()), "listed", len(reported))
	evidence := evidenceOf(m.worker, evidenceRestart)
	m.worker.ResetAfterRestart(reply.Incarnation, reply.WorkerClock+s.settings.MaxLease)
	m.appliedEnd, m.ackedEnd, m.pendingEnds, m.lastSyncSent = 0, 0, nil, time.Time{}
	var lost, doubtful []*pool.Run
	for _, run := range m.worker.Runs() {
		if reported[run.RunRef] {
			continue
		}
		if run.Started.IsZero() || !run.Started.Before(sentAt) {
			run.Doubtful = true
			doubtful = append(doubtful, run)
			continue
		}
		m.worker.Release(run.RunRef)
		s.logGivenUp(m, run, workflow.Lost.String(), evidence)
		s.applyEnd(m, workflow.End{Run: run.RunRef, Outcome: workflow.Lost})
		lost = append(lost, run)
	}
	s.noteCrash(m, lost, doubtful)
	select {
	case s.restarts <- struct{}{}:
	default: // already signaled
	}
	m.worker.Return(time.Now(), s.crashHistory(m))
}

// applyEnds applies the ends that a worker reports, except those that have been applied before. The lock is held.
func (s *Scheduler) applyEnds(m *workerMonitor, ends []port.EndedRun) {
	for _, end := range ends {
		if end.Number <= m.appliedEnd {
			continue
		}
		m.appliedEnd = end.Number
		if run := m.worker.Run(end.Run); run != nil && end.Outcome == workflow.Done {
			s.observeDuration(m, run)
		}
		m.worker.Release(end.Run)
		pending := &pendingEnd{number: end.Number}
		m.pendingEnds = append(m.pendingEnds, pending)
		if _, finished := s.finished[end.Run.Task.Job]; finished {
			continue // no end changes the job any more
		}
		if s.jobs[end.Run.Task.Job] == nil {
			s.holdEnd(m, pending, end.End)
			continue
		}
		pending.job, pending.version = s.applyEnd(m, end.End)
	}
}

// observeDuration learns the speed of the worker from a completed run. Gang members, long-running and best-effort runs,
// and runs that did only part of the work are ignored, because their duration does not reflect the worker's speed.
func (s *Scheduler) observeDuration(m *workerMonitor, run *pool.Run) {
	e := s.jobs[run.Task.Job]
	step := &run.Step
	if e == nil || run.Started.IsZero() || run.Partial || step.Gang || step.LongRunning || step.BestEffort {
		return
	}
	took, learned := time.Since(run.Started), &e.step(run.Task.StepRef).duration
	took = time.Duration(float64(took) / s.remoteFactor(m.worker, step)) // its rack says nothing about the worker
	learned.Observe(m.worker, took)
	s.history(e.queue.Name).Observe(took)
	if e.plan != nil {
		e.plan.Learn(run.Task.Step, learned.Mean())
	}
}

// applyEnd applies the end of a run to its job. It returns the job and the version that its recorded progress must
// reach before the end is acknowledged, or nil when the job is not known. An end that changes nothing waits for the
// present version too: the end that completed its task or its gang may not be recorded yet. The lock is held.
func (s *Scheduler) applyEnd(m *workerMonitor, end workflow.End) (*jobEntry, uint64) {
	e := s.jobs[end.Run.Task.Job]
	if e == nil {
		return nil, 0
	}
	now := time.Now()
	worker := m.worker.Info().ID
	switch end.Outcome {
	case workflow.Done:
		s.noteDone(e, workflow.Placement{RunRef: end.Run, Worker: worker})
		m.worker.RecordSuccess()
		e.acquit(end.Run.Task)
	case workflow.Failed:
		m.worker.RecordFailure(end.Run.Task.Job, now)
		e.avoidWorker(end.Run.Task, worker)
	}
	s.retryStep(e, end.Run.Task.StepRef)
	effect := e.workflow.ApplyEnd(end, worker, s.queueOf(e).MaxAttempts)
	s.log.Info("run ended", "task", end.Run.Task.String(), "run", end.Run.Run, "worker", worker, "how", end.Outcome.String(),
		"job_state", e.workflow.State().String(), "recorded_first", effect.MustRecord)
	s.stopRuns(effect.Stop)
	if effect.MustRecord {
		s.markDirty(e)
	}
	return e, e.version
}

// applyRunning applies the list of running runs from a reply. The lock is held.
func (s *Scheduler) applyRunning(m *workerMonitor, running []port.RunningRun, now time.Time) {
	for _, r := range running {
		e := s.jobs[r.Task.Job]
		if e != nil {
			e.workflow.MarkStarted()
			e.workflow.RecordCheckpoint(r.RunRef, r.Checkpoint)
			s.resolveDoubt(e, r.RunRef)
		}
		if m.worker.Run(r.RunRef) == nil {
			s.adoptRun(m, e, r)
		}
		m.worker.UpdateRun(r.RunRef, r.Progress, r.Measurement, now)
		if e != nil && (e.workflow.IsDone(r.Task) || e.workflow.State().Final()) {
			s.stopRuns([]workflow.Placement{{RunRef: r.RunRef, Worker: m.worker.Info().ID}}) // a copy completed first, or the job is over
		}
	}
	s.acquitRuns(m)
	s.stopStalled(m, now)
}

// releaseVanished releases the runs that are missing from a reply to a sync that was sent at sentAt, although the worker had
// acknowledged their start or stop by then. They end as stopped, or as lost if the worker has restarted meanwhile. It must not be
// called for a reply that does not list all ends: a run that is missing there may have ended as done. The lock is held.
func (s *Scheduler) releaseVanished(m *workerMonitor, running []port.RunningRun, sentAt time.Time) {
	reported := map[workflow.RunRef]bool{}
	for _, r := range running {
		reported[r.RunRef] = true
	}
	var lost []*pool.Run
	for _, run := range m.worker.Runs() {
		acked := !run.StopAcked.IsZero() && run.StopAcked.Before(sentAt) || !run.Started.IsZero() && run.Started.Before(sentAt)
		if reported[run.RunRef] || !acked {
			continue
		}
		m.worker.Release(run.RunRef)
		outcome := workflow.Stopped
		if run.Doubtful {
			outcome = workflow.Lost
			lost = append(lost, run)
		}
		s.logGivenUp(m, run, outcome.String(), evidenceOf(m.worker, evidenceUnlisted))
		s.applyEnd(m, workflow.End{Run: run.RunRef, Outcome: outcome})
		s.log.Info("run is not there", "task", run.Task.String(), "run", run.Run, "worker", m.worker.Info().ID,
			"stopped", !run.StopAcked.IsZero())
	}
	s.blameCrash(m, lost)
}

// stopStalled stops stalled runs, so that their tasks are restarted on other workers. The lock is held.
func (s *Scheduler) stopStalled(m *workerMonitor, now time.Time) {
	worker := m.worker.Info().ID
	for _, run := range m.worker.Stalled(now) {
		e := s.jobs[run.Task.Job]
		if e == nil || !run.StopAcked.IsZero() {
			continue
		}
		s.log.Warn("run stands still", "task", run.Task.String(), "run", run.Run, "worker", worker)
		m.worker.RecordFailure(run.Task.Job, now)
		e.avoidWorker(run.Task, worker)
		s.stopRuns([]workflow.Placement{{RunRef: run.RunRef, Worker: worker}})
	}
}

// avoidWorker makes a worker the last choice for further runs of a task.
func (e *jobEntry) avoidWorker(task workflow.TaskRef, worker ident.WorkerID) {
	if e.avoidWorkers[task] == nil {
		e.avoidWorkers[task] = map[ident.WorkerID]bool{}
	}
	e.avoidWorkers[task][worker] = true
}

// adoptRun adds a reported run that this term did not start, and stops it unless its job adopts it. The lock is held.
func (s *Scheduler) adoptRun(m *workerMonitor, e *jobEntry, r port.RunningRun) {
	step := workflow.Step{}
	worker := m.worker.Info().ID
	placement := workflow.Placement{RunRef: r.RunRef, Worker: worker}
	kept := false
	_, finished := s.finished[r.Task.Job]
	switch {
	case e == nil && finished:
	case e == nil:
		s.orphans[r.Task.Job] = append(s.orphans[r.Task.Job], orphanRun{m, r.RunRef})
	case r.Task.Step < len(e.workflow.Spec().Steps):
		step = *e.workflow.Step(r.Task.StepRef)
		kept = e.workflow.Adopt(placement)
	}
	m.worker.Adopt(r.RunRef, &step)
	if e != nil {
		m.worker.Run(r.RunRef).Priority = s.queueOf(e).Priority
		m.worker.Suspect(r.RunRef, e.workflow.Crashes(r.Task))
	}
	s.log.Info("run found", "task", r.Task.String(), "run", r.Run, "worker", worker, "kept", kept)
	if !kept {
		s.stopRuns([]workflow.Placement{placement})
	}
}
