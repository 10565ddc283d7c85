package scheduler

import (
	"context"
	"strings"
	"time"

	"skylarkstall/internal/app/leadership"
	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/workflow"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/pause"
	"skylarkstall/internal/port"
)

// Times of reading the store.
const (
	readTimeout = 1500 * time.Millisecond
	retryPause  = 100 * time.Millisecond
)

// load reads what earlier terms left, and returns the revision to watch from. It reports false when the term ended
// before.
func (s *Scheduler) load(ctx context.Context) (ident.Revision, bool) {
	for ctx.Err() == nil {
		asOf, err := s.loadOnce(ctx)
		if err == nil {
			return asOf, true
		}
		s.log.Warn("store not read at the start of the term", "error", err)
		pause.For(ctx, retryPause)
	}
	return 0, false
}

func (s *Scheduler) loadOnce(ctx context.Context) (ident.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*readTimeout)
	defer cancel()
	held, err := s.readHeld(ctx)
	if err != nil {
		return 0, err
	}
	jobs, asOf, err := s.ports.Ledger.List(ctx, port.JobPrefix)
	if err != nil {
		return 0, err
	}
	progress, _, err := s.ports.Ledger.List(ctx, port.ProgressPrefix)
	if err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, item := range jobs {
		s.restoreJob(item)
	}
	for _, item := range progress {
		s.restoreProgress(item)
	}
	for _, w := range held {
		s.unseen[w.ID] = w
		s.keep(w.WorkerInfo)
		s.recorded[w.ID] = !w.Cordoned
	}
	s.ready = true
	s.log.Info("store read", "jobs", len(s.jobs), "open", len(s.open), "workers", len(held), "as_of", asOf)
	return asOf, nil
}

// readHeld returns the workers that the last leader gave orders to.
func (s *Scheduler) readHeld(ctx context.Context) ([]port.WorkerRecord, error) {
	record, err := s.ports.Ledger.Get(ctx, port.WorkersKey)
	if fault.Is(err, fault.NotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	s.enlisted = record.Revision
	return s.ports.Records.DecodeWorkers(record.Value, record.Revision)
}

func (s *Scheduler) restoreJob(item port.Entry) {
	job, err := s.ports.Records.DecodeJob(item.Value)
	if err != nil {
		s.log.Error("record of a job left out", "key", item.Key, "error", err)
		return
	}
	if s.jobs[job.Spec.ID] != nil {
		return
	}
	e := s.add(job)
	e.created = item.Revision
	if s.term.HasPredecessor {
		e.flow.MarkUnknownRuns()
	}
}

func (s *Scheduler) restoreProgress(item port.Entry) {
	id := workflow.ID(strings.TrimPrefix(item.Key, port.ProgressPrefix))
	e := s.jobs[id]
	if e == nil {
		return
	}
	p, err := s.ports.Records.DecodeProgress(item.Value)
	if err != nil {
		s.log.Error("record of progress left out", "key", item.Key, "error", err)
		return
	}
	e.flow.Restore(p)
	e.revision, e.shown = item.Revision, e.flow.State()
	if e.flow.State().Final() {
		e.finished = time.Now()
		delete(s.open, id)
	}
}

// accountFor looks for the workers of the last leader. Once each was seen, or nothing runs on it any more, every run that
// an earlier leader may have ordered is known or over. The lock is held.
func (s *Scheduler) accountFor(now time.Time) {
	if len(s.unseen) == 0 {
		return
	}
	longest := s.settings.holdLength() * 11 / 10
	if !s.term.PredecessorStopped {
		longest += leadership.MaxRenewalGap
	}
	for id := range s.unseen {
		k := s.keepers[id]
		if k != nil && (k.worker.Synced() || k.over) || now.Sub(s.began) > longest {
			delete(s.unseen, id)
		}
	}
	if len(s.unseen) > 0 {
		return
	}
	for _, e := range s.open {
		e.flow.ClearUnknownRuns()
	}
	s.log.Info("runs of earlier terms accounted for", "after_ms", now.Sub(s.began).Milliseconds())
}

// mayRunUnseen reports whether tasks of a job may run on a worker that was not seen yet. A worker that was closed before
// the job was stored has none of them. The lock is held.
func (s *Scheduler) mayRunUnseen(e *entry) bool {
	if !e.flow.MayHaveUnknownRuns() {
		return false
	}
	for _, last := range s.unseen {
		if !last.Cordoned || e.created < last.CordonedAt {
			return true
		}
	}
	return false
}

// lateOrders is how long a leader that was replaced may still take in jobs before it learns of that.
const lateOrders = 1500 * time.Millisecond

// take adds a job that was accepted during the term, unless it is known. The lock is held.
func (s *Scheduler) take(job port.AcceptedJob) *entry {
	if e := s.jobs[job.Spec.ID]; e != nil {
		return e
	}
	e := s.add(job)
	s.claimStrays(e)
	if len(s.unseen) > 0 && time.Since(s.began) < lateOrders {
		e.flow.MarkUnknownRuns()
	}
	s.log.Info("job taken in", "job", job.Spec.ID, "queue", job.Queue.Name, "priority", job.Queue.Priority,
		"steps", len(job.Spec.Steps), "age_ms", time.Since(job.AcceptedAt).Milliseconds())
	s.poke()
	return e
}
