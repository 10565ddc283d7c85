package pool

import (
	"skylarkstall/internal/domain/account"
	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/workflow"
)

// RunObserver is told of every change of the runs that occupy workers, so that they need not be looked through to know what runs. A run
// that changes its step is removed and added again.
type RunObserver interface {
	// Owner returns the account to which the job of a run belongs, and false as long as neither it nor the size of the run is known.
	Owner(run workflow.RunRef) (account.ID, bool)
	RunAdded(worker ident.WorkerID, run *Run)
	RunRemoved(worker ident.WorkerID, run *Run)
}

// Owner is the account for which a run counts.
type Owner struct {
	Account account.ID // empty if the job belongs to none
	Known   bool       // the job is known, and with it the account and the size of the run
}

// SetObserver sets who is told of changes of the runs. The present runs are removed from the former observer and added to the new one;
// nil ends it, for a worker that is dropped.
func (w *Worker) SetObserver(observer RunObserver) {
	for _, run := range w.runs {
		w.noteRemoved(run)
	}
	w.observer = observer
	for _, run := range w.runs {
		w.noteAdded(run)
	}
}

func (w *Worker) noteAdded(run *Run) {
	if w.observer != nil {
		run.owner.Account, run.owner.Known = w.observer.Owner(run.RunRef)
		w.observer.RunAdded(w.info.ID, run)
	}
}

func (w *Worker) noteRemoved(run *Run) {
	if w.observer != nil {
		w.observer.RunRemoved(w.info.ID, run)
	}
}

// Owner returns the account for which the run was counted when it was last added.
func (r *Run) Owner() Owner { return r.owner }
