package scheduler

import (
	"time"

	"skylarkstall/internal/port"
)

// FillState fills in the part of the process state that only the leader knows.
func (s *Scheduler) FillState(state *port.ProcessState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	state.IsLeader, state.Workers, state.UnrecordedJobs = true, len(s.monitors), len(s.dirty)
	for _, m := range s.monitors {
		for _, run := range m.worker.Runs() {
			state.Runs++
			if run.Started.IsZero() && !run.Reported {
				state.UnconfirmedStarts++
			}
		}
	}
	state.WaitingTasks = map[int]int{}
	for _, e := range s.openJobs {
		for _, ref := range e.workflow.Ready(now) {
			state.WaitingTasks[s.queueOf(e).Priority] += len(e.workflow.Waiting(ref))
		}
	}
}
