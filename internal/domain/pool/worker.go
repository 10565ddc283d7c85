package pool

import (
	"slices"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/locality"
	"skylarkstall/internal/domain/resource"
	"skylarkstall/internal/domain/workflow"
	"skylarkstall/internal/fault"
)

// WorkerInfo is a worker's entry in the worker list.
type WorkerInfo struct {
	ID            ident.WorkerID
	Address       string // host:port
	Service       string
	Zone          ident.Zone
	Rack          string
	Labels        []string // include the kind and the rack
	Capacity      resource.Vector
	Draining      bool
	Incarnation   int64         // start time in Unix milliseconds; another value means that the worker restarted
	RemainingTime time.Duration // minimum time until a draining worker stops
}

// Run is a run that occupies capacity of a worker.
type Run struct {
	workflow.RunRef
	Step            workflow.Step
	Priority        int       // of its queue; 0 is the highest
	Behind          bool      // its job was behind others of its priority when it started: late, or beyond the share of its account
	Requested       bool      // the request to start it may have been sent
	Reported        bool      // the worker has reported it as running
	Started         time.Time // when the worker acknowledged the start or first reported the run; zero before
	Doubtful        bool      // the worker restarted when its start was in flight, and has not reported it since
	crashes         int       // number of workers that crashed under its task; 0 if the task is not suspected
	preempted       bool      // it is being stopped for a task of a higher priority
	StopAcked       time.Time // when the worker acknowledged a stop; zero before
	Partial         bool      // it resumed from a checkpoint, or its start time is not known
	SpeedPercent    int       // speed limit; unknownSpeed when it is not known
	tailLatency     time.Duration
	progress        int          // percent of its work that is done
	lastProgress    time.Time    // when the progress last changed
	lastReport      time.Time    // when the worker last reported it
	firstReported   time.Time    // when the worker first reported it
	owner           Owner        // zero if the worker has no observer
	RackUse         locality.Use // as the observer counts the run; zero if it does not
	overTargetSince time.Time    // since when its tail latency exceeds the target; zero while it does not
}

// Worker is the state of one worker. It is not safe for concurrent use.
type Worker struct {
	info                 WorkerInfo
	missingSince         time.Time // since when the worker list lacks the entry; zero while it is listed
	neverListed          bool      // it is known from the record of workers only
	describedIncarnation int64     // which the worker list described last; 0 if it did not say
	runs                 runList
	holds                []hold // capacity that is kept free for tasks of certain steps
	used                 resource.Vector
	releases             uint64 // number of times that capacity was released
	suspects             int    // number of runs of suspected tasks
	bestEffortRuns       int    // number of best-effort runs
	bestEffortMilliCores int64  // processors that the best-effort runs could use
	latencyRuns          int    // number of long-running runs with a latency target
	clock                clock
	fence                fence
	leaseExpiry          time.Duration // latest lease expiry that was sent, on the worker's clock
	lastResponse         time.Time     // when the last response arrived
	lastAnswered         time.Time     // when the latest request that was answered was sent
	unreached            bool          // the last sync failed, and nothing has arrived since
	synced               bool          // it has reported its runs in this term
	consecutiveFailures  int           // of distinct jobs
	lastFailedJob        workflow.ID
	backoffUntil         time.Time // no starts before this time
	upSince              time.Time // when it first answered in its present life
	crashHistory         *CrashHistory
	speed                float64     // relative to other workers; 1 is ordinary
	speedShown           bool        // by a run in its present life
	kind                 *KindSpeed  // nil if it is not known
	roster               *Roster     // nil if the worker is in none
	position             int         // in the roster
	observer             RunObserver // nil if there is none
}

// NewWorker returns a worker that has not responded yet.
func NewWorker(info WorkerInfo) *Worker {
	return &Worker{info: info, describedIncarnation: info.Incarnation, speed: 1}
}

// Info returns the worker's latest entry in the worker list.
func (w *Worker) Info() WorkerInfo { return w.info }

// ID returns the worker's id.
func (w *Worker) ID() ident.WorkerID { return w.info.ID }

// Incarnation returns the worker's present incarnation.
func (w *Worker) Incarnation() int64 { return w.info.Incarnation }

// Rack returns the rack of the worker's latest entry in the worker list.
func (w *Worker) Rack() string { return w.info.Rack }

// UpdateInfo applies a newer entry of the worker list.
func (w *Worker) UpdateInfo(info WorkerInfo) {
	w.info, w.missingSince, w.neverListed, w.describedIncarnation = info, time.Time{}, false, info.Incarnation
	w.noteFree()
}

// KeepIncarnation sets the incarnation that the worker itself has stated, which may be later than the one that the list describes.
func (w *Worker) KeepIncarnation(incarnation int64) { w.info.Incarnation = incarnation }

// MarkNeverListed records that the worker is known from the record of workers only. It may have left, and gets no starts until the
// worker list names it.
func (w *Worker) MarkNeverListed() { w.neverListed = true }

// MarkMissing records that the worker list lacks the worker.
func (w *Worker) MarkMissing(now time.Time) {
	if w.missingSince.IsZero() {
		w.missingSince = now
	}
}

// MissingFor returns for how long the worker has been missing from the worker list.
func (w *Worker) MissingFor(now time.Time) time.Duration {
	if w.missingSince.IsZero() {
		return 0
	}
	return now.Sub(w.missingSince)
}

// Synced reports whether the worker has reported its runs in this term.
func (w *Worker) Synced() bool { return w.synced }

// ObserveClock records a response with a reading of the worker's clock.
func (w *Worker) ObserveClock(reading time.Duration, sent, received time.Time) {
	w.clock.observe(reading, sent, received)
	w.lastResponse, w.unreached = received, false
	if sent.After(w.lastAnswered) {
		w.lastAnswered = sent
	}
}

// ClockWentBack reports whether a reading of its clock, in the response to a call sent at the given time, shows that the worker
// has restarted.
func (w *Worker) ClockWentBack(reading time.Duration, sent time.Time) bool {
	return w.clock.wentBack(reading, sent)
}

// LastAnswered returns when the latest request that the worker has answered was sent. Unlike the arrival of the answer, it is
// never later than the answer itself.
func (w *Worker) LastAnswered() time.Time { return w.lastAnswered }

// MarkUnreached records that a request got no response. The worker gets no starts until it responds.
func (w *Worker) MarkUnreached() { w.unreached = true }

// MarkSynced records that the worker has reported its runs in this term.
func (w *Worker) MarkSynced() { w.synced = true }

// SilentFor returns the time since the worker's last response.
func (w *Worker) SilentFor(now time.Time) time.Duration { return now.Sub(w.lastResponse) }

// ExtendLease returns the expiry, on the worker's clock, of a lease of the given length, and false while the clock is
// unknown. The worker counts the lease as sent.
func (w *Worker) ExtendLease(length time.Duration, now time.Time) (time.Duration, bool) {
	if !w.clock.known {
		return 0, false
	}
	expiry := (w.clock.estimate(now) + length).Truncate(time.Millisecond)
	w.leaseExpiry = max(w.leaseExpiry, expiry)
	return expiry, true
}

// LeaseExpired reports whether every lease that may have reached the worker has expired, so that nothing runs on it.
func (w *Worker) LeaseExpired(now time.Time) bool {
	return w.clock.known && w.clock.lowerBound(now) > w.leaseExpiry+leaseMargin
}

// LeaseLeft returns for how long a lease that may have reached the worker can still be valid, on a clock that is as slow as
// allowed. It is negative once all of them have expired.
func (w *Worker) LeaseLeft(now time.Time) time.Duration {
	return w.leaseExpiry - w.clock.lowerBound(now)
}

// ResetAfterRestart resets the worker to a new incarnation. Requests to the former one may have extended the lease up to
// leaseExpiry on the new clock. The caller releases the runs that ended with the previous incarnation.
func (w *Worker) ResetAfterRestart(incarnation int64, leaseExpiry time.Duration) {
	w.info.Incarnation, w.speed, w.speedShown = incarnation, 1, false
	w.RestartClock(leaseExpiry)
}

// RestartClock forgets the clock of the worker's former incarnation. What runs on the next one may have a lease up to leaseExpiry on
// its own clock.
func (w *Worker) RestartClock(leaseExpiry time.Duration) {
	w.clock, w.leaseExpiry = clock{}, leaseExpiry
	w.OutdateToken()
}

// Runs returns the runs that occupy capacity of the worker.
func (w *Worker) Runs() []*Run {
	return slices.Clone(w.runs)
}

// Run returns a run that occupies capacity of the worker, or nil.
func (w *Worker) Run(ref workflow.RunRef) *Run { return w.runs.find(ref) }

// MayHaveStarted reports whether the worker may have started the run.
func (r *Run) MayHaveStarted() bool { return r.Requested || r.Reported || !r.Started.IsZero() }

// ReservedSize returns the capacity that a run of the step occupies. Best-effort runs occupy no processors.
func ReservedSize(step *workflow.Step) resource.Vector {
	size := step.Size
	if step.BestEffort {
		size.MilliCores = 0
	}
	return size
}

// Free returns the unused capacity. A component is negative when adopted runs exceed the worker's capacity.
func (w *Worker) Free() resource.Vector { return w.info.Capacity.Sub(w.used) }

// Fits reports whether the worker has capacity for a task of the step.
func (w *Worker) Fits(step *workflow.Step) bool { return ReservedSize(step).Fits(w.Free()) }

// Reserve reserves capacity for a run. It fails with NoCapacity.
func (w *Worker) Reserve(ref workflow.RunRef, step *workflow.Step) error {
	if w.runs.find(ref) != nil {
		return nil
	}
	if !w.Fits(step) {
		return fault.New(fault.NoCapacity, "worker %s has no free capacity for task %s", w.info.ID, ref.Task)
	}
	w.add(ref, step)
	w.useHold(ref.Task.StepRef)
	return nil
}

// Adopt adds a run that the worker reports, whether it fits or not. Its speed limit is not known.
func (w *Worker) Adopt(ref workflow.RunRef, step *workflow.Step) {
	if w.runs.find(ref) == nil {
		run := w.add(ref, step)
		run.SpeedPercent, run.Partial = unknownSpeed, true
	}
}

// SetStep sets the step of a run that was adopted while its job was unknown, and reserves the capacity for it.
func (w *Worker) SetStep(ref workflow.RunRef, step *workflow.Step) {
	run := w.runs.find(ref)
	if run == nil {
		return
	}
	w.used = w.used.Sub(ReservedSize(&run.Step)).Add(ReservedSize(step))
	w.countRun(&run.Step, -1)
	w.countRun(step, 1)
	w.noteRemoved(run)
	run.Step = *step
	w.noteAdded(run)
	w.noteFree()
}

func (w *Worker) add(ref workflow.RunRef, step *workflow.Step) *Run {
	run := &Run{RunRef: ref, Step: *step, SpeedPercent: fullSpeed}
	w.runs = append(w.runs, run)
	w.used = w.used.Add(ReservedSize(step))
	w.countRun(step, 1)
	w.noteFree()
	w.noteAdded(run)
	return run
}

// Release removes a run and frees its capacity.
func (w *Worker) Release(ref workflow.RunRef) {
	if w.remove(ref) {
		w.releases++
		w.noteRelease()
	}
}

// CancelReservation undoes Reserve for a run that was not started. It does not count as a release.
func (w *Worker) CancelReservation(ref workflow.RunRef) { w.remove(ref) }

// remove removes a run and returns false if there is none.
func (w *Worker) remove(ref workflow.RunRef) bool {
	run := w.runs.find(ref)
	if run == nil {
		return false
	}
	w.runs = w.runs.without(run)
	if run.crashes > 0 {
		w.suspects--
	}
	w.used = w.used.Sub(ReservedSize(&run.Step))
	w.countRun(&run.Step, -1)
	w.noteFree()
	w.noteRemoved(run)
	return true
}

func (w *Worker) countRun(step *workflow.Step, sign int) {
	if step.BestEffort {
		w.bestEffortRuns += sign
		w.bestEffortMilliCores += int64(sign) * step.Size.MilliCores
	}
	if hasLatencyTarget(step) {
		w.latencyRuns += sign
	}
}

func hasLatencyTarget(step *workflow.Step) bool { return step.LongRunning && step.LatencyTarget > 0 }

// Releases returns how many times capacity of the worker was released.
func (w *Worker) Releases() uint64 { return w.releases }

// CountRuns returns the number of runs of a step on the worker.
func (w *Worker) CountRuns(ref workflow.StepRef) int {
	n := 0
	for _, run := range w.runs {
		if run.Task.StepRef == ref {
			n++
		}
	}
	return n
}

// HasLabel reports whether the worker has a label.
func (w *Worker) HasLabel(label string) bool { return slices.Contains(w.info.Labels, label) }

// FitCount returns how many further tasks of the step fit on the worker.
func (w *Worker) FitCount(step *workflow.Step) int {
	free, size := w.Free(), ReservedSize(step)
	n := int64(unlimitedFit)
	for _, pair := range [][2]int64{
		{free.MilliCores, size.MilliCores}, {free.MemoryBytes, size.MemoryBytes}, {free.Accelerators, size.Accelerators},
	} {
		if pair[1] > 0 {
			n = min(n, pair[0]/pair[1])
		}
	}
	return int(max(n, 0))
}

// unlimitedFit is the result of FitCount for tasks that occupy no capacity.
const unlimitedFit = 1 << 20
