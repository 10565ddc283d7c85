package scheduler

import (
	"time"

	"skylarkstall/internal/port"
)

// FillState adds what the leader knows to the state of its process.
func (s *Scheduler) FillState(state *port.CellState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	state.Leads, state.Workers, state.Unrecorded = true, len(s.keepers), len(s.dirty)
	for _, k := range s.keepers {
		for _, run := range k.worker.Runs() {
			state.Runs++
			if run.Started.IsZero() && !run.Reported {
				state.Doubtful++
			}
		}
	}
	state.Waiting = map[int]int{}
	for _, e := range s.open {
		for _, ref := range e.flow.Ready(now) {
			state.Waiting[s.queueOf(e).Priority] += len(e.flow.Waiting(ref))
		}
	}
}
