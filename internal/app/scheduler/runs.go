package scheduler

import (
	"context"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/permit"
	"skylarkstall/internal/domain/pool"
	"skylarkstall/internal/domain/workflow"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/pause"
	"skylarkstall/internal/port"
)

// Parameters of requests to workers.
const (
	requestTimeout = 400 * time.Millisecond
	// Bounds of the delay between requests to stop the same run.
	minStopDelay = 100 * time.Millisecond
	maxStopDelay = 800 * time.Millisecond
)

// resultKind returns the result of a call for log lines: "ok" or the kind of the error.
func resultKind(err error) string {
	if err == nil {
		return "ok"
	}
	return fault.KindOf(err).String()
}

func (s *Scheduler) startAcked(l launch, clock time.Duration, sent time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if l.monitor.worker.ClockWentBack(clock, sent) {
		l.monitor.suspectRestart(now)
		l.monitor.worker.RestartClock(clock + s.settings.MaxLease)
	}
	l.monitor.worker.ObserveClock(clock, sent, now)
	l.entry.workflow.MarkStarted()
	if run := l.monitor.worker.Run(l.request.RunRef); run != nil && run.Started.IsZero() {
		run.Started = now
	}
	if l.entry.workflow.State().Final() {
		s.stopRuns([]workflow.Placement{{RunRef: l.request.RunRef, Worker: l.target.Worker}})
	}
}

// startRefused withdraws a run that the worker has certainly not started.
func (s *Scheduler) startRefused(l launch, err error) {
	s.log.Info("run refused", "task", l.request.Task.String(), "run", l.request.Run, "worker", l.target.Worker,
		"kind", fault.KindOf(err).String(), "error", err)
	s.mu.Lock()
	defer s.mu.Unlock()
	l.monitor.worker.Release(l.request.RunRef)
	l.entry.workflow.DropRun(l.request.RunRef, l.target.Worker)
	s.resolveDoubt(l.entry, l.request.RunRef)
	s.retryStep(l.entry, l.request.Task.StepRef)
	switch fault.KindOf(err) {
	case fault.Unauthorized:
		if p := l.entry.step(l.request.Task.StepRef).permits; p != nil {
			p.DropTicket(permit.Worker{ID: l.target.Worker, Incarnation: l.monitor.worker.Info().Incarnation})
		}
	case fault.Unavailable:
		l.monitor.worker.MarkUnreached()
		l.monitor.worker.RecordFailure(l.request.Task.Job, time.Now())
	case fault.Overloaded:
		l.monitor.worker.RecordFailure(l.request.Task.Job, time.Now())
	}
	s.wakePlacement()
}

// resolveStart determines whether a start without a response took effect. If a sync does not report the run, the run is
// stopped, after which it can no longer start. Until then it keeps its capacity.
func (s *Scheduler) resolveStart(ctx context.Context, l launch) {
	s.log.Warn("start without an answer", "task", l.request.Task.String(), "run", l.request.Run, "worker", l.target.Worker)
	s.mu.Lock()
	l.monitor.suspectRestart(time.Now())
	s.mu.Unlock()
	if err := s.sync(ctx, l.monitor, 0); err == nil {
		s.mu.Lock()
		run := l.monitor.worker.Run(l.request.RunRef)
		resolved := run == nil || run.Reported
		s.mu.Unlock()
		if resolved {
			return
		}
	}
	s.stopRun(ctx, l.monitor, l.request.RunRef)
}

// stopRuns stops runs in the background. The lock is held.
func (s *Scheduler) stopRuns(runs []workflow.Placement) {
	for _, p := range runs {
		if m := s.monitors[p.Worker]; m != nil {
			s.goTask(func() { s.stopRun(s.ctx, m, p.RunRef) })
		}
	}
}

// stopRun repeats the request to stop a run until the worker acknowledges it or the run is gone. The sync that waits for an
// end reports that of a running run; otherwise it syncs with the worker immediately.
func (s *Scheduler) stopRun(ctx context.Context, m *workerMonitor, run workflow.RunRef) {
	for wait := minStopDelay; ctx.Err() == nil; wait = min(2*wait, maxStopDelay) {
		s.mu.Lock()
		target, token, known := m.target(), m.worker.Token(), m.worker.Run(run)
		gone := known == nil || !known.StopAcked.IsZero()
		s.mu.Unlock()
		if gone {
			return
		}
		err := s.requestStop(ctx, m, target, run, token)
		if err == nil {
			if !s.markStopAcked(m, run) {
				_ = s.sync(ctx, m, 0) // the monitor handles failures with its own syncs
			}
			return
		}
		if fault.Is(err, fault.StaleEpoch) && s.tokenRefused(m, token, err) {
			return
		}
		s.log.Info("stop not answered", "task", run.Task.String(), "run", run.Run, "worker", target.Worker, "error", err)
		pause.For(ctx, wait)
	}
}

func (s *Scheduler) requestStop(
	ctx context.Context, m *workerMonitor, target port.Target, run workflow.RunRef, token ident.Epoch,
) error {
	if !m.acquireRequest(ctx) {
		return ctx.Err()
	}
	defer m.releaseRequest()
	if err := s.checkInForce(time.Now()); err != nil {
		return err
	}
	stopCtx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	return s.ports.RunClient.Stop(stopCtx, target, run, token)
}

// markStopAcked records the acknowledgement of a stop. It reports whether the worker will list the end of the run by
// itself, because the run was running.
func (s *Scheduler) markStopAcked(m *workerMonitor, ref workflow.RunRef) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	run := m.worker.Run(ref)
	if run == nil {
		return true
	}
	run.StopAcked = time.Now()
	return run.Reported
}

// breakUpGangs stops the remaining members of incomplete gangs. A member that seems to be missing may be on a worker that has not
// reported its runs yet. The lock is held.
func (s *Scheduler) breakUpGangs() {
	for id, e := range s.openGangs {
		if e.workflow.State().Final() {
			delete(s.openGangs, id)
			continue
		}
		if s.mayRunOnUnsynced(e) {
			continue
		}
		runs := e.workflow.BreakUp()
		for _, p := range runs {
			s.log.Info("member of an incomplete gang stopped", "task", p.Task.String(), "run", p.Run, "worker", p.Worker)
		}
		s.stopRuns(runs)
	}
}

// throttleRun sends the speed limit of a run to its worker. A failed request is repeated after a later sync.
func (s *Scheduler) throttleRun(m *workerMonitor, throttle pool.Throttle) {
	s.mu.Lock()
	target, token := m.target(), m.worker.Token()
	s.mu.Unlock()
	err := s.requestThrottle(target, throttle, token)
	s.log.Info("run paced", "task", throttle.Task.String(), "run", throttle.Run, "worker", target.Worker,
		"percent", throttle.Percent, "kind", resultKind(err))
	if err == nil {
		return
	}
	if fault.Is(err, fault.StaleEpoch) {
		s.tokenRefused(m, token, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	m.worker.ResetThrottle(throttle.RunRef)
}

func (s *Scheduler) requestThrottle(target port.Target, throttle pool.Throttle, token ident.Epoch) error {
	if err := s.checkInForce(time.Now()); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(s.ctx, requestTimeout)
	defer cancel()
	return s.ports.RunClient.Throttle(ctx, target, throttle, token)
}
