package scheduler

import (
	"slices"
	"time"

	"skylarkstall/internal/domain/workflow"
)

// placeGang places all tasks of a gang or none.
func (s *Scheduler) placeGang(c candidate, waiting []int, now time.Time) ([]launch, int) {
	step := c.entry.workflow.Step(c.ref)
	first := workflow.TaskRef{StepRef: c.ref}
	if len(waiting) < step.Count || !c.entry.workflow.HasAttemptsLeft(first, c.queue.MaxAttempts) {
		return nil, 0 // members of an earlier run are still active, or no attempts are left
	}
	for _, index := range waiting {
		if c.entry.mustNotStart(workflow.TaskRef{StepRef: c.ref, Index: index}) {
			return nil, 0
		}
	}
	run := c.entry.workflow.NextRun(first, s.runNumberFloor())
	for _, rack := range s.racks(step) {
		if launches := s.tryGang(c, run, rack, now); launches != nil {
			return launches, 0
		}
	}
	return nil, step.Count
}

// racks returns the racks to try for a gang, in order; the empty string means any rack.
func (s *Scheduler) racks(step *workflow.Step) []string {
	if !step.SameRack {
		return []string{""}
	}
	var racks []string
	for _, m := range s.monitors {
		if rack := m.worker.Info().Rack; !slices.Contains(racks, rack) {
			racks = append(racks, rack)
		}
	}
	slices.Sort(racks)
	if at, ok := slices.BinarySearch(racks, step.DataRack); ok && s.settings.RemoteFactor > 1 {
		racks = slices.Insert(slices.Delete(racks, at, at+1), 0, step.DataRack)
	}
	return append(racks, "")
}

// tryGang places all tasks of a gang on one rack, or on any rack if it is empty. It returns nil if they do not all fit.
func (s *Scheduler) tryGang(c candidate, run workflow.RunNumber, rack string, now time.Time) []launch {
	var launches []launch
	for index := range c.entry.workflow.Step(c.ref).Count {
		task := workflow.TaskRef{StepRef: c.ref, Index: index}
		l, ok := s.reserve(c, workflow.RunRef{Task: task, Run: run}, rack, now)
		if !ok {
			for _, l := range launches {
				l.monitor.worker.CancelReservation(l.request.RunRef)
				c.entry.workflow.DropRun(l.request.RunRef, l.target.Worker)
			}
			return nil
		}
		launches = append(launches, l)
	}
	return launches
}
