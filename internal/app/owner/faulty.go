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

// observe takes the end of a task as evidence about its worker and its kind. Ends that the system or the caller caused
// say nothing about either.
func (s *Service) observe(k *keeper, name string, outcome work.Outcome) {
	now, kind := time.Now(), kindOf(outcome.Task, name)
	wasOnProbation, wasStopped := s.Health.OnProbation(now, k.id), s.Health.KindStopped(now, kind)
	switch {
	case outcome.OK:
		s.Health.RecordSuccess(k.id, kind)
	case outcome.Evicted() || outcome.Message == work.StoppedMessage:
		return
	default:
		s.Health.RecordFailure(now, k.id, kind, outcome.Task.Work)
	}
	if on := s.Health.OnProbation(now, k.id); on != wasOnProbation {
		s.Log.Warn("probation of a worker changed", "worker", k.id, "probation", on)
		s.record(timeline.Probation, ident.TaskID{}, k.id, onOff(on))
	}
	if stopped := s.Health.KindStopped(now, kind); stopped != wasStopped {
		s.Log.Warn("a kind of work was stopped or resumed", "team", kind.Team, "kind", kind.Name, "stopped", stopped)
		s.record(timeline.KindStopped, outcome.Task, k.id, kind.Name+" "+onOff(stopped))
	}
	s.restrict(k, now)
}

func onOff(on bool) string {
	if on {
		return "on"
	}
	return "off"
}

// restrict tells the worker's aggregate how many tasks it may hold.
func (s *Service) restrict(k *keeper, now time.Time) {
	switch {
	case !s.Health.OnProbation(now, k.id):
		k.worker.Restrict(worker.Unrestricted)
	case s.Health.MayProbe(now, k.id):
		k.worker.Restrict(worker.ProbesOnly)
	default:
		k.worker.Restrict(worker.NoTasks)
	}
}
