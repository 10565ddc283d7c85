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
	return port.Target{Worker: k.worker.Info().ID, Address: k.worker.Info().Address}
}

// keep starts to hold a worker. The lock is held.
func (s *Scheduler) keep(w pool.WorkerInfo) {
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
	report, err := s.ports.Runner.Sync(looking, target, order)
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
func (s *Scheduler) holdOrder(k *keeper, wait time.Duration) port.SyncRequest {
	order := port.SyncRequest{Token: s.term.Token}
	if k.broken {
		return order
	}
	order.LeaseUntil, _ = k.worker.ExtendLease(s.settings.holdLength(), time.Now())
	for len(k.pending) > 0 && (k.pending[0].job == nil || k.pending[0].job.stored >= k.pending[0].version) {
		k.acked = k.pending[0].number
		k.pending = k.pending[1:]
	}
	order.AckThrough, order.Wait = k.acked, wait
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
		s.log.Warn("worker not reached", "worker", k.worker.Info().ID, "runs", len(k.worker.Runs()), "error", err)
	}
	k.broken = true
	switch {
	case fault.Is(err, fault.NotFound):
		k.over = true
		s.drop(k, workflow.Lost)
	case k.worker.LeaseExpired(time.Now()):
		s.drop(k, workflow.LeaseExpired)
	case k.worker.SilentFor(time.Now()) > lookWait+copyAfter:
		s.copyElsewhere(k)
	}
}

// copyElsewhere lets copies of a silent worker's runs start where their steps allow it. The runs keep their room. The lock
// is held.
func (s *Scheduler) copyElsewhere(k *keeper) {
	for _, run := range k.worker.Runs() {
		e := s.jobs[run.Task.Job]
		if e != nil && run.Step.Speculative && e.flow.DropRun(run.RunRef, k.worker.Info().ID) {
			s.log.Info("run copied", "task", run.Task.String(), "run", run.Run, "worker", k.worker.Info().ID,
				"silent_ms", k.worker.SilentFor(time.Now()).Milliseconds())
			s.poke()
		}
	}
}

// drop gives up every run of a worker on which certainly none is left. The lock is held.
func (s *Scheduler) drop(k *keeper, how workflow.Outcome) {
	runs := k.worker.Runs()
	for _, run := range runs {
		k.worker.Release(run.RunRef)
		s.ended(k, workflow.End{Run: run.RunRef, Outcome: how})
	}
	if len(runs) > 0 {
		s.log.Warn("runs of a worker given up", "worker", k.worker.Info().ID, "runs", len(runs), "how", how.String())
		s.poke()
	}
}
