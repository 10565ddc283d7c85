package scheduler

import (
	"slices"
	"time"

	"skylarkstall/internal/domain/pool"
	"skylarkstall/internal/domain/workflow"
)

// Evidence by which a run is given up.
const (
	evidenceLapsed   = "lease expired"
	evidenceReplaced = "another worker answers"
	evidenceRestart  = "worker restarted"
	evidenceUnlisted = "not listed"
	evidenceSilent   = "silent, copies allowed" // the run may continue
)

// workerEvidence is what the leader knows of a worker at the time at which it gives up runs there.
type workerEvidence struct {
	kind        string
	incarnation int64 // before
	silence     time.Duration
	leaseLeft   time.Duration
}

func evidenceOf(w *pool.Worker, kind string) workerEvidence {
	now := time.Now()
	return workerEvidence{kind, w.Info().Incarnation, w.SilentFor(now), w.LeaseLeft(now)}
}

// logGivenUp logs that a run is given up, and remembers it. The lock is held.
func (s *Scheduler) logGivenUp(m *workerMonitor, run *pool.Run, how string, evidence workerEvidence) {
	info := m.worker.Info()
	s.log.Warn("run given up", "task", run.Task.String(), "run", run.Run, "worker", info.ID, "how", how,
		"evidence", evidence.kind, "silent_ms", evidence.silence.Milliseconds(),
		"lease_left_ms", evidence.leaseLeft.Milliseconds(), "incarnation_before", evidence.incarnation,
		"incarnation", info.Incarnation, "started", !run.Started.IsZero(), "reported", run.Reported,
		"stop_acked", !run.StopAcked.IsZero())
	if e := s.jobs[run.Task.Job]; e != nil {
		e.rememberGivenUp(workflow.Placement{RunRef: run.RunRef, Worker: info.ID})
	}
}

// maxGivenUp bounds the runs of a task that are remembered as given up.
const maxGivenUp = 4

// runHistory holds the runs of a task that show, when another one ends as done, that the task may have run twice.
type runHistory struct {
	givenUp []workflow.Placement
	done    workflow.Placement // zero before an end as done is applied
}

func (e *jobEntry) runHistory(task workflow.TaskRef) *runHistory {
	h := e.history[task]
	if h == nil {
		h = &runHistory{}
		e.history[task] = h
	}
	return h
}

func (e *jobEntry) rememberGivenUp(p workflow.Placement) {
	h := e.runHistory(p.Task)
	if len(h.givenUp) == maxGivenUp {
		h.givenUp = slices.Delete(h.givenUp, 0, 1)
	}
	h.givenUp = append(h.givenUp, p)
}

// noteDone logs that a run ends as done although it was given up, or although its task has another run that is active or has
// ended as done: the task may have run twice. It must be called before the end is applied. The lock is held.
func (s *Scheduler) noteDone(e *jobEntry, p workflow.Placement) {
	if step := p.Task.Step; step < 0 || step >= len(e.workflow.Spec().Steps) {
		return
	}
	if step := e.workflow.Step(p.Task.StepRef); step.LongRunning || step.Speculative {
		return
	}
	history := e.runHistory(p.Task)
	other, kind := e.otherRun(p), ""
	switch {
	case slices.Contains(history.givenUp, p):
		kind = "given_up"
	case other == workflow.Placement{}:
	case other == history.done:
		kind = "other_done"
	default:
		kind = "other_active"
	}
	if kind != "" {
		s.log.Warn("run done beside another run", "task", p.Task.String(), "run", p.Run, "worker", p.Worker, "kind", kind,
			"other_run", other.Run, "other_worker", other.Worker)
	}
	history.done = p
}

// otherRun returns another run of the task that has ended as done, or else one that is active. It is zero if there is none.
func (e *jobEntry) otherRun(p workflow.Placement) workflow.Placement {
	if done := e.runHistory(p.Task).done; done.Run != 0 && done != p {
		return done
	}
	for _, active := range e.workflow.ActiveRuns(p.Task) {
		if active != p {
			return active
		}
	}
	return workflow.Placement{}
}
