package scheduler

import (
	"slices"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/locality"
	"skylarkstall/internal/domain/objective"
	"skylarkstall/internal/domain/placement"
	"skylarkstall/internal/domain/pool"
	"skylarkstall/internal/domain/workflow"
	"skylarkstall/internal/port"
)

const (
	// rackWaitReportInterval bounds the log lines about waits for racks.
	rackWaitReportInterval = 200 * time.Millisecond
	// forgottenAfter is how long after its time for the next decision a wait counts as one that nobody decides on any more, because its job was
	// cancelled or its step set aside.
	forgottenAfter = time.Second
	// A call names full workers of a rack as long as that takes less than askShare of what the rack saves, and at most maxFullNear of them.
	askShare    = 0.05
	maxFullNear = 32
)

// rackWaits holds what the leader knows of the steps that wait for the racks with their data, and of the runs there. It is guarded by the
// scheduler's lock. A new leader has none: what waits is decided anew from the jobs.
type rackWaits struct {
	scheduler  *Scheduler
	racks      locality.Racks
	waiting    map[string][]*stepEntry // by rack
	reportedAt time.Time
	counts     port.RackWaits // that have ended in the term
}

// rackWait is the wait of a step for the rack with its data. The zero value is a step that has not waited.
type rackWait struct {
	began      time.Time // zero before the step waits
	until      time.Time // when it is decided anew; zero if there is no room elsewhere either
	elsewhere  bool      // its tasks go elsewhere, until all of them are placed
	rack       string
	saving     time.Duration
	milliCores int64 // that its tasks need
	position   placement.Position
}

// isOn reports whether the step waits for its rack.
func (w *rackWait) isOn(now time.Time) bool { return now.Before(w.until) }

// isDue reports whether the wait has to be decided on anew.
func (w *rackWait) isDue(now time.Time) bool {
	return !w.until.IsZero() && !now.Before(w.until)
}

// nextTry returns when the step is due if nothing changes.
func (c *candidate) nextTry() time.Time {
	next := c.step.waiting.NextTry(c.queue.Priority)
	if wait := &c.step.near; !wait.until.IsZero() && wait.until.Before(next) {
		return wait.until
	}
	return next
}

// waitsForRack reports whether a task of a step does not start on the worker that is the best now, but waits for the rack with its data. A
// step decides as one, by the room that all its tasks need: it is done with its last task. The lock is held.
func (s *Scheduler) waitsForRack(c *candidate, best *pool.Worker, now time.Time) bool {
	step, wait := c.entry.workflow.Step(c.ref), &c.step.near
	if s.settings.RemoteFactor <= 1 || step.DataRack == "" || step.LongRunning || wait.elsewhere || best.IsNear(step) {
		return false
	}
	if wait.isOn(now) {
		return true
	}
	verdict := locality.Decide(s.rackChoice(c, step, best, now))
	if !verdict.Waits() {
		s.near.goElsewhere(c, verdict, now)
		return false
	}
	s.near.wait(c, step, verdict, now)
	return true
}

// rackChoice describes the choice between a worker that has room now and the rack of a step. The lock is held.
func (s *Scheduler) rackChoice(c *candidate, step *workflow.Step, best *pool.Worker, now time.Time) locality.Choice {
	choice := locality.Choice{
		Duration: s.expectedDuration(c), FarFactor: s.settings.RemoteFactor, FarSpeed: best.Speed(), NearSpeed: 1, Room: -1,
	}
	if wait := &c.step.near; !wait.began.IsZero() {
		choice.Waited = now.Sub(wait.began)
	}
	if c.entry.plan != nil && c.queue.Objective.IsSet() {
		limits := objective.LimitsOf(c.queue.Objective, c.entry.countsFrom(c.ref), c.entry.plan.Chain())
		rest := max(c.entry.plan.Remaining(c.ref.Step)-choice.Duration, 0)
		choice.Left, choice.Bounded = limits.InTime.Sub(now)-rest, true
	}
	usable, speed, all := 0, 0.0, s.currentRoster().byRack[step.DataRack]
	request := c.request(now)
	for _, m := range all {
		if _, ok := s.allowedOn(*c, m); ok && m.worker.Rejection(&request) == pool.NoCapacity {
			usable, speed = usable+1, speed+m.worker.Speed()
		}
	}
	if usable == 0 {
		return choice
	}
	choice.NearSpeed = speed / float64(usable)
	need := pool.ReservedSize(step).MilliCores * int64(c.entry.workflow.WaitingCount(c.ref))
	choice.Room = s.near.racks.Room(step.DataRack, need, s.near.ahead(c, step.DataRack, now), now)
	if choice.Room > 0 {
		choice.Room = time.Duration(float64(choice.Room) * float64(len(all)) / float64(usable))
	}
	return choice
}

// ahead returns how many processors the steps need that wait for a rack and are tried before the given one. It forgets waits that have ended
// without a decision.
func (r *rackWaits) ahead(c *candidate, rack string, now time.Time) int64 {
	var sum int64
	r.waiting[rack] = slices.DeleteFunc(r.waiting[rack], func(e *stepEntry) bool {
		if now.Sub(e.near.until) > forgottenAfter {
			return true
		}
		if e != c.step && e.near.position.Compare(&c.position) < 0 {
			sum += e.near.milliCores
		}
		return false
	})
	return sum
}

// wait begins the wait of a step, or lets it go on.
func (r *rackWaits) wait(c *candidate, step *workflow.Step, verdict locality.Verdict, now time.Time) {
	wait := &c.step.near
	if wait.began.IsZero() {
		wait.began = now
		if r.reports(now) {
			r.scheduler.log.Info("waits for rack", "step", c.ref.String(), "rack", step.DataRack, "room_ms", verdict.Room.Milliseconds(),
				"saving_ms", verdict.Saving.Milliseconds())
		}
	}
	if wait.rack = step.DataRack; !slices.Contains(r.waiting[wait.rack], c.step) {
		r.waiting[wait.rack] = append(r.waiting[wait.rack], c.step)
	}
	wait.until, wait.saving, wait.position = now.Add(verdict.Until), verdict.Saving, c.position
	wait.milliCores = pool.ReservedSize(step).MilliCores * int64(c.entry.workflow.WaitingCount(c.ref))
}

// goElsewhere lets the tasks of a step start elsewhere. A wait of it was in vain.
func (r *rackWaits) goElsewhere(c *candidate, verdict locality.Verdict, now time.Time) {
	wait := &c.step.near
	if !wait.until.IsZero() { // otherwise it was not the rack that it waited for last
		r.ended(c, false, string(verdict.Reason), now)
	}
	*wait = rackWait{elsewhere: true}
}

// lapse ends a wait that is due and was not decided on, because there is no room elsewhere any more: the step waits like others. What it has
// waited counts when there is.
func (r *rackWaits) lapse(step *stepEntry, now time.Time) {
	if step.near.isDue(now) {
		r.forget(step)
		step.near.until = time.Time{}
	}
}

// allPlaced ends the wait of a step of which no task waits any more.
func (r *rackWaits) allPlaced(c *candidate, now time.Time) {
	if wait := &c.step.near; !wait.began.IsZero() {
		r.ended(c, true, "placed", now)
	}
	c.step.near = rackWait{}
}

func (r *rackWaits) ended(c *candidate, paid bool, outcome string, now time.Time) {
	wait := &c.step.near
	r.racks.Waited(wait.rack, paid, now)
	if waited := now.Sub(wait.began); paid {
		r.counts.Paid++
		r.counts.Saved += max(wait.saving-waited, 0)
	} else {
		r.counts.Vain++
		r.counts.Lost += waited
	}
	r.forget(c.step)
	if r.reports(now) {
		r.scheduler.log.Info("wait for rack over", "step", c.ref.String(), "rack", wait.rack, "kind", outcome,
			"waited_ms", now.Sub(wait.began).Milliseconds(), "saving_ms", wait.saving.Milliseconds())
	}
}

// forget takes a step off those that wait for its rack.
func (r *rackWaits) forget(step *stepEntry) {
	rack := step.near.rack
	r.waiting[rack] = slices.DeleteFunc(r.waiting[rack], func(e *stepEntry) bool { return e == step })
}

// reports reports whether a log line is due.
func (r *rackWaits) reports(now time.Time) bool {
	if now.Sub(r.reportedAt) < rackWaitReportInterval {
		return false
	}
	r.reportedAt = now
	return true
}

// runCounter tells the limits of accounts and the expectations of racks what runs.
type runCounter struct {
	*accountLimits
	near *rackWaits
}

// newRunObserver returns the observer of the runs on all workers. The expectations of racks are kept only where something may wait for them.
func (s *Scheduler) newRunObserver() pool.RunObserver {
	if s.settings.RemoteFactor > 1 {
		return &runCounter{&s.limits, &s.near}
	}
	return &s.limits
}

// RunAdded implements pool.RunObserver.
func (o *runCounter) RunAdded(worker ident.WorkerID, run *pool.Run) {
	o.accountLimits.RunAdded(worker, run)
	run.RackUse = o.near.useOf(worker, run)
	if run.RackUse.Rack != "" {
		o.near.racks.Start(run.RackUse)
	}
}

// RunRemoved implements pool.RunObserver.
func (o *runCounter) RunRemoved(worker ident.WorkerID, run *pool.Run) {
	o.accountLimits.RunRemoved(worker, run)
	if run.RackUse.Rack != "" {
		o.near.racks.End(run.RackUse)
	}
}

// useOf returns what a run takes of its rack.
func (r *rackWaits) useOf(worker ident.WorkerID, run *pool.Run) locality.Use {
	m, e := r.scheduler.monitors[worker], r.scheduler.jobs[run.Task.Job]
	if m == nil || e == nil || !run.Owner().Known {
		return locality.Use{}
	}
	use := locality.Use{Rack: m.worker.Rack(), MilliCores: pool.ReservedSize(&run.Step).MilliCores}
	if run.Step.LongRunning {
		return use
	}
	if known := e.steps[run.Task.StepRef]; known != nil {
		use.Duration = known.duration.Mean()
	}
	if use.Duration <= 0 {
		use.Duration = objective.ExpectedDuration(run.Step.Estimate, r.scheduler.history(e.queue.Name).Typical())
	}
	use.Duration = time.Duration(float64(use.Duration) * r.scheduler.remoteFactor(m.worker, &run.Step))
	return use
}

// remoteFactor returns how many times as long a task of the step takes on the worker because of its rack.
func (s *Scheduler) remoteFactor(w *pool.Worker, step *workflow.Step) float64 {
	if w.IsNear(step) {
		return 1
	}
	return max(s.settings.RemoteFactor, 1)
}

// fullNearWorkers returns full workers of the step's rack that a call for permits names as well, because the step may wait for them. The
// lock is held.
func (s *Scheduler) fullNearWorkers(c *candidate, request *pool.Request) []*workerMonitor {
	step := request.Step
	if s.settings.RemoteFactor <= 1 || step.DataRack == "" || step.LongRunning {
		return nil
	}
	limit, saving := maxFullNear, s.expectedDuration(c).Seconds()*(s.settings.RemoteFactor-1)
	if each := c.queue.PermitPolicy.WorkerLatency.Seconds(); each > 0 {
		limit = min(limit, int(askShare*saving/each))
	}
	var full []*workerMonitor
	for _, m := range s.currentRoster().byRack[step.DataRack] {
		if len(full) >= limit {
			break
		}
		if s.mayGetRuns(m) && m.worker.Rejection(request) == pool.NoCapacity {
			full = append(full, m)
		}
	}
	return full
}
