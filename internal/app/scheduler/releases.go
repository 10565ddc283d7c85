package scheduler

import (
	"slices"
	"time"
)

// releaseLog lists the workers on which capacity was released, in the order of the passes of placement that noticed it. A step that
// found no room need be compared only with these.
type releaseLog struct {
	pass    uint64 // number of the last pass
	entries []releaseEntry
}

type releaseEntry struct {
	pass    uint64
	at      time.Time
	monitor *workerMonitor
}

// releaseLogLength is how long an entry is kept. A step that no pass has reached for longer is due on all workers.
const releaseLogLength = time.Second

// notice begins a pass: it adds the workers on which capacity was released since the last one. The scheduler's lock is held.
func (l *releaseLog) notice(s *Scheduler, now time.Time) {
	l.pass++
	for _, m := range s.releasedMonitors() {
		if n := m.worker.Releases(); n != m.noticedReleases {
			m.noticedReleases = n
			l.entries = append(l.entries, releaseEntry{l.pass, now, m})
		}
	}
	expired := 0
	for expired < len(l.entries) && now.Sub(l.entries[expired].at) > releaseLogLength {
		expired++
	}
	l.entries = slices.Delete(l.entries, 0, expired)
}

// since returns the entries of the passes after the given one.
func (l *releaseLog) since(pass uint64) []releaseEntry {
	i := len(l.entries)
	for i > 0 && l.entries[i-1].pass > pass {
		i--
	}
	return l.entries[i:]
}

// releasedWorkers returns the workers on which the step may run and capacity was released since the pass that last tried the step,
// enough for a task. The lock is held.
func (s *Scheduler) releasedWorkers(c candidate) []allowedWorker {
	var workers []allowedWorker
	step := c.entry.workflow.Step(c.ref)
	if c.permits != nil && !c.permits.AnyValid(c.pass.ticketTime) {
		return nil
	}
	for _, entry := range s.releases.since(c.step.triedIn) {
		if !entry.monitor.worker.Fits(step) {
			continue
		}
		if a, ok := s.allowedOn(c, entry.monitor); ok {
			workers = append(workers, a)
		}
	}
	return workers
}

// allowedOn reports whether the queue's policy allows the step on a worker, and the worker is recorded and not cordoned. The lock is held.
func (s *Scheduler) allowedOn(c candidate, m *workerMonitor) (allowedWorker, bool) {
	if !s.mayGetRuns(m) {
		return allowedWorker{}, false
	}
	if c.permits == nil {
		return allowedWorker{monitor: m}, true
	}
	ticket, ok := c.permits.Ticket(permitWorker(m), c.pass.ticketTime)
	return allowedWorker{m, ticket.Value}, ok
}
