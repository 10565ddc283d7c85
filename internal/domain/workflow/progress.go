package workflow

import "slices"

// Progress is what outlives a leader: the ends that were acknowledged to workers and the caller's cancellation.
type Progress struct {
	State State
	Steps []StepProgress // only of steps of which something has ended
}

// StepProgress is the part of one step of one occurrence.
type StepProgress struct {
	Occurrence int
	Step       int
	Failed     []RunNumber // runs of a gang that failed
	Tasks      []TaskProgress
}

// TaskProgress is the part of one task. Tasks of which nothing has ended are left out.
type TaskProgress struct {
	Index      int
	Done       bool
	Failed     []RunNumber // runs that failed
	Checkpoint string
}

// Progress returns what has to be recorded.
func (w *Workflow) Progress() Progress {
	p := Progress{State: w.State()}
	for k := range w.rounds {
		for i := range w.rounds[k].steps {
			if step := w.rounds[k].steps[i].progress(k, i); step != nil {
				p.Steps = append(p.Steps, *step)
			}
		}
	}
	return p
}

func (s *stepState) progress(occurrence, step int) *StepProgress {
	p := &StepProgress{Occurrence: occurrence, Step: step, Failed: slices.Clone(s.failed)}
	for i := range s.tasks {
		t := &s.tasks[i]
		if t.done || len(t.failed) > 0 || t.checkpoint != "" {
			p.Tasks = append(p.Tasks, TaskProgress{i, t.done, slices.Clone(t.failed), t.checkpoint})
		}
	}
	if len(p.Tasks) == 0 && len(p.Failed) == 0 {
		return nil
	}
	return p
}

// Restore applies recorded progress to a job of which nothing has run.
func (w *Workflow) Restore(p Progress) {
	w.started = p.State != Pending
	for _, step := range p.Steps {
		if step.Occurrence >= len(w.rounds) || step.Step >= len(w.spec.Steps) {
			continue
		}
		ref := StepRef{w.spec.ID, step.Occurrence, step.Step}
		w.step(ref).failed = step.Failed
		for _, t := range step.Tasks {
			w.restoreTask(TaskRef{ref, t.Index}, t)
		}
	}
	w.complete()
	if p.State.Final() {
		w.state = p.State
	}
}

func (w *Workflow) restoreTask(ref TaskRef, p TaskProgress) {
	t := w.task(ref)
	if t == nil {
		return
	}
	t.failed, t.checkpoint = p.Failed, p.Checkpoint
	for _, run := range p.Failed {
		t.last = max(t.last, run)
	}
	if p.Done {
		w.markDone(ref)
	}
}
