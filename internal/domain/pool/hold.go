package pool

import (
	"slices"
	"time"

	"skylarkstall/internal/domain/resource"
	"skylarkstall/internal/domain/workflow"
)

// hold keeps capacity of a worker free for one task of a step, until runs that are being stopped have ended or the other
// members of its gang can start too. It blocks tasks of the same and of lower priorities.
type hold struct {
	step     workflow.StepRef
	size     resource.Vector
	priority int
	until    time.Time
}

// hold keeps capacity free for one more task of the requested step.
func (w *Worker) hold(r *Request, until time.Time) {
	w.dropExpiredHolds(r.Now)
	w.holds = append(w.holds, hold{r.Ref, ReservedSize(r.Step), r.Priority, until})
}

// HoldCount returns for how many tasks of the requested step the worker keeps capacity free.
func (w *Worker) HoldCount(r *Request) int {
	n := 0
	for _, h := range w.holds {
		if h.step == r.Ref && r.Now.Before(h.until) {
			n++
		}
	}
	return n
}

// heldFor returns the capacity that is kept free for tasks of the step.
func (w *Worker) heldFor(r *Request) resource.Vector {
	return ReservedSize(r.Step).Scale(int64(w.HoldCount(r)))
}

// heldFromOthers returns the capacity that is kept free for other steps and that the task must not use.
func (w *Worker) heldFromOthers(r *Request) resource.Vector {
	var held resource.Vector
	for _, h := range w.holds {
		if h.step != r.Ref && h.priority <= r.Priority && r.Now.Before(h.until) {
			held = held.Add(h.size)
		}
	}
	return held
}

func (w *Worker) dropExpiredHolds(now time.Time) {
	w.holds = slices.DeleteFunc(w.holds, func(h hold) bool { return !now.Before(h.until) })
}

// DropHolds ends the holds for the step.
func (w *Worker) DropHolds(step workflow.StepRef) {
	w.holds = slices.DeleteFunc(w.holds, func(h hold) bool { return h.step == step })
}

// useHold ends a hold for a task of the step, which has started.
func (w *Worker) useHold(step workflow.StepRef) {
	if i := slices.IndexFunc(w.holds, func(h hold) bool { return h.step == step }); i >= 0 {
		w.holds = slices.Delete(w.holds, i, i+1)
	}
}
