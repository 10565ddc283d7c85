package scheduler

import (
	"slices"
	"time"

	"skylarkstall/internal/domain/pool"
	"skylarkstall/internal/domain/workflow"
)

// noteCrash records that a worker crashed, and under which runs. Runs of which it is not known whether they had started count
// as possible causes. If the worker has not answered this leader before, its runs are not known, and the crash tells nothing of
// the worker. The lock is held.
func (s *Scheduler) noteCrash(m *workerMonitor, runs, doubtful []*pool.Run) {
	suspects := s.blameCrash(m, runs)
	if m.answeredAt.IsZero() || m.worker.Info().Draining { // a worker that drains was shut down
		return
	}
	history := s.crashHistory(m)
	var tasks []workflow.TaskRef
	for _, run := range slices.Concat(suspects, doubtful) {
		tasks = append(tasks, run.Task)
		if e := s.jobs[run.Task.Job]; e != nil {
			e.suspectedIn[run.Task] = append(e.suspectedIn[run.Task], history)
		}
	}
	history.Record(time.Now(), tasks)
}

// crashHistory returns the history of crashes at the address of a worker. The lock is held.
func (s *Scheduler) crashHistory(m *workerMonitor) *pool.CrashHistory {
	address := m.knownAddress
	if address == "" {
		address = m.worker.Info().Address
	}
	history := s.crashes[address]
	if history == nil {
		history = &pool.CrashHistory{}
		s.crashes[address] = history
	}
	return history
}

// blameCrash records that a worker crashed under those of its runs that may be the cause, and returns these. Runs that were
// given up when its lease expired count too, because only its restart shows that it crashed and was not merely out of reach. If
// the worker has crashed before without a task that could be the cause, the crash speaks against the worker. The lock is held.
func (s *Scheduler) blameCrash(m *workerMonitor, runs []*pool.Run) []*pool.Run {
	suspects := pool.CrashSuspects(slices.Concat(m.lapsed, runs))
	s.resolveLapsed(m)
	if s.crashHistory(m).Unexplained(time.Now()) > 0 {
		suspects = slices.DeleteFunc(suspects, func(run *pool.Run) bool { return s.excuse(m, run) })
	}
	for _, run := range suspects {
		e := s.jobs[run.Task.Job]
		if e == nil {
			continue
		}
		effect := e.workflow.RecordCrash(run.RunRef)
		s.log.Warn("worker crashed under a run", "task", run.Task.String(), "run", run.Run, "worker", m.worker.Info().ID,
			"suspects", len(suspects), "crashes", e.workflow.Crashes(run.Task), "job_state", e.workflow.State().String())
		e.avoidWorker(run.Task, m.worker.Info().ID) // a crash of another worker tells more than another one of this worker
		s.stopRuns(effect.Stop)
		if effect.MustRecord {
			s.markSuspected(e)
		}
	}
	return suspects
}

// maxExcuses is how many crashes of unsound workers under a task do not count against it. Together with workflow.MaxCrashes that
// count, the task starts at most five times under one leader, also if the workers were sound after all.
const maxExcuses = 2

// excuse reports whether a crash of an unsound worker does not count against the task of a run. The lock is held.
func (s *Scheduler) excuse(m *workerMonitor, run *pool.Run) bool {
	e := s.jobs[run.Task.Job]
	if e == nil || e.excuses[run.Task] >= maxExcuses {
		return false
	}
	e.excuses[run.Task]++
	s.resolveDoubt(e, run.RunRef)
	s.log.Warn("crash put down to the worker", "task", run.Task.String(), "run", run.Run, "worker", m.worker.Info().ID,
		"excuses", e.excuses[run.Task])
	return true
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

// doubtRuns records that runs were given up on a silent worker. A run that has not been requested cannot crash it. The lock is held.
func (s *Scheduler) doubtRuns(runs []*pool.Run) {
	for _, run := range runs {
		if e := s.jobs[run.Task.Job]; e != nil && run.MayHaveStarted() && run.OnProbation() {
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
		e := s.jobs[run.Task.Job]
		if e == nil {
			continue
		}
		e.acquit(run.Task)
		if e.workflow.ClearCrashes(run.Task) {
			s.log.Info("run does not crash its worker", "task", run.Task.String(), "run", run.Run, "worker", m.worker.Info().ID)
			s.markDirty(e)
		}
	}
}

// acquit records that a task has not caused any crash, because a worker has survived it. The scheduler's lock is held.
func (e *jobEntry) acquit(task workflow.TaskRef) {
	for _, history := range e.suspectedIn[task] {
		history.Acquit(task)
	}
	delete(e.suspectedIn, task)
}
