package worker

import (
	"sort"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/resource"
	"skylarkstall/internal/domain/work"
)

// actionTimeout is how long a throttle or an eviction has to take effect before the next action. Usage is reported with
// a lag of a few seconds.
const actionTimeout = 5 * time.Second

// reservation is the capacity reserved for an attempt.
type reservation struct {
	attempt    ident.Attempt
	class      work.Class
	size       resource.Vector // declared
	used       resource.Vector // last measured usage; zero before the first report
	repeatable bool            // false also for adopted attempts, of which it is not known
	throttled  time.Time       // zero if never
	evicted    time.Time       // zero if never
}

// charge returns the larger of the declared and the measured amount of each resource.
func (r *reservation) charge() resource.Vector { return r.size.Max(r.used) }

func (r *reservation) excess() resource.Vector { return r.charge().Sub(r.size) }

// Action is an action on a task to free capacity.
type Action uint8

// Actions, mildest first.
const (
	Throttle   Action = iota // limit the task to its declared size
	Checkpoint               // save the task's progress and stop it
	Stop                     // stop the task
)

// Mitigation is an action to take on one task.
type Mitigation struct {
	ID     work.AttemptID
	Action Action
	Limit  resource.Vector // for Throttle
}

// UpdateUsage records the measured usage of running tasks. From then on placement counts the larger of measured and
// declared amounts.
func (w *Worker) UpdateUsage(usage []work.Usage) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, u := range usage {
		if r, ok := w.tasks[u.Task]; ok {
			r.used = u.Used
		}
	}
}

// Drain stops reservations because the worker itself reports that it is draining. Tasks that still run after the notice
// are evicted. It returns false if the worker was already draining.
func (w *Worker) Drain(now time.Time, notice time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.drainReported = true
	return w.startDraining(now, notice)
}

// UpdateListed records the state of the worker in the VM list. The list lags and may be wrong, so it can also report
// that the worker is no longer draining. It returns whether the worker starts to drain.
func (w *Worker) UpdateListed(now time.Time, draining bool, notice time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if draining {
		return w.startDraining(now, notice)
	}
	if !w.drainReported {
		w.draining, w.evictionDue = false, time.Time{}
	}
	return false
}

func (w *Worker) startDraining(now time.Time, notice time.Duration) bool {
	if w.draining {
		return false
	}
	w.draining, w.evictionDue = true, now.Add(notice)
	return true
}

// Mitigations returns the actions to take now on the tasks of a worker that is draining or over capacity. While the
// worker has free capacity, usage above the declared size is only charged. Otherwise the task with the largest excess
// is throttled first, and checkpointed or stopped if that did not help; tasks that are not repeatable are only
// throttled.
func (w *Worker) Mitigations(now time.Time) []Mitigation {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.evictionDue.IsZero() && !now.Before(w.evictionDue) {
		return w.evictAll(now)
	}
	charged := w.chargedTotal()
	if charged.Fits(w.capacity) {
		return nil
	}
	var mitigations []Mitigation
	for _, id := range w.byExcess() {
		if charged.Fits(w.capacity) {
			break
		}
		r := w.tasks[id]
		mitigation, freed, ok := r.nextAction(now, id)
		if ok {
			mitigations = append(mitigations, mitigation)
		}
		charged = charged.Sub(freed)
	}
	return mitigations
}

// byExcess returns the tasks that use more than declared, those with the largest excess first.
func (w *Worker) byExcess() []ident.TaskID {
	var ids []ident.TaskID
	for id, r := range w.tasks {
		if !r.excess().IsZero() {
			ids = append(ids, id)
		}
	}
	sort.Slice(ids, func(i, j int) bool {
		a, b := w.excessShare(ids[i]), w.excessShare(ids[j])
		if a != b {
			return a > b
		}
		return ids[i].String() < ids[j].String()
	})
	return ids
}

func (w *Worker) excessShare(id ident.TaskID) float64 {
	return w.tasks[id].excess().DominantShare(w.capacity)
}

// nextAction returns the next action on a task that uses more than declared, if any, and the capacity that this or an
// earlier action will free.
func (r *reservation) nextAction(now time.Time, id ident.TaskID) (Mitigation, resource.Vector, bool) {
	switch {
	case r.throttled.IsZero():
		r.throttled = now
		return Mitigation{work.AttemptID{Task: id, Attempt: r.attempt}, Throttle, r.size}, r.excess(), true
	case now.Sub(r.throttled) < actionTimeout:
		return Mitigation{}, r.excess(), false
	case !r.repeatable:
		return Mitigation{}, resource.Vector{}, false
	default:
		mitigation, ok := r.evict(now, id)
		return mitigation, r.charge(), ok
	}
}

func (w *Worker) evictAll(now time.Time) []Mitigation {
	var mitigations []Mitigation
	for id, r := range w.tasks {
		if mitigation, ok := r.evict(now, id); ok {
			mitigations = append(mitigations, mitigation)
		}
	}
	sort.Slice(mitigations, func(i, j int) bool {
		return mitigations[i].ID.Task.String() < mitigations[j].ID.Task.String()
	})
	return mitigations
}

// evict returns the action that ends the attempt, or false while an earlier eviction may still take effect. Requests
// are stopped: they are too short to be worth a checkpoint.
func (r *reservation) evict(now time.Time, id ident.TaskID) (Mitigation, bool) {
	if !r.evicted.IsZero() && now.Sub(r.evicted) < actionTimeout {
		return Mitigation{}, false
	}
	r.evicted = now
	action := Checkpoint
	if r.class == work.Request {
		action = Stop
	}
	return Mitigation{work.AttemptID{Task: id, Attempt: r.attempt}, action, resource.Vector{}}, true
}

// Evicted reports whether the owner decided to end the attempt.
func (w *Worker) Evicted(id work.AttemptID) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	r, ok := w.tasks[id.Task]
	return ok && r.attempt == id.Attempt && !r.evicted.IsZero()
}

// String returns the name used in the timeline.
func (r Action) String() string {
	return [...]string{"throttle", "checkpoint", "stop"}[r]
}
