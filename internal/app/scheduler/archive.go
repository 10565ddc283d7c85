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

// Parameters of archiving finished jobs.
const (
	archiveInterval = time.Second
	// archiveDelay is how long a finished job keeps its records. Writes of its progress that got no response may take effect
	// within this time, and must not leave a record behind.
	archiveDelay = 10 * time.Second
	// jobsPerArchive follows from the limit of a transaction: one condition on the leader's record, and a condition, a write
	// and two deletions for each job.
	jobsPerArchive = (port.MaxTxnOps - 1) / 4
	// historyPause leaves a small link to the requests that renew leases while the history is read.
	historyPause = 50 * time.Millisecond
)

// finishedJob is a job whose records have been archived.
type finishedJob struct {
	port.FinishedJob
	since time.Time // when its retention began
}

// archiveFinished replaces the records of finished jobs by small ones under another prefix, until the term ends. A new leader
// then reads the records of open jobs only, before it starts to work.
func (s *Scheduler) archiveFinished(ctx context.Context) {
	for pause.For(ctx, archiveInterval) {
		for s.archiveBatch(ctx) {
			continue
		}
	}
}

// archiveBatch archives jobs in one transaction. It reports whether more jobs may be archived at once.
func (s *Scheduler) archiveBatch(ctx context.Context) bool {
	entries, txn := s.nextArchive(time.Now())
	if len(entries) == 0 {
		return false
	}
	commitCtx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	result, err := s.ports.Store.Commit(commitCtx, txn)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil {
		for _, e := range entries {
			s.markArchived(e)
		}
		return len(entries) == jobsPerArchive
	}
	s.log.Warn("finished jobs not archived", "jobs", len(entries), "error", err)
	if fault.Is(err, fault.Conflict) {
		s.resolveArchive(entries, result.Current)
	}
	return false
}

// nextArchive returns jobs whose final state has been recorded for a while and of which nothing runs, and the transaction that
// archives them.
func (s *Scheduler) nextArchive(now time.Time) ([]*jobEntry, port.Txn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var entries []*jobEntry
	txn := port.Txn{If: []port.Condition{{Key: port.LeaderKey, Revision: s.term.Revision}}}
	for id, e := range s.jobs {
		if len(entries) == jobsPerArchive {
			break
		}
		if !e.isSettled() || now.Sub(e.finished) < archiveDelay {
			continue
		}
		key := port.ProgressPrefix + string(id)
		entries = append(entries, e)
		txn.If = append(txn.If, port.Condition{Key: key, Revision: e.revision})
		txn.Writes = append(txn.Writes, port.Write{
			Key:   port.FinishedPrefix + string(id),
			Value: s.ports.RecordCodec.EncodeFinished(e.finishedRecord()),
		})
		txn.Deletes = append(txn.Deletes, port.JobPrefix+string(id), key)
	}
	return entries, txn
}

// isSettled reports whether the job has finished, all of its progress is recorded and nothing of it runs.
func (e *jobEntry) isSettled() bool {
	return e.storedState.Final() && !e.committing && e.storedVersion >= e.version && len(e.workflow.Active()) == 0
}

// finishedRecord returns what the archive holds of a finished job.
func (e *jobEntry) finishedRecord() port.FinishedJob {
	return port.FinishedJob{Queue: e.queue.Ref(), Account: e.account, State: e.storedState}
}

// markArchived replaces a job by what the archive holds of it. The lock is held.
func (s *Scheduler) markArchived(e *jobEntry) {
	id := e.workflow.Spec().ID
	delete(s.jobs, id)
	s.finished[id] = finishedJob{e.finishedRecord(), e.finished}
}

// resolveArchive handles a conflict: another process leads, an earlier attempt took effect, or a record of progress has another
// revision than was known. The lock is held.
func (s *Scheduler) resolveArchive(entries []*jobEntry, current []port.Entry) {
	revisions := map[string]ident.Revision{}
	for _, item := range current {
		revisions[item.Key] = item.Revision
	}
	if revisions[port.LeaderKey] != s.term.Revision {
		s.endTerm("the store names another leader", nil)
		return
	}
	for _, e := range entries {
		if revision, exists := revisions[port.ProgressPrefix+string(e.workflow.Spec().ID)]; exists {
			e.revision = revision
		} else {
			s.markArchived(e)
		}
	}
}

// readHistory reads the archived jobs, after the leader has begun its work.
func (s *Scheduler) readHistory(ctx context.Context) {
	began, read := time.Now(), 0
	reader := pageReader{s: s, prefix: port.FinishedPrefix, pause: historyPause}
	_, err := reader.readAll(ctx, func(page []port.Entry) {
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, item := range page {
			s.restoreFinished(item)
		}
		read += len(page)
	})
	if err != nil {
		return // the term has ended
	}
	s.mu.Lock()
	s.historyRead = true
	s.mu.Unlock()
	s.log.Info("history read", "jobs", read, "took_ms", time.Since(began).Milliseconds())
}

// restoreFinished takes in the record of an archived job. A record that cannot be decoded keeps its id taken until its retention
// has ended. The lock is held.
func (s *Scheduler) restoreFinished(item port.Entry) {
	id := workflow.ID(item.Key[len(port.FinishedPrefix):])
	if _, known := s.finished[id]; known {
		return
	}
	job, err := s.ports.RecordCodec.DecodeFinished(item.Value)
	if err != nil {
		s.log.Error("record of a finished job not understood", "key", item.Key, "error", err)
	}
	s.finished[id] = finishedJob{job, time.Now()}
}

// deleteInterval is the interval at which finished jobs are deleted.
const deleteInterval = 5 * time.Second

// deleteFinished deletes finished jobs and tombstones once their retention has ended, until the term ends.
func (s *Scheduler) deleteFinished(ctx context.Context) {
	for pause.For(ctx, deleteInterval) {
		for s.deleteExpired(ctx) {
			continue
		}
	}
}

// deleteExpired deletes, in one transaction, finished jobs and tombstones whose retention has ended from the store and from
// memory. It reports whether more may have to be deleted.
func (s *Scheduler) deleteExpired(ctx context.Context) bool {
	txn := port.Txn{If: []port.Condition{{Key: port.LeaderKey, Revision: s.term.Revision}}}
	jobs := s.expiredJobs(port.MaxTxnOps - len(txn.If))
	tombstones := s.expiredTombstones(port.MaxTxnOps - len(txn.If) - len(jobs))
	for _, id := range jobs {
		txn.Deletes = append(txn.Deletes, port.FinishedPrefix+string(id))
	}
	for _, id := range tombstones {
		txn.Deletes = append(txn.Deletes, port.JobPrefix+string(id))
	}
	if len(txn.Deletes) == 0 {
		return false
	}
	commitCtx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	if _, err := s.ports.Store.Commit(commitCtx, txn); err != nil {
		s.log.Warn("finished jobs not deleted", "jobs", len(jobs), "tombstones", len(tombstones), "error", err)
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range jobs {
		delete(s.finished, id)
	}
	for _, id := range tombstones {
		delete(s.tombstones, id)
	}
	s.log.Info("finished jobs deleted", "jobs", len(jobs), "tombstones", len(tombstones))
	return len(txn.If)+len(txn.Deletes) == port.MaxTxnOps
}

// expiredJobs returns up to limit archived jobs whose retention has ended.
func (s *Scheduler) expiredJobs(limit int) []workflow.ID {
	s.mu.Lock()
	defer s.mu.Unlock()
	var ids []workflow.ID
	for id, job := range s.finished {
		if len(ids) < limit && time.Since(job.since) > s.settings.StatusRetention {
			ids = append(ids, id)
		}
	}
	return ids
}

// expiredTombstones returns up to limit tombstones whose retention has ended.
func (s *Scheduler) expiredTombstones(limit int) []workflow.ID {
	s.mu.Lock()
	defer s.mu.Unlock()
	var ids []workflow.ID
	for id, since := range s.tombstones {
		if len(ids) < limit && time.Since(since) > s.settings.StatusRetention {
			ids = append(ids, id)
		}
	}
	return ids
}
