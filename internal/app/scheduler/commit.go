package scheduler

import (
	"context"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/workflow"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/pause"
	"skylarkstall/internal/port"
)

// Parameters of recording progress.
const (
	committers    = 3 // transactions in progress at once, so that a slow store does not limit the throughput
	commitTimeout = 800 * time.Millisecond
	// batchDelay collects several changes into one transaction, because every call to the store is costly.
	batchDelay = 30 * time.Millisecond
	// jobsPerCommit follows from the limit of a transaction: one condition on the leader's record, and a condition and
	// a write for each job.
	jobsPerCommit = (port.MaxTxnOps - 1) / 2
)

// batch is a transaction and the jobs whose records it writes or deletes.
type batch struct {
	entries  []*jobEntry
	versions []uint64
	states   []workflow.State
	txn      port.Txn
}

// commitProgress records the progress of changed jobs until the term ends.
func (s *Scheduler) commitProgress(ctx context.Context) {
	for {
		select {
		case <-s.commits:
		case <-ctx.Done():
			return
		}
		pause.For(ctx, batchDelay)
		for {
			b := s.nextBatch()
			if len(b.entries) == 0 || !s.commit(ctx, b) {
				break
			}
		}
	}
}

// nextBatch takes changed jobs that are not in a transaction already: a second transaction would conflict with the
// revision that the first one writes, and fail for all its jobs.
func (s *Scheduler) nextBatch() batch {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := batch{txn: port.Txn{If: []port.Condition{{Key: port.LeaderKey, Revision: s.term.Revision}}}}
	for id, e := range s.dirty {
		if len(b.entries) == jobsPerCommit {
			break
		}
		if e.committing {
			continue
		}
		delete(s.dirty, id)
		e.committing = true
		progress := e.workflow.Progress()
		key := port.ProgressPrefix + string(id)
		b.entries, b.versions = append(b.entries, e), append(b.versions, e.version)
		b.states = append(b.states, progress.State)
		b.txn.If = append(b.txn.If, port.Condition{Key: key, Revision: e.revision})
		b.txn.Writes = append(b.txn.Writes, port.Write{Key: key, Value: s.ports.RecordCodec.EncodeProgress(progress)})
	}
	return b
}

// commit writes a batch and reports whether it succeeded. After a failure the jobs are queued again.
func (s *Scheduler) commit(ctx context.Context, b batch) bool {
	commitCtx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	result, err := s.ports.Store.Commit(commitCtx, b.txn)
	if err == nil {
		s.markStored(b, result.Revision)
		return true
	}
	s.requeue(b, result.Current, fault.Is(err, fault.Conflict))
	if ctx.Err() == nil {
		s.log.Warn("progress not recorded", "jobs", len(b.entries), "error", err)
		pause.For(ctx, retryDelay)
	}
	return false
}

func (s *Scheduler) markStored(b batch, revision ident.Revision) {
	s.mu.Lock()
	for i, e := range b.entries {
		e.revision, e.storedVersion, e.storedState, e.committing = revision, b.versions[i], b.states[i], false
		if e.storedState.Final() && e.finished.IsZero() {
			e.finished = time.Now()
			s.log.Info("job over", "job", e.workflow.Spec().ID, "state", e.storedState.String(), "queue", e.queue.Name,
				"took_ms", time.Since(e.accepted).Milliseconds())
		}
	}
	s.mu.Unlock()
	s.progressStored.Signal()
}

// requeue queues the jobs of a failed batch again. After a conflict it adopts the revisions of the store: while this
// process leads, only one of its own earlier attempts can have changed a record.
func (s *Scheduler) requeue(b batch, current []port.Entry, conflict bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range b.entries {
		s.dirty[e.workflow.Spec().ID] = e
		e.committing = false
	}
	select {
	case s.commits <- struct{}{}:
	default:
	}
	if !conflict {
		return
	}
	revisions := map[string]ident.Revision{}
	for _, item := range current {
		revisions[item.Key] = item.Revision
	}
	if revisions[port.LeaderKey] != s.term.Revision {
		s.endTerm("the store names another leader", nil)
		return
	}
	for _, e := range b.entries {
		e.revision = revisions[port.ProgressPrefix+string(e.workflow.Spec().ID)]
	}
}
