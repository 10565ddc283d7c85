package grant

import (
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/work"
	"skylarkstall/internal/fault"
)

// keepAttempt is how long an attempt is remembered after its start was answered. A start expires within seconds, so a
// copy of it that arrives later is refused for its age; a minute leaves room for clocks that differ.
const keepAttempt = time.Minute

// attempts remembers the highest attempt of each task that the worker answered a start of.
type attempts struct {
	last  map[ident.TaskID]answered
	order []answered // by time, for forgetting
}

type answered struct {
	id      work.AttemptID
	at      time.Time
	refusal error // nil when the attempt was admitted
}

func newAttempts() *attempts {
	return &attempts{last: map[ident.TaskID]answered{}}
}

// answer returns true if the attempt was admitted before, and the refusal if it or a later one was answered otherwise.
func (a *attempts) answer(start work.Start) (bool, error) {
	last, ok := a.last[start.Task]
	switch {
	case !ok || start.Attempt > last.id.Attempt:
		return false, nil
	case start.Attempt < last.id.Attempt:
		return false, fault.New(fault.Conflict, "attempt %d of %s; attempt %d was seen before",
			start.Attempt, start.Task, last.id.Attempt)
	default:
		return last.refusal == nil, last.refusal
	}
}

// note remembers the answer and forgets those that are too old.
func (a *attempts) note(now time.Time, start work.Start, refusal error) {
	entry := answered{work.AttemptID{Task: start.Task, Attempt: start.Attempt}, now, refusal}
	a.last[start.Task] = entry
	a.order = append(a.order, entry)
	old := 0
	for old < len(a.order) && now.Sub(a.order[old].at) > keepAttempt {
		if id := a.order[old].id; a.last[id.Task].id == id {
			delete(a.last, id.Task)
		}
		old++
	}
	a.order = a.order[old:]
}
