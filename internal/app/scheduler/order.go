package scheduler

import (
	"context"
	"time"

	"skylarkstall/internal/domain/permit"
	"skylarkstall/internal/domain/pool"
	"skylarkstall/internal/domain/workflow"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/pause"
	"skylarkstall/internal/port"
)

// Times of orders.
const (
	orderTimeout = 400 * time.Millisecond
	// Pauses between orders to stop the same run.
	stopPause        = 100 * time.Millisecond
	longestStopPause = 800 * time.Millisecond
)

// launch is a start that was decided.
type launch struct {
	keeper *keeper
	entry  *entry
	target port.Target
	order  port.StartRequest
	seen   time.Duration // since the worker's last answer
	free   string        // room that the worker had
}

// outcome names how a call ended.
func outcome(err error) string {
	if err == nil {
		return "ok"
	}
	return fault.KindOf(err).String()
}

// start orders a run, and finds out what became of it.
func (s *Scheduler) start(ctx context.Context, l launch) {
	sent := time.Now()
	starting, cancel := context.WithTimeout(ctx, orderTimeout)
	clock, err := s.ports.Runner.Start(starting, l.target, l.order)
	cancel()
	s.log.Info("run ordered", "task", l.order.Task.String(), "run", l.order.Run, "worker", l.target.Worker,
		"age_ms", sent.Sub(l.entry.accepted).Milliseconds(), "seen_ms", l.seen.Milliseconds(), "free", l.free,
		"took_ms", time.Since(sent).Milliseconds(), "kind", outcome(err))
	switch {
	case err == nil:
		s.started(l, clock, sent)
	case ctx.Err() != nil:
	case fault.Is(err, fault.Interrupted):
		s.resolve(ctx, l)
	case fault.Is(err, fault.StaleEpoch):
		s.lose("a worker has seen a higher token", err)
	default:
		s.refused(l, err)
	}
}

func (s *Scheduler) started(l launch, clock time.Duration, sent time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	l.keeper.worker.ObserveClock(clock, sent, now)
	l.entry.flow.MarkStarted()
	if run := l.keeper.worker.Run(l.order.RunRef); run != nil && run.Started.IsZero() {
		run.Started = now
	}
	if l.entry.flow.State().Final() {
		s.stopAll([]workflow.Placement{{RunRef: l.order.RunRef, Worker: l.target.Worker}})
	}
}

// refused takes back a start that was certainly not carried out.
func (s *Scheduler) refused(l launch, err error) {
	s.log.Info("run refused", "task", l.order.Task.String(), "run", l.order.Run, "worker", l.target.Worker,
		"kind", fault.KindOf(err).String(), "error", err)
	s.mu.Lock()
	defer s.mu.Unlock()
	l.keeper.worker.Release(l.order.RunRef)
	l.entry.flow.DropRun(l.order.RunRef, l.target.Worker)
	switch fault.KindOf(err) {
	case fault.Unauthorized:
		if p := l.entry.permits[l.order.Task.StepRef]; p != nil {
			p.DropTicket(permit.Worker{ID: l.target.Worker, Incarnation: l.keeper.worker.Info().Incarnation})
		}
	case fault.Unavailable, fault.Overloaded:
		l.keeper.worker.RecordFailure(l.order.Task.Job, time.Now())
	}
	s.regroup(l.entry, l.order.Task.StepRef, l.order.Run)
	s.poke()
}

// resolve finds out whether a start without an answer was carried out. A look may list the run; otherwise it is
// stopped, after which it can not begin any more. Until then it keeps its room.
func (s *Scheduler) resolve(ctx context.Context, l launch) {
	s.log.Warn("start without an answer", "task", l.order.Task.String(), "run", l.order.Run, "worker", l.target.Worker)
	if err := s.look(ctx, l.keeper, 0); err == nil {
		s.mu.Lock()
		run := l.keeper.worker.Run(l.order.RunRef)
		settled := run == nil || run.Reported
		s.mu.Unlock()
		if settled {
			return
		}
	}
	s.stop(ctx, l.keeper, l.order.RunRef)
	s.mu.Lock()
	s.regroup(l.entry, l.order.Task.StepRef, l.order.Run)
	s.mu.Unlock()
}

// stopAll stops runs. The lock is held.
func (s *Scheduler) stopAll(runs []workflow.Placement) {
	for _, p := range runs {
		if k := s.keepers[p.Worker]; k != nil {
			s.running.Go(func() { s.stop(s.ctx, k, p.RunRef) })
		}
	}
}

// stop repeats an order to stop a run until the worker answers it or the run is gone, and then looks at once.
func (s *Scheduler) stop(ctx context.Context, k *keeper, run workflow.RunRef) {
	for wait := stopPause; ctx.Err() == nil; wait = min(2*wait, longestStopPause) {
		s.mu.Lock()
		target, known := k.target(), k.worker.Run(run)
		gone := known == nil || !known.StopAcked.IsZero()
		s.mu.Unlock()
		if gone {
			return
		}
		stopping, cancel := context.WithTimeout(ctx, orderTimeout)
		err := s.ports.Runner.Stop(stopping, target, run, s.term.Token)
		cancel()
		if err == nil {
			s.fenced(k, run)
			_ = s.look(ctx, k, 0) // the keeper's own looks tell of a failure
			return
		}
		if fault.Is(err, fault.StaleEpoch) {
			s.lose("a worker has seen a higher token", err)
			return
		}
		s.log.Info("stop not answered", "task", run.Task.String(), "run", run.Run, "worker", target.Worker, "error", err)
		pause.For(ctx, wait)
	}
}

func (s *Scheduler) fenced(k *keeper, ref workflow.RunRef) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if run := k.worker.Run(ref); run != nil {
		run.StopAcked = time.Now()
	}
}

// regroup stops the members of a gang of which one did not start, before they wait in vain. The lock is held.
func (s *Scheduler) regroup(e *entry, ref workflow.StepRef, run workflow.RunNumber) {
	if !e.flow.Step(ref).Gang {
		return
	}
	var others []workflow.Placement
	for _, p := range e.flow.ActiveOf(ref) {
		if p.Run == run {
			others = append(others, p)
		}
	}
	s.stopAll(others)
}

// pace orders a run to work at a share of its speed. An order that fails is given again by a later look.
func (s *Scheduler) pace(k *keeper, pace pool.Throttle) {
	s.mu.Lock()
	target := k.target()
	s.mu.Unlock()
	pacing, cancel := context.WithTimeout(s.ctx, orderTimeout)
	defer cancel()
	err := s.ports.Runner.Throttle(pacing, target, pace, s.term.Token)
	s.log.Info("run paced", "task", pace.Task.String(), "run", pace.Run, "worker", target.Worker, "percent", pace.Percent,
		"kind", outcome(err))
	if err == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	k.worker.ResetThrottle(pace.RunRef)
}
