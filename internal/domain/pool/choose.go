package pool

import (
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/workflow"
)

// silentLimit is how long a worker may be silent before it gets no further start. Looks come back at least once a
// second.
const silentLimit = 1800 * time.Millisecond

// absentLimit is how long a worker that is missing from the list still gets starts. Entries vanish while the store is
// away and are back within two seconds of its return.
const absentLimit = 2500 * time.Millisecond

// Request is what a task asks of a worker.
type Request struct {
	Ref     workflow.StepRef
	Step    *workflow.Step
	Service string
	Avoid   map[ident.WorkerID]bool // workers on which an earlier run of the task failed
	Urgent  bool
	Now     time.Time
}

// filter reports whether a worker may run the task.
type filter func(*Worker, *Request) bool

var filters = []filter{sameService, alive, notDraining, labelled, withinSpread, healthy, fits}

func sameService(w *Worker, r *Request) bool { return w.entry.Service == r.Service }

func alive(w *Worker, r *Request) bool {
	return w.seen && w.clock.known && w.SilentFor(r.Now) < silentLimit && w.MissingFor(r.Now) < absentLimit
}

func notDraining(w *Worker, _ *Request) bool { return !w.entry.Draining }

func labelled(w *Worker, r *Request) bool {
	return r.Step.RequiredLabel == "" || w.HasLabel(r.Step.RequiredLabel)
}

func withinSpread(w *Worker, r *Request) bool {
	return r.Step.MaxPerWorker == 0 || w.CountRuns(r.Ref) < r.Step.MaxPerWorker
}

func healthy(w *Worker, r *Request) bool { return !w.InBackoff(r.Now) && !r.Avoid[w.entry.ID] }

func fits(w *Worker, r *Request) bool { return w.Fits(r.Step) }

// Eligible reports whether a task may start on the worker now.
func (w *Worker) Eligible(r *Request) bool {
	for _, passes := range filters {
		if !passes(w, r) {
			return false
		}
	}
	return true
}

// Weights of the scores; a lower sum is better.
const (
	weightLoad  = 1.0
	weightData  = 0.6 // away from the data
	weightShare = 0.5 // runs that fill beside runs that serve
	weightSpeed = 0.1 // twice the time for a task
	// weightUrgentSpeed lets urgent work have the fast workers, also fuller ones.
	weightUrgentSpeed = 0.5
)

// Score rates a worker for the task; lower is better.
func (w *Worker) Score(r *Request) float64 {
	speed := weightSpeed
	if r.Urgent {
		speed = weightUrgentSpeed
	}
	return weightLoad*load(w, r) + weightData*away(w, r) + weightShare*disturbance(w, r) + speed*slowness(w, r)
}

func load(w *Worker, r *Request) float64 {
	after := w.used.Add(size(r.Step))
	share := after.DominantShare(w.entry.Capacity)
	if r.Step.BestEffort && w.entry.Capacity.MilliCores > 0 {
		share += float64(w.filling+r.Step.Size.MilliCores) / float64(w.entry.Capacity.MilliCores)
	}
	return share
}

func away(w *Worker, r *Request) float64 {
	if r.Step.DataRack == "" || w.entry.Rack == r.Step.DataRack || w.HasLabel(r.Step.DataRack) {
		return 0
	}
	return 1
}

func disturbance(w *Worker, r *Request) float64 {
	switch {
	case r.Step.BestEffort && w.serving > 0:
		return 1
	case serves(r.Step) && w.fillers > 0:
		return 1
	default:
		return 0
	}
}
