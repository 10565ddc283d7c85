// Package health tells faulty workers from faulty work. A worker goes on probation when distinct jobs fail on it that
// do not fail elsewhere; a kind of work is stopped when it fails on distinct workers that do not fail everything.
package health

import (
	"sync"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/fault"
)

// Kind names a kind of work: a team's own named sort of work.
type Kind struct {
	Team ident.TeamID
	Name string
}

// Settings are the amounts of evidence.
type Settings struct {
	MinFailedJobs     int           // distinct jobs that must have failed on a worker; at least 2
	MinFailedWorkers  int           // distinct workers that a kind must have failed on; at least 2
	Window            time.Duration // how long a failure counts
	ProbeBackoff      time.Duration // after a failed probe; doubles with each further one
	MaxProbeBackoff   time.Duration // bound of the pause
	KindRetryInterval time.Duration // how often one task of a stopped kind is admitted to find out whether it works again
}

// DefaultSettings need three failures of a kind that a single fault does not cause together.
var DefaultSettings = Settings{
	MinFailedJobs: 3, MinFailedWorkers: 3, Window: 10 * time.Minute, ProbeBackoff: time.Second, MaxProbeBackoff: time.Minute,
	KindRetryInterval: 30 * time.Second,
}

// Tracker is the aggregate of one process's evidence about its workers and the kinds of work that ran on them.
type Tracker struct {
	mu       sync.Mutex
	settings Settings
	workers  map[ident.WorkerID]*workerRecord
	kinds    map[Kind]*kindRecord
}

// workerRecord is the evidence about a worker since its last success.
type workerRecord struct {
	failures map[ident.WorkID]failure
	probes   int       // failed while on probation
	next     time.Time // earliest next probe
}

type failure struct {
	kind Kind
	at   time.Time
}

// kindRecord is the evidence about a kind since its last success.
type kindRecord struct {
	failures map[ident.WorkerID]time.Time
	retried  time.Time // last admission while stopped
}

// New returns a view without evidence.
func New(settings Settings) *Tracker {
	return &Tracker{settings: settings, workers: map[ident.WorkerID]*workerRecord{}, kinds: map[Kind]*kindRecord{}}
}

// RecordSuccess clears the evidence against the worker and the kind.
func (h *Tracker) RecordSuccess(worker ident.WorkerID, kind Kind) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.workers, worker)
	delete(h.kinds, kind)
}

// RecordFailure notes that a job's task ran on the worker and failed by itself.
func (h *Tracker) RecordFailure(now time.Time, worker ident.WorkerID, kind Kind, job ident.WorkID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	w, ok := h.workers[worker]
	if !ok {
		w = &workerRecord{failures: map[ident.WorkID]failure{}}
		h.workers[worker] = w
	}
	k, ok := h.kinds[kind]
	if !ok {
		k = &kindRecord{failures: map[ident.WorkerID]time.Time{}}
		h.kinds[kind] = k
	}
	probe := h.onProbation(now, worker)
	h.forget(now, w, k)
	w.failures[job] = failure{kind, now}
	k.failures[worker] = now
	if probe {
		pause := min(h.settings.ProbeBackoff<<min(w.probes, 16), h.settings.MaxProbeBackoff)
		w.probes++
		w.next = now.Add(pause)
	}
}

// forget drops failures that are too old to count, and all but as many of a worker's as decide.
func (h *Tracker) forget(now time.Time, w *workerRecord, k *kindRecord) {
	for job, f := range w.failures {
		if now.Sub(f.at) > h.settings.Window || len(w.failures) > maxFailures {
			delete(w.failures, job)
		}
	}
	for id, at := range k.failures {
		if now.Sub(at) > h.settings.Window {
			delete(k.failures, id)
		}
	}
}

// maxFailures bounds the jobs remembered for one worker.
const maxFailures = 64

// OnProbation reports whether only probes may be placed on the worker.
func (h *Tracker) OnProbation(now time.Time, worker ident.WorkerID) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.onProbation(now, worker)
}

// onProbation counts the distinct jobs that failed on the worker. A job of a kind that also failed on another worker is
// evidence against the kind, and does not count.
func (h *Tracker) onProbation(now time.Time, worker ident.WorkerID) bool {
	w, ok := h.workers[worker]
	if !ok {
		return false
	}
	jobs := 0
	for _, f := range w.failures {
		if now.Sub(f.at) <= h.settings.Window && !h.failsElsewhere(now, f.kind, worker) {
			jobs++
		}
	}
	return jobs >= h.settings.MinFailedJobs
}

// failsElsewhere reports whether the kind failed on another worker since its last success.
func (h *Tracker) failsElsewhere(now time.Time, kind Kind, worker ident.WorkerID) bool {
	k, ok := h.kinds[kind]
	if !ok {
		return false
	}
	for id, at := range k.failures {
		if id != worker && now.Sub(at) <= h.settings.Window {
			return true
		}
	}
	return false
}

// MayProbe reports whether a probe may be placed on a worker on probation now. The caller places one at a time.
func (h *Tracker) MayProbe(now time.Time, worker ident.WorkerID) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	w, ok := h.workers[worker]
	return !ok || !now.Before(w.next)
}

// KindStopped reports whether the kind is stopped.
func (h *Tracker) KindStopped(now time.Time, kind Kind) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.stopped(now, kind)
}

// stopped counts the distinct workers that the kind failed on. A worker on probation does not count.
func (h *Tracker) stopped(now time.Time, kind Kind) bool {
	k, ok := h.kinds[kind]
	if !ok {
		return false
	}
	workers := 0
	for id, at := range k.failures {
		if now.Sub(at) <= h.settings.Window && !h.onProbation(now, id) {
			workers++
		}
	}
	return workers >= h.settings.MinFailedWorkers
}

// AdmitKind refuses work of a stopped kind with Impossible, except one task from time to time.
func (h *Tracker) AdmitKind(now time.Time, kind Kind) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.stopped(now, kind) {
		return nil
	}
	k := h.kinds[kind]
	if now.Sub(k.retried) >= h.settings.KindRetryInterval {
		k.retried = now
		return nil
	}
	return fault.New(fault.Impossible, "kind %q of team %s failed on %d workers and is stopped",
		kind.Name, kind.Team, len(k.failures))
}
