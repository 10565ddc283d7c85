package pool

import (
	"slices"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/resource"
	"skylarkstall/internal/domain/workflow"
	"skylarkstall/internal/fault"
)

// WorkerInfo is what a worker says of itself in the list of workers.
type WorkerInfo struct {
	ID          ident.WorkerID
	Address     string // host:port
	Service     string
	Zone        ident.Zone
	Rack        string
	Labels      []string // kind and rack among them
	Capacity    resource.Vector
	Draining    bool
	Incarnation int64         // Unix milliseconds of its start; another value is another life
	DrainTime   time.Duration // least time left while it drains
}

// Run is a run that counts against the room of a worker.
type Run struct {
	workflow.RunRef
	Step         workflow.Step
	Reported     bool      // the worker has listed it as running
	Started      time.Time // when the worker answered the start, or first listed the run; zero before
	StopAcked    time.Time // when the worker answered a stop; zero before
	Partial      bool      // it went on from a checkpoint, or its start is not known
	SpeedPercent int       // share of its speed at which it may work
	reading      time.Duration
	progress     int       // percent of its work
	advanced     time.Time // when the progress last changed
	first        time.Time // when it was first listed
	over         time.Time // since when its response times are over the target; zero while they are not
}

// Worker is the aggregate of one life of a worker. It is not safe for concurrent use.
type Worker struct {
	entry    WorkerInfo
	missing  time.Time // since when the list lacks the entry; zero while it is there
	runs     map[workflow.RunRef]*Run
	used     resource.Vector
	fillers  int   // runs that fill
	filling  int64 // thousandths of a core that they want
	serving  int   // long-running runs with a target
	clock    clock
	horizon  time.Duration // latest hold that was sent, on the worker's clock
	answered time.Time     // when it last answered
	seen     bool          // it has answered under this term
	failures int           // runs that failed on it in a row, of distinct jobs
	lastFail workflow.ID
	nextTry  time.Time // no start before, after failures in a row
	speed    float64   // against other workers
}

// NewWorker returns a worker that has not answered yet.
func NewWorker(entry WorkerInfo) *Worker {
	return &Worker{entry: entry, runs: map[workflow.RunRef]*Run{}, speed: 1}
}

// Info returns what the worker says of itself.
func (w *Worker) Info() WorkerInfo { return w.entry }

// UpdateInfo takes a newer entry of the same worker.
func (w *Worker) UpdateInfo(entry WorkerInfo) { w.entry, w.missing = entry, time.Time{} }

// MarkMissing notes that a reading of the list lacks the worker.
func (w *Worker) MarkMissing(now time.Time) {
	if w.missing.IsZero() {
		w.missing = now
	}
}

// MissingFor returns for how long the list has lacked the worker.
func (w *Worker) MissingFor(now time.Time) time.Duration {
	if w.missing.IsZero() {
		return 0
	}
	return now.Sub(w.missing)
}

// Synced reports whether the worker has answered under this term.
func (w *Worker) Synced() bool { return w.seen }

// ObserveClock notes a reading of the worker's clock.
func (w *Worker) ObserveClock(reading time.Duration, sent, received time.Time) {
	w.clock.observe(reading, sent, received)
	w.answered = received
}

// MarkSynced notes that the worker has listed its runs under this term.
func (w *Worker) MarkSynced() { w.seen = true }

// SilentFor returns how long the worker has not answered.
func (w *Worker) SilentFor(now time.Time) time.Duration { return now.Sub(w.answered) }

// ExtendLease returns the end of a hold of the given length on the worker's clock, and false while the clock is unknown.
// The hold counts as sent.
func (w *Worker) ExtendLease(hold time.Duration, now time.Time) (time.Duration, bool) {
	if !w.clock.known {
		return 0, false
	}
	until := (w.clock.estimate(now) + hold).Truncate(time.Millisecond)
	w.horizon = max(w.horizon, until)
	return until, true
}

// LeaseExpired reports whether every hold that may have reached the worker has run out, so that nothing runs on it.
func (w *Worker) LeaseExpired(now time.Time) bool {
	return w.clock.known && w.clock.least(now) > w.horizon+holdMargin
}

// ResetAfterRestart begins another life of the worker. Orders that were on their way may hold it until the horizon, on its new
// clock. The caller releases the runs that the last life took with it.
func (w *Worker) ResetAfterRestart(born int64, horizon time.Duration) {
	w.entry.Incarnation, w.clock, w.horizon, w.speed = born, clock{}, horizon, 1
}

// Runs returns the runs that count against the worker's room.
func (w *Worker) Runs() []*Run {
	runs := make([]*Run, 0, len(w.runs))
	for _, run := range w.runs {
		runs = append(runs, run)
	}
	return runs
}

// Run returns a run that counts against the worker's room, or nil.
func (w *Worker) Run(ref workflow.RunRef) *Run { return w.runs[ref] }

// size returns what a run takes of the worker's room.
func size(step *workflow.Step) resource.Vector {
	s := step.Size
	if step.BestEffort {
		s.MilliCores = 0
	}
	return s
}

// Free returns the room that is left; a part is negative after the worker was found overfull.
func (w *Worker) Free() resource.Vector { return w.entry.Capacity.Sub(w.used) }

// Fits reports whether a task of the step has room.
func (w *Worker) Fits(step *workflow.Step) bool { return size(step).Fits(w.Free()) }

// Reserve takes room for a run. It fails with NoCapacity.
func (w *Worker) Reserve(ref workflow.RunRef, step *workflow.Step) error {
	if w.runs[ref] != nil {
		return nil
	}
	if !w.Fits(step) {
		return fault.New(fault.NoCapacity, "worker %s has no room for %s", w.entry.ID, ref.Task)
	}
	w.add(ref, step)
	return nil
}

// Adopt takes a run that the worker lists, whether it fits or not. Its pace is not known.
func (w *Worker) Adopt(ref workflow.RunRef, step *workflow.Step) {
	if w.runs[ref] == nil {
		w.add(ref, step)
		w.runs[ref].SpeedPercent, w.runs[ref].Partial = unknownSpeed, true
	}
}

// SetStep gives a run that was adopted without its step the room that it takes.
func (w *Worker) SetStep(ref workflow.RunRef, step *workflow.Step) {
	run := w.runs[ref]
	if run == nil {
		return
	}
	w.used = w.used.Sub(size(&run.Step)).Add(size(step))
	w.count(&run.Step, -1)
	w.count(step, 1)
	run.Step = *step
}

func (w *Worker) add(ref workflow.RunRef, step *workflow.Step) {
	w.runs[ref] = &Run{RunRef: ref, Step: *step, SpeedPercent: fullSpeed}
	w.used = w.used.Add(size(step))
	w.count(step, 1)
}

// Release gives a run's room back.
func (w *Worker) Release(ref workflow.RunRef) {
	run := w.runs[ref]
	if run == nil {
		return
	}
	delete(w.runs, ref)
	w.used = w.used.Sub(size(&run.Step))
	w.count(&run.Step, -1)
}

func (w *Worker) count(step *workflow.Step, sign int) {
	if step.BestEffort {
		w.fillers += sign
		w.filling += int64(sign) * step.Size.MilliCores
	}
	if serves(step) {
		w.serving += sign
	}
}

func serves(step *workflow.Step) bool { return step.LongRunning && step.LatencyTarget > 0 }

// CountRuns returns how many runs of a step the worker has.
func (w *Worker) CountRuns(ref workflow.StepRef) int {
	n := 0
	for run := range w.runs {
		if run.Task.StepRef == ref {
			n++
		}
	}
	return n
}

// HasLabel reports whether the worker carries the label.
func (w *Worker) HasLabel(label string) bool { return slices.Contains(w.entry.Labels, label) }

// FitCount returns how many tasks of the step fit.
func (w *Worker) FitCount(step *workflow.Step) int {
	free, one := w.Free(), size(step)
	n := int64(manyTasks)
	for _, part := range [][2]int64{
		{free.MilliCores, one.MilliCores}, {free.MemoryBytes, one.MemoryBytes}, {free.Accelerators, one.Accelerators},
	} {
		if part[1] > 0 {
			n = min(n, part[0]/part[1])
		}
	}
	return int(max(n, 0))
}

// manyTasks stands for any number of tasks that take no room.
const manyTasks = 1 << 20
