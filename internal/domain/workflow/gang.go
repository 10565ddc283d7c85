package workflow

// BreakUp returns the active runs of incomplete gangs, each of them once. Members work only while all of one run are active, and
// a gang is placed again only after all of them have ended, so the caller stops these. It must know all runs of the job.
func (w *Workflow) BreakUp() []Placement {
	if w.state.Final() {
		return nil
	}
	var runs []Placement
	for i := range w.spec.Steps {
		if !w.spec.Steps[i].Gang {
			continue
		}
		for k := range w.occurrences {
			if w.occurrences[k].steps[i].isIncomplete() {
				runs = append(runs, w.breakUpStep(StepRef{w.spec.ID, k, i})...)
			}
		}
	}
	return runs
}

// isIncomplete reports whether members of a gang are active, but not all of them in one run.
func (s *stepState) isIncomplete() bool {
	if s.remaining == 0 || s.waiting == len(s.tasks) {
		return false
	}
	var number RunNumber
	for i := range s.tasks {
		for _, a := range s.tasks[i].active {
			if number != 0 && a.run != number {
				return true
			}
			number = a.run
		}
	}
	return s.waiting > 0
}

func (w *Workflow) breakUpStep(ref StepRef) []Placement {
	var runs []Placement
	tasks := w.step(ref).tasks
	for index := range tasks {
		for i := range tasks[index].active {
			if a := &tasks[index].active[i]; !a.stopping {
				a.stopping = true
				runs = append(runs, Placement{RunRef{TaskRef{ref, index}, a.run}, a.worker})
			}
		}
	}
	return runs
}
