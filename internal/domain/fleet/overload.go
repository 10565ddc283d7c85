package fleet

import (
	"time"

	"skylarkstall/internal/domain/work"
	"skylarkstall/internal/fault"
)

// maxWait is the longest time that a task of a class may wait in the queue of one process; 0 means until its deadline.
// Requests must start within 1.1 s, of which forwarding to another owner takes up to 0.1 s.
var maxWait = [work.ClassCount]time.Duration{work.Request: time.Second}

// shedThreshold returns the wait of the oldest queued task of the same team, kind and size above which new ones are
// refused. The queue does not get shorter once its oldest task has waited that long, so new tasks would exceed maxWait
// before their turn.
func shedThreshold(class work.Class) time.Duration { return maxWait[class] / 2 }

// checkOverload fails with Overloaded if the task would wait longer than its class allows.
func (f *Fleet) checkOverload(now time.Time, spec work.Spec) error {
	if !f.policy.LoadShedding || maxWait[spec.Class] == 0 {
		return nil
	}
	if wait := f.queue.oldestWait(now, spec); wait > shedThreshold(spec.Class) {
		return fault.New(fault.Overloaded, "queue overloaded: the oldest task of kind %q has waited %v; the maximum wait is %v",
			spec.Kind, wait, maxWait[spec.Class])
	}
	return nil
}

// latestStart returns the time after which a queued task is refused because it would miss its deadline or exceed the
// maximum wait of its class. It is zero without load shedding.
func (f *Fleet) latestStart(now time.Time, spec work.Spec) time.Time {
	if !f.policy.LoadShedding {
		return time.Time{}
	}
	latest := spec.Deadline
	if spec.Class == work.Request && !latest.IsZero() {
		expected, _ := f.runTimes.estimate(spec)
		latest = latest.Add(-expected)
	}
	if limit := maxWait[spec.Class]; limit > 0 && (latest.IsZero() || now.Add(limit).Before(latest)) {
		latest = now.Add(limit)
	}
	return latest
}

// expire removes the queued tasks whose latest start has passed and returns a refusal for each.
func (f *Fleet) expire(now time.Time) []Refusal {
	var out []Refusal
	for {
		w := f.queue.expired(now)
		if w == nil {
			return out
		}
		kind := fault.Overloaded
		if limit := maxWait[w.spec.Class]; limit == 0 || w.latestStart.Before(w.since.Add(limit)) {
			kind = fault.DeadlineExceeded
		}
		out = append(out, Refusal{
			w.spec.ID, fault.New(kind, "%s was not started after %v in the queue", w.spec.ID, now.Sub(w.since)),
		})
	}
}
