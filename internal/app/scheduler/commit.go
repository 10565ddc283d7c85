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

// Recording of progress.
const (
	committers    = 3 // transactions in progress at a time, for when the store is slow
	commitTimeout = 800 * time.Millisecond
	// linger collects ends into one transaction, because every call to the store has its price.
	linger = 30 * time.Millisecond
	// jobsPerCommit leaves room for the condition of leading: a job takes a condition and a write.
	jobsPerCommit = (port.MaxTxnOps - 1) / 2
)

// batch is the progress of some jobs that one transaction records.
type batch struct {
	entries  []*entry
	versions []uint64
	states   []workflow.State
	txn      port.Txn
}

// record writes the progress of changed jobs until the term ends.
func (s *Scheduler) record(ctx context.Context) {
	for {
		select {
		case <-s.commits:
		case <-ctx.Done():
			return
		}
		pause.For(ctx, linger)
		for {
			b := s.nextBatch()
			if len(b.entries) == 0 || !s.commit(ctx, b) {
				break
			}
		}
	}
}

// nextBatch takes changed jobs that no other transaction carries: a second one would meet the revision that the first
// writes, and be refused with all its jobs.
func (s *Scheduler) nextBatch() batch {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := batch{txn: port.Txn{If: []port.Condition{{Key: port.LeaderKey, Revision: s.term.Revision}}}}
	for id, e := range s.dirty {
		if len(b.entries) == jobsPerCommit {
			break
		}
		if e.carried {
			continue
		}
		delete(s.dirty, id)
		e.carried = true
		progress := e.flow.Progress()
		key := port.ProgressPrefix + string(id)
		b.entries, b.versions = append(b.entries, e), append(b.versions, e.version)
		b.states = append(b.states, progress.State)
		b.txn.If = append(b.txn.If, port.Condition{Key: key, Revision: e.revision})
		b.txn.Writes = append(b.txn.Writes, port.Write{Key: key, Value: s.ports.Records.EncodeProgress(progress)})
	}
	return b
}

// commit writes a batch, or gives its jobs back. It reports whether it wrote.
func (s *Scheduler) commit(ctx context.Context, b batch) bool {
	writing, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	committed, err := s.ports.Ledger.Commit(writing, b.txn)
	if err == nil {
		s.stored(b, committed.Revision)
		return true
	}
	s.giveBack(b, committed.Current, fault.Is(err, fault.Conflict))
	if ctx.Err() == nil {
		s.log.Warn("progress not recorded", "jobs", len(b.entries), "error", err)
		pause.For(ctx, retryPause)
	}
	return false
}

func (s *Scheduler) stored(b batch, revision ident.Revision) {
	s.mu.Lock()
	for i, e := range b.entries {
		e.revision, e.stored, e.shown, e.carried = revision, b.versions[i], b.states[i], false
		if e.shown.Final() && e.finished.IsZero() {
			e.finished = time.Now()
			s.log.Info("job over", "job", e.flow.Spec().ID, "state", e.shown.String(), "queue", e.queue.Name,
				"took_ms", time.Since(e.accepted).Milliseconds())
		}
	}
	s.mu.Unlock()
	s.settled.Signal()
}

// giveBack makes the jobs of a batch that was not written wait for the next one. After a conflict it takes the
// revisions that the store has: while this process leads, only an earlier try of its own can have changed a record.
func (s *Scheduler) giveBack(b batch, current []port.Entry, conflict bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range b.entries {
		s.dirty[e.flow.Spec().ID] = e
		e.carried = false
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
		s.lose("another process leads by the store", nil)
		return
	}
	for _, e := range b.entries {
		e.revision = revisions[port.ProgressPrefix+string(e.flow.Spec().ID)]
	}
}

// forgetInterval is how often finished jobs are looked for.
const forgetInterval = 5 * time.Second

// forgetFinished deletes jobs whose state need not be told any more.
func (s *Scheduler) forgetFinished(ctx context.Context) {
	for pause.For(ctx, forgetInterval) {
		b := s.expired()
		if len(b.entries) == 0 {
			continue
		}
		writing, cancel := context.WithTimeout(ctx, commitTimeout)
		_, err := s.ports.Ledger.Commit(writing, b.txn)
		cancel()
		if err != nil {
			s.log.Warn("finished jobs not deleted", "jobs", len(b.entries), "error", err)
			continue
		}
		s.mu.Lock()
		for _, e := range b.entries {
			delete(s.jobs, e.flow.Spec().ID)
		}
		s.mu.Unlock()
		s.log.Info("finished jobs deleted", "jobs", len(b.entries))
	}
}

func (s *Scheduler) expired() batch {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := batch{txn: port.Txn{If: []port.Condition{{Key: port.LeaderKey, Revision: s.term.Revision}}}}
	for id, e := range s.jobs {
		if len(b.entries) == jobsPerCommit {
			break
		}
		if e.shown.Final() && time.Since(e.finished) > s.settings.StatusRetention && len(e.flow.Active()) == 0 {
			b.entries = append(b.entries, e)
			b.txn.Deletes = append(b.txn.Deletes, port.JobPrefix+string(id), port.ProgressPrefix+string(id))
		}
	}
	return b
}
