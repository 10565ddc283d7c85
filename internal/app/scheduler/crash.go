package scheduler

import (
	"slices"

	"skylarkstall/internal/domain/pool"
	"skylarkstall/internal/domain/workflow"
)

// blameCrash records that a worker crashed under those of its runs that may be the cause. Runs that were given up when its
// lease expired count too, because only its restart shows that it crashed and was not merely out of reach. The lock is held.
func (s *Scheduler) blameCrash(m *workerMonitor, runs []*pool.Run) {
	suspects := pool.CrashSuspects(slices.Concat(m.lapsed, runs))
	s.resolveLapsed(m)
	for _, run := range suspects {
		e := s.jobs[run.Task.Job]
		if e == nil {
			continue
		}
		effect := e.workflow.RecordCrash(run.RunRef)
		s.log.Warn("worker crashed under a run", "task", run.Task.String(), "run", run.Run, "worker", m.worker.Info().ID,
			"suspects", len(suspects), "crashes", e.workflow.Crashes(run.Task), "job_state", e.workflow.State().String())
		s.stopRuns(effect.Stop)
		if effect.MustRecord {
			s.markSuspected(e)
		}
	}
}

// markSuspected queues the record of a job of which a task is suspected. The task waits for it. The lock is held.
func (s *Scheduler) markSuspected(e *jobEntry) {
	s.markDirty(e)
	e.crashVersion = e.version
}

// settleDoubts counts the runs as crashes that the previous leader gave up on a silent worker and that no worker has
// reported. The lock is held.
func (s *Scheduler) settleDoubts(e *jobEntry) {
	effect := e.workflow.ClearUnknownRuns()
	if !effect.MustRecord {
		return
	}
	s.log.Warn("runs in doubt have vanished", "job", e.workflow.Spec().ID, "job_state", e.workflow.State().String())
	s.stopRuns(effect.Stop)
	s.markSuspected(e)
}

// doubtRuns records that runs were given up on a silent worker. The lock is held.
func (s *Scheduler) doubtRuns(runs []*pool.Run) {
	for _, run := range runs {
		if e := s.jobs[run.Task.Job]; e != nil && run.OnProbation() {
			e.workflow.Doubt(run.RunRef)
			s.markSuspected(e)
		}
	}
}

// resolveLapsed records that the worker of runs that were given up did not crash under them, or is gone for good. The lock
// is held.
func (s *Scheduler) resolveLapsed(m *workerMonitor) {
	for _, run := range m.lapsed {
		s.resolveDoubt(s.jobs[run.Task.Job], run.RunRef)
	}
	m.lapsed = nil
}

// resolveDoubt records that a worker did not crash under a run, if that was in doubt. The lock is held.
func (s *Scheduler) resolveDoubt(e *jobEntry, run workflow.RunRef) {
	if e != nil && e.workflow.ResolveDoubt(run) {
		s.markDirty(e)
	}
}

// mustNotStart reports whether a task must not start now because workers crashed under it: too many of them, or one of
// them is not recorded yet. The next leader counts only recorded crashes.
func (e *jobEntry) mustNotStart(task workflow.TaskRef) bool {
	return e.workflow.MayHarmWorker(task) || e.crashVersion > e.storedVersion && e.workflow.IsSuspected(task)
}

// acquitRuns clears the tasks of runs that a worker has survived. The lock is held.
func (s *Scheduler) acquitRuns(m *workerMonitor) {
	for _, run := range m.worker.Acquit() {
		if e := s.jobs[run.Task.Job]; e != nil && e.workflow.ClearCrashes(run.Task) {
			s.log.Info("run does not crash its worker", "task", run.Task.String(), "run", run.Run, "worker", m.worker.Info().ID)
			s.markDirty(e)
		}
	}
}
