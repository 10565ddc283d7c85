package scheduler

import (
	"context"

	"skylarkstall/internal/domain/workflow"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/pause"
	"skylarkstall/internal/port"
)

// orphanRun is a run that a worker reported while its job was not known.
type orphanRun struct {
	monitor *workerMonitor
	run     workflow.RunRef
}

// orphanEnd is an end that a worker reported while its job was not known.
type orphanEnd struct {
	monitor *workerMonitor
	pending *pendingEnd
	end     workflow.End
}

// holdEnd keeps an end whose job is not known until the job has been looked up in the store. An earlier leader stored the
// job before it started the run, so this leader reads of it later. If the end were acknowledged now, the worker would
// forget it, and the task would run again. The lock is held.
func (s *Scheduler) holdEnd(m *workerMonitor, pending *pendingEnd, end workflow.End) {
	id := end.Run.Task.Job
	pending.jobUnknown = true
	s.orphanEnds[id] = append(s.orphanEnds[id], orphanEnd{m, pending, end})
	s.log.Info("end of a run of an unknown job", "task", end.Run.Task.String(), "run", end.Run.Run,
		"worker", m.worker.Info().ID, "how", end.Outcome.String())
	if len(s.orphanEnds[id]) == 1 {
		s.goTask(func() { s.lookUpOrphan(s.ctx, id) })
	}
}

// lookUpOrphan reads the job of orphan ends from the store. If the store does not hold the job, nobody needs the ends.
func (s *Scheduler) lookUpOrphan(ctx context.Context, id workflow.ID) {
	for ctx.Err() == nil {
		readCtx, cancel := context.WithTimeout(ctx, readTimeout)
		item, err := s.ports.Store.Get(readCtx, port.JobPrefix+string(id))
		cancel()
		if err == nil {
			s.acceptJobs([]port.Entry{item})
		}
		if err == nil || fault.Is(err, fault.NotFound) {
			s.dropOrphanEnds(id)
			return
		}
		s.log.Warn("job of an ended run not read", "job", id, "error", err)
		pause.For(ctx, retryDelay)
	}
}

// dropOrphanEnds releases the ends of a job that is not in the store, or whose record cannot be decoded. It does nothing
// if the job is known by now.
func (s *Scheduler) dropOrphanEnds(id workflow.ID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, orphan := range s.orphanEnds[id] {
		orphan.pending.jobUnknown = false
	}
	delete(s.orphanEnds, id)
}

// adoptOrphans assigns to a job the runs and ends that workers reported before the job was known, because an earlier
// leader had accepted it. The runs are being stopped, and their tasks do not start elsewhere until their ends are
// reported. The lock is held.
func (s *Scheduler) adoptOrphans(e *jobEntry) {
	id := e.workflow.Spec().ID
	for _, orphan := range s.orphans[id] {
		worker, task := orphan.monitor.worker, orphan.run.Task
		if worker.Run(orphan.run) == nil || task.Step >= len(e.workflow.Spec().Steps) {
			continue
		}
		worker.SetStep(orphan.run, e.workflow.Step(task.StepRef))
		e.workflow.Adopt(workflow.Placement{RunRef: orphan.run, Worker: worker.Info().ID})
		s.log.Info("run of a former leader waits for its stop", "task", task.String(), "run", orphan.run.Run,
			"worker", worker.Info().ID)
	}
	delete(s.orphans, id)
	for _, orphan := range s.orphanEnds[id] {
		orphan.pending.job, orphan.pending.version = s.applyEnd(orphan.monitor, orphan.end)
		orphan.pending.jobUnknown = false
	}
	delete(s.orphanEnds, id)
}
