package fleet

import (
	"time"

	"skylarkstall/internal/domain/work"
	"skylarkstall/internal/fault"
)

// maxWait is the longest time that a task of a class waits in one process; 0 stands for its deadline. Requests are to
// start within 1.1 s, of which a hop to another owner takes up to 0.1 s.
var maxWait = [work.ClassCount]time.Duration{work.Request: time.Second}

// shedAfter is the wait of the oldest task of a team's kind at which new ones are refused: those would be older than
// maxWait when their turn comes, because the queue does not get shorter while the oldest has waited that long.
func shedAfter(class work.Class) time.Duration { return maxWait[class] / 2 }

// overloaded refuses a task that would wait longer than its class may.
func (f *Fleet) overloaded(now time.Time, spec work.Spec) error {
	if !f.policy.LoadShedding || maxWait[spec.Class] == 0 {
		return nil
	}
	if wait := f.queue.waits(now, spec); wait > shedAfter(spec.Class) {
		return fault.New(fault.Overloaded, "tasks of kind %q wait for %v; the limit is %v", spec.Kind, wait, maxWait[spec.Class])
	}
	return nil
}

// latest returns until when a task may start: to meet its deadline, and not to wait longer than its class may.
func (f *Fleet) latest(now time.Time, spec work.Spec) time.Time {
	if !f.policy.LoadShedding {
		return time.Time{}
	}
	latest := spec.Deadline
	if spec.Class == work.Request && !latest.IsZero() {
		usual, _ := f.times.estimate(spec)
		latest = latest.Add(-usual)
	}
	if limit := maxWait[spec.Class]; limit > 0 && (latest.IsZero() || now.Add(limit).Before(latest)) {
		latest = now.Add(limit)
	}
	return latest
}

// expire refuses the waiting tasks whose latest start has passed.
func (f *Fleet) expire(now time.Time) []Refusal {
	var out []Refusal
	for {
		w := f.queue.expired(now)
		if w == nil {
			return out
		}
		kind := fault.Overloaded
		if limit := maxWait[w.spec.Class]; limit == 0 || w.latest.Before(w.since.Add(limit)) {
			kind = fault.DeadlineExceeded
		}
		out = append(out, Refusal{w.spec.ID, fault.New(kind, "%s waited for %v", w.spec.ID, now.Sub(w.since))})
	}
}
