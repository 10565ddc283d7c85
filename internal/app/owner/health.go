package owner

import (
	"time"

	"skylarkstall/internal/domain/health"
	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/timeline"
	"skylarkstall/internal/domain/work"
	"skylarkstall/internal/domain/worker"
)

func kindOf(task ident.TaskID, name string) health.Kind {
	return health.Kind{Team: task.Work.Team, Name: name}
}

// recordHealth records the end of a task as a success or failure of its worker and its kind. Ends caused by the system
// or the caller are ignored: they indicate nothing about either.
func (s *Service) recordHealth(m *workerManager, name string, outcome work.Outcome) {
	now, kind := time.Now(), kindOf(outcome.Task, name)
	wasOnProbation, wasStopped := s.Health.OnProbation(now, m.id), s.Health.KindStopped(now, kind)
	switch {
	case outcome.OK:
		s.Health.RecordSuccess(m.id, kind)
	case outcome.Evicted() || outcome.Message == work.StoppedMessage:
		return
	default:
		s.Health.RecordFailure(now, m.id, kind, outcome.Task.Work)
	}
	if on := s.Health.OnProbation(now, m.id); on != wasOnProbation {
		s.Log.Warn("worker probation changed", "worker", m.id, "probation", on)
		s.recordEvent(timeline.Probation, ident.TaskID{}, m.id, onOff(on))
	}
	if stopped := s.Health.KindStopped(now, kind); stopped != wasStopped {
		s.Log.Warn("kind of task stopped or resumed", "team", kind.Team, "kind", kind.Name, "stopped", stopped)
		s.recordEvent(timeline.KindStopped, outcome.Task, m.id, kind.Name+" "+onOff(stopped))
	}
	s.updateRestriction(m, now)
}

func onOff(on bool) string {
	if on {
		return "on"
	}
	return "off"
}

// updateRestriction sets in the worker's aggregate how many tasks it accepts while on probation.
func (s *Service) updateRestriction(m *workerManager, now time.Time) {
	switch {
	case !s.Health.OnProbation(now, m.id):
		m.worker.Restrict(worker.Unrestricted)
	case s.Health.MayProbe(now, m.id):
		m.worker.Restrict(worker.ProbesOnly)
	default:
		m.worker.Restrict(worker.NoTasks)
	}
}
