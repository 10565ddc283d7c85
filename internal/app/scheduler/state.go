package scheduler

import (
	"time"

	"skylarkstall/internal/domain/objective"
	"skylarkstall/internal/domain/workflow"
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
	state.RoomWaits, state.RackWaits = s.roomByPriority(), s.near.counts
	state.PlacementBehind, state.LateFor = s.progress.Behind(), s.term.Lateness.For(now)
	state.StartLimit, state.StartsInProgress, state.DroppedStarts = s.starts.Max(false), s.startsInProgress, s.starts.Dropped()
	state.StartRate, state.AskedRate = s.demand.shedder.Rates()
	state.Shedding = s.sheddingByPriority()
	state.Accounts = s.limits.states()
	state.WaitingTasks, state.Queues = map[int]int{}, map[string]port.QueueState{}
	for _, e := range s.openJobs {
		queue := s.queueOf(e)
		ready := e.workflow.Ready(now)
		if len(ready) == 0 {
			continue
		}
		known, standing := state.Queues[queue.Name], objective.InTime
		for _, ref := range ready {
			waiting := e.workflow.WaitingCount(ref)
			state.WaitingTasks[queue.Priority] += waiting
			known.WaitingTasks += waiting
			known.OldestWait = max(known.OldestWait, e.waitOf(ref, now))
			outlook := e.outlook(ref, &queue, now)
			standing = max(standing, outlook.standing)
			if outlook.rank.BehindForExcess() {
				known.ExcessSteps++
			}
		}
		if e.plan != nil {
			known.Standings[standing]++
		}
		state.Queues[queue.Name] = known
	}
}

// waitOf returns for how long a ready step has had tasks to start, and 0 if no pass of placement has noticed it yet.
func (e *jobEntry) waitOf(ref workflow.StepRef, now time.Time) time.Duration {
	step := e.steps[ref]
	if step == nil || step.wait.since.IsZero() {
		return 0
	}
	return now.Sub(step.wait.since)
}
