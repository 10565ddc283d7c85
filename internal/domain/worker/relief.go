package worker

import (
	"sort"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/resource"
	"skylarkstall/internal/domain/work"
)

// throttleGrace is how long a throttled or evicted task has to take effect before the next step. Usage is reported with
// a lag of a few seconds.
const throttleGrace = 5 * time.Second

// reservation is the capacity that an attempt holds.
type reservation struct {
	attempt    ident.Attempt
	class      work.Class
	size       resource.Vector // declared
	used       resource.Vector // last measured; zero before the first report
	repeatable bool            // false also for an attempt taken over, whose kind is not known here
	throttled  time.Time       // zero when it is not throttled
	evicted    time.Time       // zero when it is not evicted
}

// charge is the larger of the declared and the really used amount of each resource.
func (r *reservation) charge() resource.Vector { return r.size.Max(r.used) }

func (r *reservation) excess() resource.Vector { return r.charge().Sub(r.size) }

// Action is what the owner does about a task.
type Action uint8

// Remedies, mildest first.
const (
	Throttle   Action = iota // limit the task to its declared size
	Checkpoint               // save the task's progress and stop it
	Stop                     // stop the task
)

// Mitigation is a decision about one task.
type Mitigation struct {
	ID     work.AttemptID
	Action Action
	Limit  resource.Vector // of a throttle
}

// UpdateUsage notes what running tasks use. Placement sees the larger of that and the declared size from then on.
func (w *Worker) UpdateUsage(usage []work.Usage) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, u := range usage {
		if r, ok := w.tasks[u.Task]; ok {
			r.used = u.Used
		}
	}
}

// Drain stops reservations because the worker itself says that it leaves. Tasks that still run after the notice are
// evicted. It returns false if the worker was leaving before.
func (w *Worker) Drain(now time.Time, notice time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.draining = true
	return w.leave(now, notice)
}

// UpdateListed notes what the VM list says. The list lags and may be wrong, so it can also take back that the worker
// leaves. It returns whether the worker begins to leave.
func (w *Worker) UpdateListed(now time.Time, leaving bool, notice time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if leaving {
		return w.leave(now, notice)
	}
	if !w.draining {
		w.leaving, w.leaveBy = false, time.Time{}
	}
	return false
}

func (w *Worker) leave(now time.Time, notice time.Duration) bool {
	if w.leaving {
		return false
	}
	w.leaving, w.leaveBy = true, now.Add(notice)
	return true
}

// Mitigations decides what to do now about tasks on a worker that leaves or on which tasks use more than it has. While the
// worker has room, use above the declared size is only charged. Otherwise the task with the largest excess is throttled
// first, and checkpointed or stopped if that did not help; work that may not be repeated is only throttled.
func (w *Worker) Mitigations(now time.Time) []Mitigation {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.leaveBy.IsZero() && !now.Before(w.leaveBy) {
		return w.evictAll(now)
	}
	over := w.charged()
	if over.Fits(w.capacity) {
		return nil
	}
	var relief []Mitigation
	for _, id := range w.byExcess() {
		if over.Fits(w.capacity) {
			break
		}
		r := w.tasks[id]
		step, freed, ok := r.next(now, id)
		if ok {
			relief = append(relief, step)
		}
		over = over.Sub(freed)
	}
	return relief
}

// byExcess returns the tasks that use more than they declared, largest excess first.
func (w *Worker) byExcess() []ident.TaskID {
	var ids []ident.TaskID
	for id, r := range w.tasks {
		if !r.excess().IsZero() {
			ids = append(ids, id)
		}
	}
	sort.Slice(ids, func(i, j int) bool {
		a, b := w.share(ids[i]), w.share(ids[j])
		if a != b {
			return a > b
		}
		return ids[i].String() < ids[j].String()
	})
	return ids
}

func (w *Worker) share(id ident.TaskID) float64 {
	return w.tasks[id].excess().DominantShare(w.capacity)
}

// next returns the next step about a task that uses more than it declared, and what earlier steps or this one will
// free.
func (r *reservation) next(now time.Time, id ident.TaskID) (Mitigation, resource.Vector, bool) {
	switch {
	case r.throttled.IsZero():
		r.throttled = now
		return Mitigation{work.AttemptID{Task: id, Attempt: r.attempt}, Throttle, r.size}, r.excess(), true
	case now.Sub(r.throttled) < throttleGrace:
		return Mitigation{}, r.excess(), false
	case !r.repeatable:
		return Mitigation{}, resource.Vector{}, false
	default:
		step, ok := r.evict(now, id)
		return step, r.charge(), ok
	}
}

func (w *Worker) evictAll(now time.Time) []Mitigation {
	var relief []Mitigation
	for id, r := range w.tasks {
		if step, ok := r.evict(now, id); ok {
			relief = append(relief, step)
		}
	}
	sort.Slice(relief, func(i, j int) bool { return relief[i].ID.Task.String() < relief[j].ID.Task.String() })
	return relief
}

// evict returns false while an earlier eviction may still take effect. A request is too short to be worth a checkpoint.
func (r *reservation) evict(now time.Time, id ident.TaskID) (Mitigation, bool) {
	if !r.evicted.IsZero() && now.Sub(r.evicted) < throttleGrace {
		return Mitigation{}, false
	}
	r.evicted = now
	remedy := Checkpoint
	if r.class == work.Request {
		remedy = Stop
	}
	return Mitigation{work.AttemptID{Task: id, Attempt: r.attempt}, remedy, resource.Vector{}}, true
}

// Evicted reports whether the owner decided to end the attempt.
func (w *Worker) Evicted(id work.AttemptID) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	r, ok := w.tasks[id.Task]
	return ok && r.attempt == id.Attempt && !r.evicted.IsZero()
}

// String returns the name used in the time line.
func (r Action) String() string {
	return [...]string{"throttle", "checkpoint", "stop"}[r]
}
