package scheduler

import (
	"cmp"
	"context"
	"time"

	"skylarkstall/internal/domain/fitness"
	"skylarkstall/internal/domain/workflow"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/port"
)

// launch is a run that has been placed and is to be started.
type launch struct {
	monitor *workerMonitor
	entry   *jobEntry
	target  port.Target
	request port.StartRequest
	decided time.Time     // when the run was placed
	silence time.Duration // since the worker's last response
	free    string        // free capacity of the worker before the placement
}

// maxOrderAge is how old a decision to start a run may be when the request is sent. Meanwhile the process may have been
// paused, the lease may have shortened and the job may have been cancelled.
const maxOrderAge = 500 * time.Millisecond

// startRun sends the request to start a run and handles the result.
func (s *Scheduler) startRun(ctx context.Context, l launch) {
	sent, clock, err := s.requestStart(ctx, l)
	s.startEnded(sent)
	if !sent.IsZero() {
		s.logOrdered(l, sent, err)
	}
	switch {
	case err == nil:
		s.startAcked(l, clock, sent)
	case ctx.Err() != nil:
	case fault.Is(err, fault.Interrupted):
		s.resolveStart(ctx, l)
	case fault.Is(err, fault.StaleEpoch) && s.tokenRefused(l.monitor, l.request.Token, err): // the term ends
	default:
		s.startRefused(l, err)
	}
}

// logOrdered logs a start that was requested.
func (s *Scheduler) logOrdered(l launch, sent time.Time, err error) {
	s.log.Info("run ordered", "task", l.request.Task.String(), "run", l.request.Run, "worker", l.target.Worker,
		"age_ms", sent.Sub(l.entry.accepted).Milliseconds(), "seen_ms", l.silence.Milliseconds(), "free", l.free,
		"took_ms", time.Since(sent).Milliseconds(), "kind", resultKind(err))
}

// startEnded notes that the request of a start has ended, and when it was sent; zero if it was not.
func (s *Scheduler) startEnded(sent time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !sent.IsZero() {
		s.starts.Answered(time.Since(sent))
		s.demand.started++
	}
	s.startsInProgress--
	if n := s.startsInProgress; n == s.starts.Max(false)-1 || n == s.starts.Max(true)-1 {
		s.wakePlacement()
	}
}

// requestStart sends the request once earlier requests to the worker have ended, unless the decision is too old by then. The time at
// which it was sent is zero if it was not.
func (s *Scheduler) requestStart(ctx context.Context, l launch) (sent time.Time, clock time.Duration, err error) {
	if !l.monitor.acquireRequestBy(ctx, l.decided.Add(maxOrderAge)) {
		s.startDropped(l)
		return time.Time{}, 0, cmp.Or(ctx.Err(), fault.New(fault.DeadlineExceeded, "start not requested within %v", maxOrderAge))
	}
	defer l.monitor.releaseRequest()
	now := time.Now()
	if err := s.checkMayStart(now); err != nil {
		return time.Time{}, 0, err
	}
	if age := now.Sub(l.decided); age > maxOrderAge {
		s.startDropped(l)
		return time.Time{}, 0, fault.New(fault.DeadlineExceeded, "start not requested %v after the decision", age)
	}
	if !s.hasValidTicket(l, now) {
		s.startDropped(l)
		return time.Time{}, 0, fault.New(fault.Unauthorized, "the ticket is no longer valid")
	}
	if err := s.markRequested(l); err != nil {
		return time.Time{}, 0, err
	}
	sent = time.Now()
	startCtx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	clock, err = s.ports.RunClient.Start(startCtx, l.target, l.request)
	return sent, clock, err
}

// hasValidTicket reports whether the ticket of a start, if it has one, is still valid, and for the present life of the worker.
func (s *Scheduler) hasValidTicket(l launch, now time.Time) bool {
	if l.request.Ticket == "" {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	permits := l.entry.step(l.request.Task.StepRef).permits
	return permits != nil && permits.Valid(permitWorker(l.monitor), now)
}

// markRequested notes that the request of a start is sent. It fails with Canceled if meanwhile the run has been given up, its job is over or
// the worker has restarted.
func (s *Scheduler) markRequested(l launch) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	run := l.monitor.worker.Run(l.request.RunRef)
	active := l.entry.workflow.IsActive(workflow.Placement{RunRef: l.request.RunRef, Worker: l.target.Worker})
	if run == nil || !active || l.entry.workflow.State().Final() {
		return fault.New(fault.Canceled, "the run was given up before its start was requested")
	}
	if l.monitor.worker.Token() != l.request.Token || l.monitor.worker.AwaitsFence() {
		return fault.New(fault.Canceled, "the worker has restarted before the start was requested")
	}
	run.Requested = true
	s.starts.Sent(time.Since(l.decided))
	return nil
}

// startDropped notes that a decision was too old to be sent.
func (s *Scheduler) startDropped(l launch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.starts.Drop(time.Since(l.decided))
}

// adaptStarts adapts the limit of starts in progress to the time that the leader takes to send them. The lock is held.
func (s *Scheduler) adaptStarts(now time.Time) {
	wasReduced := s.starts.Reduced()
	if s.starts.Adapt(now) {
		s.term.Lateness.Note(fitness.SlowRequests, now)
	}
	switch reduced := s.starts.Reduced(); {
	case reduced && !wasReduced:
		s.log.Warn("starts limited", "limit", s.starts.Max(false), "in_progress", s.startsInProgress,
			"delay_ms", s.starts.Delay().Milliseconds(), "dropped", s.starts.Dropped())
	case wasReduced && !reduced:
		s.log.Info("starts no longer limited", "limit", s.starts.Max(false), "dropped", s.starts.Dropped())
	}
}
