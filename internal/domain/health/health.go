// Package health distinguishes faulty workers from faulty tasks. A worker goes on probation when distinct jobs fail on
// it that do not fail elsewhere; a kind of task is stopped when it fails on distinct workers that are not themselves on
// probation.
package health

import (
	"sync"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/fault"
)

// Kind identifies a kind of task of a team.
type Kind struct {
	Team ident.TeamID
	Name string
}

// Settings are the thresholds and intervals of failure tracking.
type Settings struct {
	MinFailedJobs     int           // distinct jobs that must fail on a worker to put it on probation; at least 2
	MinFailedWorkers  int           // distinct workers on which a kind must fail to be stopped; at least 2
	Window            time.Duration // how long a failure counts
	ProbeBackoff      time.Duration // pause after the first failed probe; doubles with each further one
	MaxProbeBackoff   time.Duration // upper bound of the pause
	KindRetryInterval time.Duration // interval at which one task of a stopped kind is admitted as a retry
}

// DefaultSettings require three failures, which a single fault does not cause at the same time.
var DefaultSettings = Settings{
	MinFailedJobs: 3, MinFailedWorkers: 3, Window: 10 * time.Minute,
	ProbeBackoff: time.Second, MaxProbeBackoff: time.Minute,
	KindRetryInterval: 30 * time.Second,
}

// Tracker is the aggregate of one process's failure records of its workers and of the kinds of task that ran on them.
type Tracker struct {
	mu       sync.Mutex
	settings Settings
	workers  map[ident.WorkerID]*workerRecord
	kinds    map[Kind]*kindRecord
}

// workerRecord holds the failures on a worker since its last success.
type workerRecord struct {
	failures     map[ident.WorkID]failure
	failedProbes int       // probes that failed during probation
	nextProbe    time.Time // earliest next probe
}

type failure struct {
	kind Kind
	at   time.Time
}

// kindRecord holds the failures of a kind since its last success.
type kindRecord struct {
	failures  map[ident.WorkerID]time.Time
	lastRetry time.Time // last admission while the kind was stopped
}

// New returns a tracker without records.
func New(settings Settings) *Tracker {
	return &Tracker{settings: settings, workers: map[ident.WorkerID]*workerRecord{}, kinds: map[Kind]*kindRecord{}}
}

// RecordSuccess clears the failure records of the worker and of the kind.
func (t *Tracker) RecordSuccess(worker ident.WorkerID, kind Kind) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.workers, worker)
	delete(t.kinds, kind)
}

// RecordFailure records that a job's task ran on the worker and failed by itself, that is, was not stopped or evicted.
func (t *Tracker) RecordFailure(now time.Time, worker ident.WorkerID, kind Kind, job ident.WorkID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w, ok := t.workers[worker]
	if !ok {
		w = &workerRecord{failures: map[ident.WorkID]failure{}}
		t.workers[worker] = w
	}
	k, ok := t.kinds[kind]
	if !ok {
		k = &kindRecord{failures: map[ident.WorkerID]time.Time{}}
		t.kinds[kind] = k
	}
	wasProbe := t.onProbation(now, worker)
	t.pruneFailures(now, w, k)
	w.failures[job] = failure{kind, now}
	k.failures[worker] = now
	if wasProbe {
		pause := min(t.settings.ProbeBackoff<<min(w.failedProbes, 16), t.settings.MaxProbeBackoff)
		w.failedProbes++
		w.nextProbe = now.Add(pause)
	}
}

// pruneFailures removes failures that are older than the window, and limits the number kept of one worker.
func (t *Tracker) pruneFailures(now time.Time, w *workerRecord, k *kindRecord) {
	for job, f := range w.failures {
		if now.Sub(f.at) > t.settings.Window || len(w.failures) > maxFailures {
			delete(w.failures, job)
		}
	}
	for id, at := range k.failures {
		if now.Sub(at) > t.settings.Window {
			delete(k.failures, id)
		}
	}
}

// maxFailures is the maximum number of failed jobs kept of one worker.
const maxFailures = 64

// OnProbation reports whether only probes may be placed on the worker.
func (t *Tracker) OnProbation(now time.Time, worker ident.WorkerID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.onProbation(now, worker)
}

// onProbation counts the distinct jobs that failed on the worker. A job whose kind also failed on another worker counts
// against the kind instead.
func (t *Tracker) onProbation(now time.Time, worker ident.WorkerID) bool {
	w, ok := t.workers[worker]
	if !ok {
		return false
	}
	jobs := 0
	for _, f := range w.failures {
		if now.Sub(f.at) <= t.settings.Window && !t.failsElsewhere(now, f.kind, worker) {
			jobs++
		}
	}
	return jobs >= t.settings.MinFailedJobs
}

// failsElsewhere reports whether the kind has failed on another worker since its last success.
func (t *Tracker) failsElsewhere(now time.Time, kind Kind, worker ident.WorkerID) bool {
	k, ok := t.kinds[kind]
	if !ok {
		return false
	}
	for id, at := range k.failures {
		if id != worker && now.Sub(at) <= t.settings.Window {
			return true
		}
	}
	return false
}

// MayProbe reports whether a probe may be placed now on a worker on probation. The caller places one at a time.
func (t *Tracker) MayProbe(now time.Time, worker ident.WorkerID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	w, ok := t.workers[worker]
	return !ok || !now.Before(w.nextProbe)
}

// KindStopped reports whether the kind is stopped.
func (t *Tracker) KindStopped(now time.Time, kind Kind) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.kindStopped(now, kind)
}

// kindStopped counts the distinct workers on which the kind failed. Workers on probation do not count.
func (t *Tracker) kindStopped(now time.Time, kind Kind) bool {
	k, ok := t.kinds[kind]
	if !ok {
		return false
	}
	workers := 0
	for id, at := range k.failures {
		if now.Sub(at) <= t.settings.Window && !t.onProbation(now, id) {
			workers++
		}
	}
	return workers >= t.settings.MinFailedWorkers
}

// AdmitKind fails with Impossible for tasks of a stopped kind, except for one retry at each interval.
func (t *Tracker) AdmitKind(now time.Time, kind Kind) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.kindStopped(now, kind) {
		return nil
	}
	k := t.kinds[kind]
	if now.Sub(k.lastRetry) >= t.settings.KindRetryInterval {
		k.lastRetry = now
		return nil
	}
	return fault.New(fault.Impossible, "kind %q of team %s is stopped: it failed on %d workers",
		kind.Name, kind.Team, len(k.failures))
}
