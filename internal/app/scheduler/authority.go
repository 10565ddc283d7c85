package scheduler

import (
	"context"
	"slices"
	"time"

	"skylarkstall/internal/app/leadership"
	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/pool"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/pause"
	"skylarkstall/internal/port"
)

// A leader that cannot renew its lease may have been replaced, or the store may be away for every process. The workers tell
// which: they refuse requests of a leader once the next one has called them. So a leader lets tasks run only while its lease was
// renewed, or more than half of the recorded workers answered, within authorityWindow. Once its successor has been answered by two
// thirds of the same record, both sets have workers in common, and the predecessor grants nothing after another window.
const (
	authorityWindow = leadership.ConfirmedFor
	// confirmInterval limits how often the answers of all workers are looked through.
	confirmInterval = 20 * time.Millisecond
	// shortSyncAfter is the age of the last renewal from which syncs wait for less. With ackWait, answers are
	// then younger than authorityWindow.
	shortSyncAfter = 700 * time.Millisecond
	shortSyncWait  = 400 * time.Millisecond
)

// authority tracks until when the answers of workers confirm that no other leader has called most of them.
type authority struct {
	workers        []ident.WorkerID // in the record of workers as it was last read or stored
	confirmedUntil time.Time
	checked        time.Time // when the answers were last looked through
	doubtful       bool      // the last check found no confirmation
}

// mayLetRun reports whether the leader may start runs and extend their leases. The lock is held.
func (s *Scheduler) mayLetRun(now time.Time) bool {
	confirmed := s.term.Renewal.Within(authorityWindow, now) || s.confirmedByWorkers(now)
	if a := &s.authority; confirmed == a.doubtful {
		a.doubtful = !confirmed
		if confirmed {
			s.progress.Resume(now)
			s.log.Info("leader confirmed again")
		} else {
			s.log.Warn("leader not confirmed; runs are neither started nor extended", "workers", len(a.workers))
		}
	}
	return confirmed
}

func (s *Scheduler) confirmedByWorkers(now time.Time) bool {
	a := &s.authority
	if !now.Before(a.confirmedUntil) && now.Sub(a.checked) >= confirmInterval {
		a.checked, a.confirmedUntil = now, s.majorityAnswered().Add(authorityWindow)
	}
	return now.Before(a.confirmedUntil)
}

// majorityAnswered returns the latest time from which on more than half of the recorded workers were sent a request that they
// answered. It is zero if there is none. The lock is held.
func (s *Scheduler) majorityAnswered() time.Time {
	var answered []time.Time
	for _, id := range s.authority.workers {
		if m := s.monitors[id]; m != nil && !m.worker.LastAnswered().IsZero() {
			answered = append(answered, m.worker.LastAnswered())
		}
	}
	majority := len(s.authority.workers)/2 + 1
	if len(answered) < majority {
		return time.Time{}
	}
	slices.SortFunc(answered, func(a, b time.Time) int { return b.Compare(a) })
	return answered[majority-1]
}

// syncWait returns how long a worker may delay the answer to a sync.
func (s *Scheduler) syncWait(now time.Time) time.Duration {
	if s.term.Renewal.Within(shortSyncAfter, now) {
		return syncWait
	}
	return shortSyncWait
}

// checkInForce fails with StaleEpoch if the lease of the leader has not been renewed for too long: the
// process may have been paused, and another one may lead.
func (s *Scheduler) checkInForce(now time.Time) error {
	if s.term.Renewal.InForce(now) {
		return nil
	}
	return fault.New(fault.StaleEpoch, "the leader's lease has not been renewed for %v", leadership.MaxRenewalGap)
}

// checkMayStart fails with StaleEpoch like checkInForce, and with NotReady while nothing confirms that this process still leads.
func (s *Scheduler) checkMayStart(now time.Time) error {
	if err := s.checkInForce(now); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.mayLetRun(now) {
		return fault.New(fault.NotReady, "neither the store nor most workers confirm that this process leads")
	}
	return nil
}

// predecessor is what a leader knows of the one before it.
type predecessor struct {
	workers        []ident.WorkerID // in its record
	fencedAt       time.Time        // when enough of them had answered this leader that they stop it; zero before
	silentRevision ident.Revision   // of the store when the predecessor started nothing any more; 0 before
}

// observeFencing notes when two thirds of the predecessor's workers have answered this leader. The lock is held.
func (s *Scheduler) observeFencing(now time.Time) {
	p := &s.predecessor
	if len(p.workers) == 0 || !p.fencedAt.IsZero() {
		return
	}
	answered := 0
	for _, id := range p.workers {
		if m := s.monitors[id]; m != nil && m.worker.Synced() {
			answered++
		}
	}
	if 3*answered >= 2*len(p.workers) {
		p.fencedAt = now
	}
}

// fencedAfter returns how long after the start of the term the predecessor's workers were fenced, and -1 ms if they were not.
func (s *Scheduler) fencedAfter() time.Duration {
	if s.predecessor.fencedAt.IsZero() {
		return -time.Millisecond
	}
	return s.predecessor.fencedAt.Sub(s.startedAt)
}

// predecessorSilentAt returns the time from which no earlier leader grants leases any more. The lock is held.
func (s *Scheduler) predecessorSilentAt() time.Time {
	if s.term.PredecessorStopped {
		return s.startedAt
	}
	silent := s.startedAt.Add(leadership.MaxRenewalGap)
	if known := s.term.PredecessorSilentAt; !known.IsZero() && known.Before(silent) {
		silent = known
	}
	if fenced := s.predecessor.fencedAt; !fenced.IsZero() && fenced.Add(authorityWindow).Before(silent) {
		silent = fenced.Add(authorityWindow)
	}
	if s.term.EarlierSilentAt.After(silent) {
		return s.term.EarlierSilentAt // leaders before the previous one may rely on other workers than are recorded now
	}
	return silent
}

// silenceCheckInterval is the interval at which a new leader checks whether its predecessor starts nothing any more.
const silenceCheckInterval = 100 * time.Millisecond

// awaitPredecessorSilence waits until the predecessor starts nothing any more, and then notes the revision of the store: the
// predecessor has started no job that was stored after it.
func (s *Scheduler) awaitPredecessorSilence(ctx context.Context) {
	for s.awaitsSilence() && pause.For(ctx, silenceCheckInterval) {
		if !s.isPredecessorSilent(time.Now()) {
			continue
		}
		readCtx, cancel := context.WithTimeout(ctx, readTimeout)
		_, revision, err := s.ports.Store.List(readCtx, port.LeaderKey)
		cancel()
		if err != nil {
			s.log.Warn("revision of the store not read", "error", err)
			continue
		}
		s.mu.Lock()
		s.predecessor.silentRevision = revision
		s.mu.Unlock()
		s.wakePlacement()
		return
	}
}

// awaitsSilence reports whether runs of the predecessor may still be unknown, and the predecessor has not stopped for certain.
func (s *Scheduler) awaitsSilence() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.accounted && !s.term.PredecessorStopped
}

func (s *Scheduler) isPredecessorSilent(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.After(s.predecessorSilentAt())
}

// mayBeStartedByPredecessor reports whether a job that was accepted during the term may have been started by the predecessor. A
// job of unknown revision may have been stored before the predecessor fell silent. The lock is held.
func (s *Scheduler) mayBeStartedByPredecessor(e *jobEntry) bool {
	silentRevision := s.predecessor.silentRevision
	return !s.term.PredecessorStopped && (silentRevision == 0 || e.createdRevision <= silentRevision)
}

// earlierRunsLast reports whether runs of a leader before the previous one may have gone on there when the term began. The lock is held.
func (s *Scheduler) earlierRunsLast(w port.WorkerRecord) bool {
	lapsedAt := s.term.EarlierSilentAt.Add(s.lapseTime(w))
	return !s.term.EarlierSilentAt.IsZero() && s.startedAt.Before(lapsedAt)
}

// predecessorLapsedAt returns the time from which nothing that an earlier leader started runs on any worker that does not answer.
// The lock is held.
func (s *Scheduler) predecessorLapsedAt() time.Time {
	longest := time.Duration(0)
	for _, w := range s.unsynced {
		longest = max(longest, s.lapseTime(w))
	}
	return s.predecessorSilentAt().Add(longest)
}

// lapseTime returns how long after the last request of an earlier leader nothing runs any more on a worker that does not answer. If the
// worker may have carried out a request to an earlier life, that may have left the longest lease that it grants. The lock is held.
func (s *Scheduler) lapseTime(w port.WorkerRecord) time.Duration {
	m := s.monitors[w.ID]
	if w.Fenced && (m == nil || m.worker.Incarnation() == w.Incarnation) {
		return pool.LapseTime(s.settings.leaseDuration())
	}
	return pool.LapseTime(s.settings.MaxLease)
}
