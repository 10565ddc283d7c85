package pool

import (
	"slices"

	"skylarkstall/internal/domain/workflow"
)

// runList holds the runs on a worker in the order in which they were added. Placement walks it for every waiting step, and a worker has
// few runs, so that a list is faster than a map.
type runList []*Run

// find returns the run, or nil if it is not on the worker.
func (l runList) find(ref workflow.RunRef) *Run {
	for _, run := range l {
		if run.Run == ref.Run && run.Task == ref.Task {
			return run
		}
	}
	return nil
}

// without returns the list without the run.
func (l runList) without(run *Run) runList {
	i := slices.Index(l, run)
	return slices.Delete(l, i, i+1)
}
