package scheduler

import (
	"time"

	"skylarkstall/internal/port"
)

// FillState adds what the leader knows to the state of its process.
func (s *Scheduler) FillState(state *port.ProcessState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	state.IsLeader, state.Workers, state.UnrecordedJobs = true, len(s.keepers), len(s.dirty)
	for _, k := range s.keepers {
		for _, run := range k.worker.Runs() {
			state.Runs++
			if run.Started.IsZero() && !run.Reported {
				state.UnconfirmedStarts++
			}
		}
	}
	state.WaitingTasks = map[int]int{}
	for _, e := range s.open {
		for _, ref := range e.flow.Ready(now) {
			state.WaitingTasks[s.queueOf(e).Priority] += len(e.flow.Waiting(ref))
		}
	}
}
