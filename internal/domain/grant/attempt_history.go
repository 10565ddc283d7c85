package grant

import (
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/work"
	"skylarkstall/internal/fault"
)

// attemptRetention is how long the result of a start request is kept after the request was admitted or refused. A start
// message expires within seconds, so a later duplicate is refused as expired; a minute allows for clocks that differ.
const attemptRetention = time.Minute

// attemptHistory holds, for each task, the result of the start request with the highest attempt.
type attemptHistory struct {
	last  map[ident.TaskID]startResult
	order []startResult // by time, to find the entries to remove
}

type startResult struct {
	id      work.AttemptID
	at      time.Time
	refusal error // nil when the attempt was admitted
}

func newAttemptHistory() *attemptHistory {
	return &attemptHistory{last: map[ident.TaskID]startResult{}}
}

// previousResult returns true if the same attempt was admitted before. It returns the refusal if the same attempt was
// refused, and Conflict if a later attempt was admitted or refused before.
func (a *attemptHistory) previousResult(start work.StartRequest) (bool, error) {
	last, ok := a.last[start.Task]
	switch {
	case !ok || start.Attempt > last.id.Attempt:
		return false, nil
	case start.Attempt < last.id.Attempt:
		return false, fault.New(fault.Conflict, "attempt %d of %s is outdated: attempt %d was already admitted or refused",
			start.Attempt, start.Task, last.id.Attempt)
	default:
		return last.refusal == nil, last.refusal
	}
}

// record stores the result of a start request and removes entries older than attemptRetention.
func (a *attemptHistory) record(now time.Time, start work.StartRequest, refusal error) {
	entry := startResult{work.AttemptID{Task: start.Task, Attempt: start.Attempt}, now, refusal}
	a.last[start.Task] = entry
	a.order = append(a.order, entry)
	expired := 0
	for expired < len(a.order) && now.Sub(a.order[expired].at) > attemptRetention {
		if id := a.order[expired].id; a.last[id.Task].id == id {
			delete(a.last, id.Task)
		}
		expired++
	}
	a.order = a.order[expired:]
}
