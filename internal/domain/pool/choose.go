package pool

import (
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/workflow"
)

// silenceLimit is how long a worker may go without a response before it gets no further starts. A reachable worker
// answers a sync at least once a second.
const silenceLimit = 1800 * time.Millisecond

// missingLimit is how long a worker that is missing from the worker list still gets starts. Entries disappear while the
// store is unavailable, and reappear within two seconds after it has recovered.
const missingLimit = 2500 * time.Millisecond

// Request describes a task to place.
type Request struct {
	Ref        workflow.StepRef
	Step       *workflow.Step
	Service    string
	Avoid      map[ident.WorkerID]bool // workers on which an earlier run of the task failed or stalled
	Waited     time.Duration           // for how long the step has had tasks that no worker could take
	LastChoice bool                    // also use workers on which runs have failed
	Crashes    int                     // number of workers that crashed under the task
	Priority   int                     // of the queue; 0 is the highest
	// RemoteFactor is how many times as long the task takes off the rack with its data; 0 if that is not known.
	RemoteFactor float64
	Now          time.Time
}

// Rejection is the reason for which a worker may not run a task.
type Rejection string

// The reasons for which a worker may not run a task. The empty string means that it may.
const (
	NotRejected   Rejection = ""
	OtherService  Rejection = "service"
	NotListed     Rejection = "not_listed" // the worker list does not describe its present incarnation
	NotFenced     Rejection = "not_fenced" // it has restarted, and requests to its earlier life may still take effect
	Unresponsive  Rejection = "unresponsive"
	Unsteady      Rejection = "unsteady" // it crashed before, and has not been up for long enough since
	Draining      Rejection = "draining"
	NoLabel       Rejection = "label"
	AtMaxOfStep   Rejection = "max_per_worker"
	NotPreferred  Rejection = "failures" // runs have failed on it
	TooSmall      Rejection = "size"     // the task does not fit on the worker without its runs
	NoCapacity    Rejection = "capacity"
	HeldForOthers Rejection = "held" // free capacity is kept for other steps
)

// filter reports whether a worker may run the task.
type filter struct {
	passes    func(*Worker, *Request) bool
	rejection Rejection
}

var filters = []filter{
	{sameService, OtherService},
	{listed, NotListed},
	{fenced, NotFenced},
	{responsive, Unresponsive},
	{steady, Unsteady},
	{notDraining, Draining},
	{hasRequiredLabel, NoLabel},
	{withinMaxPerWorker, AtMaxOfStep},
	{preferred, NotPreferred},
}

func sameService(w *Worker, r *Request) bool { return w.info.Service == r.Service }

// listed reports whether the worker list describes the worker. The next incarnation of a worker may be of another kind.
func listed(w *Worker, _ *Request) bool {
	known, described := w.info.Incarnation, w.describedIncarnation
	return !w.neverListed && (known == described || known == 0 || described == 0)
}

func responsive(w *Worker, r *Request) bool {
	return w.synced && !w.unreached && w.clock.known && w.SilentFor(r.Now) < silenceLimit && w.MissingFor(r.Now) < missingLimit
}

func notDraining(w *Worker, _ *Request) bool { return !w.info.Draining }

func hasRequiredLabel(w *Worker, r *Request) bool {
	return r.Step.RequiredLabel == "" || w.HasLabel(r.Step.RequiredLabel)
}

func withinMaxPerWorker(w *Worker, r *Request) bool {
	return r.Step.MaxPerWorker == 0 || w.CountRuns(r.Ref) < r.Step.MaxPerWorker
}

func fits(w *Worker, r *Request) bool {
	return ReservedSize(r.Step).Fits(w.Free().Sub(w.heldFromOthers(r)))
}

// Eligible reports whether a task may start on the worker now.
func (w *Worker) Eligible(r *Request) bool { return fits(w, r) && w.passesExceptFits(r) }

func (w *Worker) passesExceptFits(r *Request) bool {
	return w.filteredBy(r) == NotRejected
}

// filteredBy returns the reason of the first filter that the worker does not pass.
func (w *Worker) filteredBy(r *Request) Rejection {
	for i := range filters {
		if !filters[i].passes(w, r) {
			return filters[i].rejection
		}
	}
	return NotRejected
}

// Rejection returns the reason for which a task may not start on the worker now, or NotRejected if Eligible. Reasons that
// last longer take precedence over a lack of capacity.
func (w *Worker) Rejection(r *Request) Rejection {
	size := ReservedSize(r.Step)
	reason := w.filteredBy(r)
	switch {
	case reason != NotRejected && reason != NotPreferred:
		return reason
	case !size.Fits(w.info.Capacity):
		return TooSmall
	case !size.Fits(w.Free()):
		return NoCapacity
	case !fits(w, r):
		return HeldForOthers
	default:
		return reason
	}
}

// Weights of the components of a score; the lowest sum wins.
const (
	weightUnused       = 1.0
	weightDataRack     = 0.6 // the worker is not on the rack that holds the task's data
	weightInterference = 0.5 // best-effort runs share the worker with runs that have a latency target
	weightSpeed        = 0.1 // per unit of slowdown: 1 means twice the ordinary duration
	// weightUrgentSpeed prefers fast workers for urgent tasks, whatever their load: one task on a worker that takes twice as long makes its
	// whole job late.
	weightUrgentSpeed = 2.0
	weightFailures    = 1000.0 // runs have failed on the worker: the last choice
	weightSuspicion   = 100.0  // a crash of the worker would not show its cause
)

// Score returns the cost of placing the task on the worker; lower is better.
func (w *Worker) Score(r *Request) float64 {
	speed := weightSpeed
	if r.Priority == 0 {
		speed = weightUrgentSpeed
	}
	return weightUnused*unused(w, r) + dataRackWeight(r)*offDataRack(w, r) +
		weightInterference*interference(w, r) + speed*slowdown(w, r) + weightFailures*failures(w, r) +
		weightSuspicion*blursSuspicion(w, r)
}

// unused returns the share of the worker that is still unused with the task. Full workers come first, so that others
// stay empty enough for large tasks, which find no worker when the free capacity is spread evenly. Best-effort tasks live
// on unused capacity and are spread. A task that may crash the worker goes where it ends the least other work.
func unused(w *Worker, r *Request) float64 {
	after := w.used.Add(ReservedSize(r.Step))
	share := after.DominantShare(w.info.Capacity)
	if r.Crashes > 0 {
		return share
	}
	if !r.Step.BestEffort {
		return 1 - share
	}
	if w.info.Capacity.MilliCores > 0 {
		share += float64(w.bestEffortMilliCores+r.Step.Size.MilliCores) / float64(w.info.Capacity.MilliCores)
	}
	return share
}

func offDataRack(w *Worker, r *Request) float64 {
	if w.IsNear(r.Step) {
		return 0
	}
	return 1
}

// IsNear reports whether the worker is on the rack that holds the data of the step, or the step has none.
func (w *Worker) IsNear(step *workflow.Step) bool {
	return step.DataRack == "" || w.info.Rack == step.DataRack || w.HasLabel(step.DataRack)
}

// dataRackWeight returns the weight of a place off the rack with the task's data. Where it is known how much longer the task takes there, that
// counts as it does on a slow worker, so that a worker of the rack with room wins unless it is as slow.
func dataRackWeight(r *Request) float64 {
	longer := max(r.RemoteFactor-1, 0)
	if r.Priority == 0 {
		longer *= weightUrgentSpeed
	}
	return max(weightDataRack, longer)
}

func interference(w *Worker, r *Request) float64 {
	switch {
	case r.Step.BestEffort && w.latencyRuns > 0:
		return 1
	case hasLatencyTarget(r.Step) && w.bestEffortRuns > 0:
		return 1
	default:
		return 0
	}
}
