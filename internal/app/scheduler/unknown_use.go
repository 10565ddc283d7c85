package scheduler

import (
	"time"

	"skylarkstall/internal/domain/account"
	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/resource"
)

const (
	// boundInterval is the interval at which it is reckoned from the jobs what each account may run unknown. What changes meanwhile
	// lowers the bound.
	boundInterval = 100 * time.Millisecond
	// maxSilentWorkers is the number of workers that have not reported from which on it is not reckoned: most of them report at once, and
	// every job is compared with each of them.
	maxSilentWorkers = 64
)

// unknownUse is what was last reckoned from the jobs.
type unknownUse struct {
	at        time.Time
	byAccount map[account.ID]resource.Vector
}

// reckonUnknown reckons what may run besides the runs that are known: on workers that have not reported their runs to this leader, the
// least of their capacity and of what the jobs of an account may run there; on workers that run something of an unknown job, their capacity.
// The lock is held.
func (s *Scheduler) reckonUnknown(now time.Time) {
	l := &s.limits
	if s.accounted && !l.isPartial {
		return
	}
	var unknown account.Unknown
	for id := range s.unsynced {
		if l.unattributed[id] > 0 {
			continue
		}
		capacity := s.capacityOf(id)
		unknown.Silent, unknown.Unbounded = unknown.Silent.Add(capacity), unknown.Unbounded || capacity.IsZero()
	}
	for id := range l.unattributed {
		capacity := s.capacityOf(id)
		unknown.Other, unknown.OtherUnbounded = unknown.Other.Add(capacity), unknown.OtherUnbounded || capacity.IsZero()
	}
	if len(s.unsynced) > 0 {
		unknown.ByAccount = s.unknownByAccount(now)
	}
	l.isPartial = len(s.unsynced)+len(l.unattributed) > 0
	if l.usage.Unknown().Equal(&unknown) {
		return
	}
	l.usage.SetUnknown(unknown)
	for _, a := range l.aside {
		l.free(a)
	}
}

// capacityOf returns the capacity of a worker, which is zero if the worker list has not described it to this leader. The lock is held.
func (s *Scheduler) capacityOf(id ident.WorkerID) resource.Vector {
	if m := s.monitors[id]; m != nil {
		return m.worker.Info().Capacity
	}
	return resource.Vector{}
}

// unknownByAccount returns the most that each account may run on workers that have not reported, reckoned from the jobs of which tasks may
// run there: a task without a known run counts once. It returns nil while jobs may run there that are not known. The lock is held.
func (s *Scheduler) unknownByAccount(now time.Time) map[account.ID]resource.Vector {
	last := &s.limits.reckoned
	if len(s.unsynced) > maxSilentWorkers || !s.knowsSilentJobs() {
		return nil
	}
	if last.byAccount != nil && now.Sub(last.at) < boundInterval {
		return last.byAccount
	}
	last.at, last.byAccount = now, map[account.ID]resource.Vector{}
	for _, e := range s.jobs {
		if e.account != "" && s.mayRunOnUnsynced(e) {
			last.byAccount[e.account] = last.byAccount[e.account].Add(e.workflow.MostUnknown(now))
		}
	}
	return last.byAccount
}

// knowsSilentJobs reports whether every job is known of which tasks may run on a worker that has not reported. A job that is not known was
// stored after the others were read: a worker that was cordoned before runs nothing of it, and no worker does if the predecessor
// had stopped by then. The lock is held.
func (s *Scheduler) knowsSilentJobs() bool {
	if silent := s.predecessor.silentRevision; s.term.PredecessorStopped || silent > 0 && s.jobsReadTo >= silent {
		return true
	}
	for _, w := range s.unsynced {
		if !w.Cordoned || s.earlierRunsLast(w) {
			return false
		}
	}
	return true
}
