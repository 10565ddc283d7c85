package scheduler

import (
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/pool"
	"skylarkstall/internal/domain/workflow"
	"skylarkstall/internal/port"
)

// apply takes a report. One that was asked for before the last one that was applied is left out: what it misses is
// listed again.
func (s *Scheduler) apply(k *keeper, report port.SyncReply, asked, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.noticeBirth(k, report, asked)
	k.worker.ObserveClock(report.WorkerClock, asked, now)
	if asked.Before(k.asked) {
		return
	}
	k.asked = asked
	if k.broken {
		s.log.Info("worker reached", "worker", k.worker.Info().ID, "running", len(report.Running), "ended", len(report.Ended))
	}
	k.broken = false
	k.worker.MarkSynced()
	s.applyEnds(k, report.Ended)
	s.applyRunning(k, report.Running, asked, now)
	for _, pace := range k.worker.Throttles(now) {
		s.running.Go(func() { s.pace(k, pace) })
	}
	s.poke()
}

// noticeBirth gives up what ran in an earlier life of the worker. A start that was on its way may have been carried out in
// the new life: a run that the new life lists, or whose start was not answered before the look, is kept. The lock is held.
func (s *Scheduler) noticeBirth(k *keeper, report port.SyncReply, asked time.Time) {
	if born := k.worker.Info().Incarnation; report.Incarnation == 0 || report.Incarnation == born {
		return
	}
	listed := map[workflow.RunRef]bool{}
	for _, r := range report.Running {
		listed[r.RunRef] = true
	}
	for _, end := range report.Ended {
		listed[end.Run] = true
	}
	s.log.Warn("worker restarted", "worker", k.worker.Info().ID, "runs", len(k.worker.Runs()), "listed", len(listed))
	k.worker.ResetAfterRestart(report.Incarnation, report.WorkerClock+s.settings.MaxLease)
	k.applied, k.acked, k.pending, k.asked = 0, 0, nil, time.Time{}
	for _, run := range k.worker.Runs() {
		if !listed[run.RunRef] && !run.Started.IsZero() && run.Started.Before(asked) {
			k.worker.Release(run.RunRef)
			s.ended(k, workflow.End{Run: run.RunRef, Outcome: workflow.Lost})
		}
	}
}

func (s *Scheduler) applyEnds(k *keeper, ends []port.EndedRun) {
	for _, end := range ends {
		if end.Number <= k.applied {
			continue
		}
		k.applied = end.Number
		if run := k.worker.Run(end.Run); run != nil && end.Outcome == workflow.Done {
			s.learn(k, run)
		}
		k.worker.Release(end.Run)
		e, version := s.ended(k, end.End)
		k.pending = append(k.pending, pendingEnd{end.Number, e, version})
	}
}

// learn compares a run that ended done with the others of its step. Runs that wait for others, last, are paced or did only
// a part of the work tell nothing of the worker's speed.
func (s *Scheduler) learn(k *keeper, run *pool.Run) {
	e := s.jobs[run.Task.Job]
	step := &run.Step
	if e == nil || run.Started.IsZero() || run.Partial || step.Gang || step.LongRunning || step.BestEffort {
		return
	}
	if e.work[run.Task.StepRef] == nil {
		e.work[run.Task.StepRef] = &pool.DurationEstimate{}
	}
	e.work[run.Task.StepRef].Observe(k.worker, time.Since(run.Started))
}

// ended applies the end of a run. It returns the job and the version that its record must have, or nil when nothing has
// to be recorded. The lock is held.
func (s *Scheduler) ended(k *keeper, end workflow.End) (*entry, uint64) {
	e := s.jobs[end.Run.Task.Job]
	if e == nil {
		return nil, 0
	}
	now := time.Now()
	worker := k.worker.Info().ID
	switch end.Outcome {
	case workflow.Done:
		k.worker.RecordSuccess()
	case workflow.Failed:
		k.worker.RecordFailure(end.Run.Task.Job, now)
		e.avoidFor(end.Run.Task, worker)
	}
	verdict := e.flow.ApplyEnd(end, worker, s.queueOf(e).MaxAttempts)
	s.log.Info("run ended", "task", end.Run.Task.String(), "run", end.Run.Run, "worker", worker, "how", end.Outcome.String(),
		"job_state", e.flow.State().String(), "recorded_first", verdict.MustRecord)
	s.stopAll(verdict.Stop)
	if !verdict.MustRecord {
		return nil, 0
	}
	s.changed(e)
	return e, e.version
}

func (s *Scheduler) applyRunning(k *keeper, running []port.RunningRun, asked, now time.Time) {
	listed := map[workflow.RunRef]bool{}
	for _, r := range running {
		listed[r.RunRef] = true
		e := s.jobs[r.Task.Job]
		if e != nil {
			e.flow.MarkStarted()
			e.flow.RecordCheckpoint(r.RunRef, r.Checkpoint)
		}
		if k.worker.Run(r.RunRef) == nil {
			s.adopt(k, e, r)
		}
		k.worker.UpdateRun(r.RunRef, r.Progress, r.Reading, now)
		if e != nil && e.flow.IsDone(r.Task) {
			s.stopAll([]workflow.Placement{{RunRef: r.RunRef, Worker: k.worker.Info().ID}}) // a copy was faster
		}
	}
	s.stopStalled(k, now)
	for _, run := range k.worker.Runs() {
		over := !run.StopAcked.IsZero() && run.StopAcked.Before(asked) || !run.Started.IsZero() && run.Started.Before(asked)
		if !listed[run.RunRef] && over {
			k.worker.Release(run.RunRef)
			s.ended(k, workflow.End{Run: run.RunRef, Outcome: workflow.Stopped})
			s.log.Info("run is not there", "task", run.Task.String(), "run", run.Run, "worker", k.worker.Info().ID,
				"stopped", !run.StopAcked.IsZero())
		}
	}
}

// stopStalled stops runs that stand still, so that they go on elsewhere. The lock is held.
func (s *Scheduler) stopStalled(k *keeper, now time.Time) {
	worker := k.worker.Info().ID
	for _, run := range k.worker.Stalled(now) {
		e := s.jobs[run.Task.Job]
		if e == nil || !run.StopAcked.IsZero() {
			continue
		}
		s.log.Warn("run stands still", "task", run.Task.String(), "run", run.Run, "worker", worker)
		k.worker.RecordFailure(run.Task.Job, now)
		e.avoidFor(run.Task, worker)
		s.stopAll([]workflow.Placement{{RunRef: run.RunRef, Worker: worker}})
	}
}

// avoidFor keeps further runs of a task from a worker.
func (e *entry) avoidFor(task workflow.TaskRef, worker ident.WorkerID) {
	if e.avoid[task] == nil {
		e.avoid[task] = map[ident.WorkerID]bool{}
	}
	e.avoid[task][worker] = true
}

// stray is a run of a job that was not known when a worker listed it.
type stray struct {
	keeper *keeper
	run    workflow.RunRef
}

// adopt takes a run that this term did not order, or stops it when it does not count. The lock is held.
func (s *Scheduler) adopt(k *keeper, e *entry, r port.RunningRun) {
	step := workflow.Step{}
	worker := k.worker.Info().ID
	placement := workflow.Placement{RunRef: r.RunRef, Worker: worker}
	counts := false
	switch {
	case e == nil:
		s.strays[r.Task.Job] = append(s.strays[r.Task.Job], stray{k, r.RunRef})
	case r.Task.Step < len(e.flow.Spec().Steps):
		step = *e.flow.Step(r.Task.StepRef)
		counts = e.flow.Adopt(placement)
	}
	k.worker.Adopt(r.RunRef, &step)
	s.log.Info("run found", "task", r.Task.String(), "run", r.Run, "worker", worker, "kept", counts)
	if !counts {
		s.stopAll([]workflow.Placement{placement})
	}
}

// claimStrays notes the runs of a job that workers listed before the job was known: a former leader had taken it in. They
// were told to stop, and keep their tasks from starting elsewhere until their ends are listed. The lock is held.
func (s *Scheduler) claimStrays(e *entry) {
	id := e.flow.Spec().ID
	for _, found := range s.strays[id] {
		worker, task := found.keeper.worker, found.run.Task
		if worker.Run(found.run) == nil || task.Step >= len(e.flow.Spec().Steps) {
			continue
		}
		worker.SetStep(found.run, e.flow.Step(task.StepRef))
		e.flow.Adopt(workflow.Placement{RunRef: found.run, Worker: worker.Info().ID})
		s.log.Info("run of a former leader waits for its stop", "task", task.String(), "run", found.run.Run,
			"worker", worker.Info().ID)
	}
	delete(s.strays, id)
}
