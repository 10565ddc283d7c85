package scheduler

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"skylarkstall/internal/domain/admission"
	"skylarkstall/internal/domain/route"
	"skylarkstall/internal/domain/workflow"
	"skylarkstall/internal/port"
)

// startDemand holds what the leader knows of the tasks that it starts and of those that are asked of it.
type startDemand struct {
	shedder admission.Shedder
	started int                      // starts that were answered since the last observation
	intake  map[int]admission.Intake // since the last observation, by priority
}

// countIntake counts the tasks of a job that was announced. The lock is held.
func (s *Scheduler) countIntake(job *port.AcceptedJob) {
	tasks := 0
	for i := range job.Spec.Steps {
		tasks += job.Spec.Steps[i].Count
	}
	if s.demand.intake == nil {
		s.demand.intake = map[int]admission.Intake{}
	}
	intake := s.demand.intake[job.Queue.Priority]
	if isSheddable(&job.Queue, &job.Spec) {
		intake.Sheddable += tasks
	} else {
		intake.Other += tasks
	}
	s.demand.intake[job.Queue.Priority] = intake
}

// isSheddable reports whether the job loses its use by waiting, so that it may be refused for that.
func isSheddable(queue *route.Queue, spec *workflow.Spec) bool {
	return admission.LongestChain(spec).LatestStart(queue.Objective, 0) > 0
}

// observeStarts compares what the leader starts with what is asked of it. The lock is held.
func (s *Scheduler) observeStarts(now time.Time) {
	demand := &s.demand
	config := s.table.Config()
	changed := demand.shedder.Observe(now, demand.started, demand.intake, s.startBacklogs(&config, now), s.accounted && s.progress.Behind())
	demand.started, demand.intake = 0, nil
	if !changed {
		return
	}
	starts, asked := demand.shedder.Rates()
	log := s.log.With("starts_per_s", int(starts), "asked_per_s", int(asked), "by_priority", describeShedding(s.sheddingByPriority()))
	if demand.shedder.Active() {
		log.Warn("leader starts less than is asked")
	} else {
		log.Info("leader starts what is asked again")
	}
}

// stateShedding adds to the statement which part of the jobs is refused because the leader starts less than is asked. The lock is held.
func (s *Scheduler) stateShedding(config *route.Config) {
	if !s.demand.shedder.Active() {
		return
	}
	for i := range config.Queues {
		queue := &config.Queues[i]
		s.room.stated.SetShedding(admission.Level{Service: queue.Service, Priority: queue.Priority}, s.demand.shedder.Shedding(queue.Priority))
	}
}

// startBacklogs returns the tasks that passes of placement have not reached lately, and for how long tasks may wait, by priority. The lock
// is held.
func (s *Scheduler) startBacklogs(config *route.Config, now time.Time) []admission.StartBacklog {
	backlogs := map[int]*admission.StartBacklog{}
	at := func(priority int) *admission.StartBacklog {
		if backlogs[priority] == nil {
			backlogs[priority] = &admission.StartBacklog{Priority: priority}
		}
		return backlogs[priority]
	}
	for i := range config.Queues {
		queue := &config.Queues[i]
		b, wait := at(queue.Priority), s.tolerableWait(queue)
		if wait > 0 && (b.MaxWait == 0 || wait < b.MaxWait) {
			b.MaxWait = wait
		}
	}
	for _, c := range s.queue.steps.Steps() {
		if c.step.wait.untriedFor(now) >= roomInterval {
			at(c.queue.Priority).Tasks += c.entry.workflow.WaitingCount(c.ref)
		}
	}
	list := make([]admission.StartBacklog, 0, len(backlogs))
	for _, b := range backlogs {
		list = append(list, *b)
	}
	return list
}

// tolerableWait returns how long a task of a queue may wait while its job remains in time if it is of one step; 0 if the queue has no
// objective. The lock is held.
func (s *Scheduler) tolerableWait(queue *route.Queue) time.Duration {
	if !queue.Objective.IsSet() {
		return 0
	}
	stretch := max(queue.Objective.Stretch-1, 0)
	return max(queue.Objective.Slack, 0) + time.Duration(stretch*float64(s.history(queue.Name).Typical()))
}

// sheddingByPriority returns how new jobs of each priority are treated. The lock is held.
func (s *Scheduler) sheddingByPriority() map[int]admission.Shedding {
	shedding := map[int]admission.Shedding{}
	config := s.table.Config()
	for i := range config.Queues {
		priority := config.Queues[i].Priority
		shedding[priority] = s.demand.shedder.Shedding(priority)
	}
	return shedding
}

func describeShedding(shedding map[int]admission.Shedding) string {
	var parts []string
	for priority, s := range shedding {
		parts = append(parts, fmt.Sprintf("%d: wait %v, refused %.2f", priority, s.Wait.Round(time.Millisecond), s.Refused))
	}
	slices.Sort(parts)
	return strings.Join(parts, "; ")
}
