package scheduler

import (
	"time"

	"skylarkstall/internal/port"
)

// Show fills in the part of the process state that only the leader knows.
func (s *Scheduler) Show(state *port.CellState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	state.Leads, state.Workers, state.Unrecorded = true, len(s.monitors), len(s.dirty)
	for _, m := range s.monitors {
		for _, run := range m.worker.Runs() {
			state.Runs++
			if run.Started.IsZero() && !run.Listed {
				state.Doubtful++
			}
		}
	}
	state.Waiting = map[int]int{}
	for _, e := range s.openJobs {
		for _, ref := range e.flow.Ready(now) {
			state.Waiting[s.queueOf(e).Priority] += len(e.flow.Waiting(ref))
		}
	}
}
