package fleet

import (
	"time"

	"skylarkstall/internal/domain/work"
	"skylarkstall/internal/fault"
)

// maxWait is the longest time that a task of a class waits in one process; 0 stands for its deadline. Requests are to start
// within 1.1 s, of which a hop to another owner takes up to 0.1 s.
var maxWait = [work.ClassCount]time.Duration{work.Request: time.Second}

// shedAfter is the wait of the oldest task of a team's kind at which new ones are refused: those would be older than
// maxWait when their turn comes, because the queue does not get shorter while the oldest has waited that long.
func shedAfter(class work.Class) time.Duration { return maxWait[class] / 2 }

// overloaded refuses a task that would wait longer than its class may.
func (f *Fleet) overloaded(now time.Time, spec work.Spec) error {
	if !f.policy.Shed || maxWait[spec.Class] == 0 {
		return nil
	}
	if wait := f.queue.waits(now, spec); wait > shedAfter(spec.Class) {
		return fault.New(fault.Overloaded, "tasks of kind %q wait for %v; the limit is %v", spec.Kind, wait, maxWait[spec.Class])
	}
	return nil
}

// late returns why a waiting task is not going to run: its deadline cannot be met or it has waited too long.
func (f *Fleet) late(now time.Time, w *waiting) error {
	if !f.policy.Shed {
		return nil
	}
	if limit := maxWait[w.spec.Class]; limit > 0 && now.Sub(w.since) > limit {
		return fault.New(fault.Overloaded, "%s waited for %v; the limit is %v", w.spec.ID, now.Sub(w.since), limit)
	}
	if w.spec.Deadline.IsZero() {
		return nil
	}
	latest := w.spec.Deadline
	if w.spec.Class == work.Request {
		usual, _ := f.times.estimate(w.spec)
		latest = latest.Add(-usual)
	}
	if now.After(latest) {
		return fault.New(fault.DeadlineExceeded, "%s cannot meet its deadline", w.spec.ID)
	}
	return nil
}
