// Package admission decides which jobs are taken in when there is not enough room for all. An account gets its share first; what
// it submits beyond that is refused while there is no room, and so is a job that cannot be completed in time to be of use. Nothing is
// refused while there is room.
//
// The leader keeps Shares and Room. Its Statement tells every process whose jobs it wants to be asked about; a process keeps the
// latest one in a Gate and accepts everything else without asking.
package admission

import (
	"time"

	"skylarkstall/internal/domain/account"
	"skylarkstall/internal/domain/resource"
	"skylarkstall/internal/domain/workflow"
)

// Level is where jobs wait for room: the service that runs their tasks, and the priority of their queue.
type Level struct {
	Service  string
	Priority int // 0 is the highest
}

// Request describes a job that has been submitted, and of which it is not known whether it is stored.
type Request struct {
	Job     workflow.ID
	Account account.ID // empty: none
	Queue   string
	Level   Level
	Chain   Chain
	Size    resource.Vector // of each task that can start at once
	Count   int             // of these tasks
	// LatestStart is how long the job may wait for room and still be completed while that is of use to its caller. 0: any time. The leader
	// knows it better than the process that asks.
	LatestStart time.Duration
	// Record requests that the leader records a refusal, because the process does not reach the store.
	Record bool
}

// Reason states why a job is refused. It is a label of log lines and metrics.
type Reason string

// Reasons.
const (
	NotRefused  Reason = ""
	BeyondShare Reason = "beyond_share"
	TooLate     Reason = "too_late"
	// LeaderBehind is the reason while the leader starts less than is asked.
	LeaderBehind Reason = "leader_behind"
)

// Verdict is the leader's answer to a Request.
type Verdict struct {
	Reason     Reason
	RetryAfter time.Duration // when room is expected for the job; set if it is refused
	Excess     bool          // the job is beyond the share of its account, and there is no room for all
	Rate       float64       // submissions per second of the account
	Share      float64       // submissions per second that the account is entitled to
	Wait       time.Duration // expected until a new job of the level starts
}

// Refused reports whether the job is not to be stored.
func (v Verdict) Refused() bool { return v.Reason != NotRefused }

// Decide decides on a job that is not stored. The share is that of its account; 0 states none. Fits tells whether there are free workers
// for the job at this moment: then it is not refused, whatever waits for other reasons than room.
func Decide(r Request, share float64, shares *Shares, room *Room, fits func() bool, now time.Time) Verdict {
	v := Verdict{Share: share, Wait: room.Wait(r.Level)}
	if r.Account != "" && share > 0 {
		v.Excess = IsExcess(r.Job, r.Account, r.Level, share, shares, room, now)
		v.Rate = shares.Rate(r.Account, now)
	}
	tooLate := r.LatestStart > 0 && v.Wait > r.LatestStart
	switch {
	case !v.Excess && !tooLate || fits():
	case v.Excess:
		v.Reason = BeyondShare
		v.RetryAfter = shares.NextReturn(r.Account, share, v.Wait, now)
	default:
		v.Reason = TooLate
		v.RetryAfter = room.NextReturn(r.Level, v.Wait-r.LatestStart, now)
	}
	return v
}

// IsExcess counts a job of an account against its share, and reports whether it is beyond it while there is no room at its level. With room
// everybody is served alike.
func IsExcess(job workflow.ID, id account.ID, level Level, share float64, shares *Shares, room *Room, now time.Time) bool {
	within := shares.Take(job, id, share, now)
	return !within && room.RefusesExcess(level)
}

// Bounds of Retry-After.
const (
	minReturn = time.Second      // the unit in which callers are told
	maxReturn = 10 * time.Second // room may return earlier than expected
)

// returnSlots spreads the returns of refused callers: each gets a time of its own, in the order in which they were refused.
type returnSlots struct{ last time.Time }

// next returns the time until the next slot, which is no earlier than the given time from now and the spacing after the last one.
func (s *returnSlots) next(earliest, spacing time.Duration, now time.Time) time.Duration {
	at := now.Add(max(earliest, minReturn))
	if next := s.last.Add(spacing); next.After(at) {
		at = next
	}
	if latest := now.Add(maxReturn); at.After(latest) {
		at = latest
	}
	s.last = at
	return at.Sub(now)
}
