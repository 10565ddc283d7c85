package scheduler

import (
	"context"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/pool"
	"skylarkstall/internal/domain/workflow"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/pause"
	"skylarkstall/internal/port"
)

// Times of looking at a worker.
const (
	lookWait    = 800 * time.Millisecond // how long a look waits for an end
	lookTimeout = 450 * time.Millisecond
	// A worker that did not answer is asked again soon: its silence holds up other work.
	askAgainTimeout = 250 * time.Millisecond
	askAgainPause   = 50 * time.Millisecond
	// copyAfter is how long a worker is silent before copies of its runs start elsewhere, where a step allows them.
	copyAfter = 300 * time.Millisecond
	// ackWait is how long the next look waits for ends to be recorded.
	ackWait = 250 * time.Millisecond
)

// keeper holds one worker and follows what runs on it. Its fields are guarded by the scheduler's lock.
type keeper struct {
	worker  *pool.Worker
	cancel  context.CancelFunc
	applied uint64         // highest end that was applied
	acked   uint64         // highest end that need not be listed again
	pending []pendingEnd   // applied and not acknowledged, in order
	asked   time.Time      // when the last report that was used was asked for
	broken  bool           // the last look failed: the worker may have restarted
	over    bool           // another worker answers at its address
	since   time.Time      // when the worker was first heard of
	closed  ident.Revision // of the record that closed the worker; 0 while it is open or the record is not written
}

// pendingEnd is an end that is acknowledged once the job's record has the version.
type pendingEnd struct {
	number  uint64
	job     *entry // nil: nothing has to be recorded
	version uint64
}

func (k *keeper) target() port.Target {
	return port.Target{Worker: k.worker.Entry().ID, Address: k.worker.Entry().Address}
}

// keep starts to hold a worker. The lock is held.
func (s *Scheduler) keep(w pool.Entry) {
	ctx, cancel := context.WithCancel(s.ctx)
	k := &keeper{worker: pool.NewWorker(w), cancel: cancel, broken: true, since: time.Now()}
	s.keepers[w.ID] = k
	s.running.Go(func() { s.hold(ctx, k) })
}

// hold looks at a worker again and again until the context ends.
func (s *Scheduler) hold(ctx context.Context, k *keeper) {
	for ctx.Err() == nil {
		if err := s.look(ctx, k, lookWait); err != nil {
			pause.For(ctx, askAgainPause)
			continue
		}
		s.awaitAcks(ctx, k)
	}
}

// look holds the worker once, and applies what it lists.
func (s *Scheduler) look(ctx context.Context, k *keeper, wait time.Duration) error {
	s.mu.Lock()
	order := s.holdOrder(k, wait)
	target, timeout := k.target(), lookTimeout
	if k.broken {
		timeout = askAgainTimeout
	}
	s.mu.Unlock()
	asked := time.Now()
	looking, cancel := context.WithTimeout(ctx, order.Wait+timeout)
	report, err := s.ports.Runner.Hold(looking, target, order)
	cancel()
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if err != nil {
		s.lookFailed(k, err)
		return err
	}
	s.apply(k, report, asked, time.Now())
	return nil
}

// holdOrder returns the order for the next look. After a failed look nothing is acknowledged and nothing is waited for:
// the worker may have begun another life, whose ends count from 1. Nor is the hold prolonged, so that it can run out
// while the worker does not answer. The lock is held.
func (s *Scheduler) holdOrder(k *keeper, wait time.Duration) port.HoldOrder {
	order := port.HoldOrder{Token: s.term.Token}
	if k.broken {
		return order
	}
	order.HoldUntil, _ = k.worker.HoldUntil(s.settings.holdLength(), time.Now())
	for len(k.pending) > 0 && (k.pending[0].job == nil || k.pending[0].job.stored >= k.pending[0].version) {
		k.acked = k.pending[0].number
		k.pending = k.pending[1:]
	}
	order.LastSeen, order.Wait = k.acked, wait
	return order
}

// awaitAcks waits until the ends that were listed are recorded, so that the next look acknowledges them.
func (s *Scheduler) awaitAcks(ctx context.Context, k *keeper) {
	deadline := time.After(ackWait)
	for {
		changed := s.settled.Changed()
		s.mu.Lock()
		open := false
		for _, p := range k.pending {
			open = open || p.job != nil && p.job.stored < p.version
		}
		s.mu.Unlock()
		if !open {
			return
		}
		select {
		case <-changed:
		case <-deadline:
			return
		case <-ctx.Done():
			return
		}
	}
}

func (s *Scheduler) lookFailed(k *keeper, err error) {
	if fault.Is(err, fault.StaleEpoch) {
		s.lose("a worker has seen a higher token", err)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !k.broken {
		s.log.Warn("worker not reached", "worker", k.worker.Entry().ID, "runs", len(k.worker.Runs()), "error", err)
	}
	k.broken = true
	switch {
	case fault.Is(err, fault.NotFound):
		k.over = true
		s.drop(k, workflow.Lost)
	case k.worker.Lapsed(time.Now()):
		s.drop(k, workflow.Lapsed)
	case k.worker.Silent(time.Now()) > lookWait+copyAfter:
		s.copyElsewhere(k)
	}
}

// copyElsewhere lets copies of a silent worker's runs start where their steps allow it. The runs keep their room. The lock
// is held.
func (s *Scheduler) copyElsewhere(k *keeper) {
	for _, run := range k.worker.Runs() {
		e := s.jobs[run.Task.Job]
		if e != nil && run.Step.Speculative && e.flow.Forget(run.RunRef, k.worker.Entry().ID) {
			s.log.Info("run copied", "task", run.Task.String(), "run", run.Run, "worker", k.worker.Entry().ID,
				"silent_ms", k.worker.Silent(time.Now()).Milliseconds())
			s.poke()
		}
	}
}

// drop gives up every run of a worker on which certainly none is left. The lock is held.
func (s *Scheduler) drop(k *keeper, how workflow.How) {
	runs := k.worker.Runs()
	for _, run := range runs {
		k.worker.Release(run.RunRef)
		s.ended(k, workflow.End{Run: run.RunRef, How: how})
	}
	if len(runs) > 0 {
		s.log.Warn("runs of a worker given up", "worker", k.worker.Entry().ID, "runs", len(runs), "how", how.String())
		s.poke()
	}
}

// apply takes a report. One that was asked for before the last one that was applied is left out: what it misses is
// listed again.
func (s *Scheduler) apply(k *keeper, report port.HoldReport, asked, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.noticeBirth(k, report, asked)
	k.worker.Answered(report.Clock, asked, now)
	if asked.Before(k.asked) {
		return
	}
	k.asked = asked
	if k.broken {
		s.log.Info("worker reached", "worker", k.worker.Entry().ID, "running", len(report.Running), "ended", len(report.Ended))
	}
	k.broken = false
	k.worker.ListedRuns()
	s.applyEnds(k, report.Ended)
	s.applyRunning(k, report.Running, asked, now)
	for _, pace := range k.worker.Paces(now) {
		s.running.Go(func() { s.pace(k, pace) })
	}
	s.poke()
}

// noticeBirth gives up what ran in an earlier life of the worker. A start that was on its way may have been carried out in
// the new life: a run that the new life lists, or whose start was not answered before the look, is kept. The lock is held.
func (s *Scheduler) noticeBirth(k *keeper, report port.HoldReport, asked time.Time) {
	if born := k.worker.Entry().Born; report.Born == 0 || report.Born == born {
		return
	}
	listed := map[workflow.RunRef]bool{}
	for _, r := range report.Running {
		listed[r.RunRef] = true
	}
	for _, end := range report.Ended {
		listed[end.Run] = true
	}
	s.log.Warn("worker restarted", "worker", k.worker.Entry().ID, "runs", len(k.worker.Runs()), "listed", len(listed))
	k.worker.Restarted(report.Born, report.Clock+s.settings.MaxHold)
	k.applied, k.acked, k.pending, k.asked = 0, 0, nil, time.Time{}
	for _, run := range k.worker.Runs() {
		if !listed[run.RunRef] && !run.Started.IsZero() && run.Started.Before(asked) {
			k.worker.Release(run.RunRef)
			s.ended(k, workflow.End{Run: run.RunRef, How: workflow.Lost})
		}
	}
}

func (s *Scheduler) applyEnds(k *keeper, ends []port.EndReport) {
	for _, end := range ends {
		if end.Number <= k.applied {
			continue
		}
		k.applied = end.Number
		k.worker.Release(end.Run)
		e, version := s.ended(k, end.End)
		k.pending = append(k.pending, pendingEnd{end.Number, e, version})
	}
}

// ended applies the end of a run. It returns the job and the version that its record must have, or nil when nothing has
// to be recorded. The lock is held.
func (s *Scheduler) ended(k *keeper, end workflow.End) (*entry, uint64) {
	e := s.jobs[end.Run.Task.Job]
	if e == nil {
		return nil, 0
	}
	now := time.Now()
	worker := k.worker.Entry().ID
	switch end.How {
	case workflow.Done:
		k.worker.Succeeded()
	case workflow.Failed:
		k.worker.Failed(end.Run.Task.Job, now)
		e.avoidFor(end.Run.Task, worker)
	}
	verdict := e.flow.Ended(end, worker, s.queueOf(e).MaxAttempts)
	s.log.Info("run ended", "task", end.Run.Task.String(), "run", end.Run.Run, "worker", worker, "how", end.How.String(),
		"job_state", e.flow.State().String(), "recorded_first", verdict.Changed)
	s.stopAll(verdict.Stop)
	if !verdict.Changed {
		return nil, 0
	}
	s.changed(e)
	return e, e.version
}

func (s *Scheduler) applyRunning(k *keeper, running []port.RunReport, asked, now time.Time) {
	listed := map[workflow.RunRef]bool{}
	for _, r := range running {
		listed[r.RunRef] = true
		e := s.jobs[r.Task.Job]
		if e != nil {
			e.flow.Saved(r.RunRef, r.Checkpoint)
		}
		if k.worker.Run(r.RunRef) == nil {
			s.adopt(k, e, r, now)
		}
		k.worker.Report(r.RunRef, r.Progress, r.Reading, now)
		if e != nil && e.flow.IsDone(r.Task) {
			s.stopAll([]workflow.Placement{{RunRef: r.RunRef, Worker: k.worker.Entry().ID}}) // a copy was faster
		}
	}
	s.stopStalled(k, now)
	for _, run := range k.worker.Runs() {
		over := !run.Fenced.IsZero() && run.Fenced.Before(asked) || !run.Started.IsZero() && run.Started.Before(asked)
		if !listed[run.RunRef] && over {
			k.worker.Release(run.RunRef)
			s.ended(k, workflow.End{Run: run.RunRef, How: workflow.Stopped})
			s.log.Info("run is not there", "task", run.Task.String(), "run", run.Run, "worker", k.worker.Entry().ID,
				"stopped", !run.Fenced.IsZero())
		}
	}
}

// stopStalled stops runs that stand still, so that they go on elsewhere. The lock is held.
func (s *Scheduler) stopStalled(k *keeper, now time.Time) {
	worker := k.worker.Entry().ID
	for _, run := range k.worker.Stalled(now) {
		e := s.jobs[run.Task.Job]
		if e == nil || !run.Fenced.IsZero() {
			continue
		}
		s.log.Warn("run stands still", "task", run.Task.String(), "run", run.Run, "worker", worker)
		k.worker.Failed(run.Task.Job, now)
		e.avoidFor(run.Task, worker)
		s.stopAll([]workflow.Placement{{RunRef: run.RunRef, Worker: worker}})
	}
}

// avoidFor keeps further runs of a task from a worker.
func (e *entry) avoidFor(task workflow.TaskRef, worker ident.WorkerID) {
	if e.avoid[task] == nil {
		e.avoid[task] = map[ident.WorkerID]bool{}
	}
	e.avoid[task][worker] = true
}

// adopt takes a run that this term did not order, or stops it when it does not count. The lock is held.
func (s *Scheduler) adopt(k *keeper, e *entry, r port.RunReport, now time.Time) {
	step := workflow.Step{}
	worker := k.worker.Entry().ID
	placement := workflow.Placement{RunRef: r.RunRef, Worker: worker}
	counts := false
	if e != nil && r.Task.Step < len(e.flow.Spec().Steps) {
		step = *e.flow.Step(r.Task.StepRef)
		counts = e.flow.Adopt(placement, now)
	}
	k.worker.Adopt(r.RunRef, &step)
	s.log.Info("run found", "task", r.Task.String(), "run", r.Run, "worker", worker, "kept", counts)
	if !counts {
		s.stopAll([]workflow.Placement{placement})
	}
}
