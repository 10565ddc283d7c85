package workflow

import "slices"

// Progress is the part of a job's state that is recorded in the store, so that it survives a change of the leader: the
// ends that were acknowledged to workers, checkpoints and the caller's cancellation.
type Progress struct {
	State State
	Steps []StepProgress // steps without progress are left out
}

// StepProgress is the progress of one step of one occurrence.
type StepProgress struct {
	Occurrence int
	Step       int
	Failed     []RunNumber // failed runs of a gang
	Tasks      []TaskProgress
}

// TaskProgress is the progress of one task. Tasks without progress are left out.
type TaskProgress struct {
	Index      int
	Done       bool
	Failed     []RunNumber // failed runs
	Crashed    []RunNumber // runs under which a worker crashed
	InDoubt    []RunNumber // runs that were given up on a silent worker
	Checkpoint string
}

// Progress returns the progress to record.
func (w *Workflow) Progress() Progress {
	p := Progress{State: w.State()}
	for k := range w.occurrences {
		for i := range w.occurrences[k].steps {
			if step := w.occurrences[k].steps[i].progress(k, i); step != nil {
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
		if t.done || len(t.failed) > 0 || len(t.crashed) > 0 || len(t.inDoubt) > 0 || t.checkpoint != "" {
			p.Tasks = append(p.Tasks, TaskProgress{
				Index: i, Done: t.done, Failed: slices.Clone(t.failed), Crashed: slices.Clone(t.crashed),
				InDoubt: slices.Clone(t.inDoubt), Checkpoint: t.checkpoint,
			})
		}
	}
	if len(p.Tasks) == 0 && len(p.Failed) == 0 {
		return nil
	}
	return p
}

// Restore applies recorded progress to a new Workflow.
func (w *Workflow) Restore(p Progress) {
	w.started = p.State != Pending
	for _, step := range p.Steps {
		if step.Occurrence < 0 || step.Occurrence >= len(w.occurrences) || step.Step < 0 || step.Step >= len(w.spec.Steps) {
			continue // not a record of this job
		}
		ref := StepRef{w.spec.ID, step.Occurrence, step.Step}
		w.step(ref).failed = step.Failed
		for _, t := range step.Tasks {
			w.restoreTask(TaskRef{ref, t.Index}, t)
		}
	}
	w.completeIfDone()
	if p.State.Final() {
		w.setState(p.State)
	}
}

func (w *Workflow) restoreTask(ref TaskRef, p TaskProgress) {
	t := w.task(ref)
	if t == nil {
		return
	}
	t.failed, t.crashed, t.inDoubt, t.checkpoint = p.Failed, p.Crashed, p.InDoubt, p.Checkpoint
	for _, run := range slices.Concat(p.Failed, p.Crashed, p.InDoubt) {
		t.lastRun = max(t.lastRun, run)
	}
	if p.Done {
		w.markDone(ref)
	}
}
