package objective

import (
	"time"

	"skylarkstall/internal/domain/route"
)

// Standing is what can still be had of a job.
type Standing uint8

// Standings of a job, the best first.
const (
	InTime   Standing = iota // it can be completed within its objective, or has none
	Late                     // not within its objective any more, but while its result is of some use
	Hopeless                 // later than that
)

// Count is the number of standings.
const Count = int(Hopeless) + 1

// String returns the name of the standing as it is logged.
func (s Standing) String() string {
	names := [Count]string{"in_time", "late", "hopeless"}
	if int(s) >= Count {
		return "unknown"
	}
	return names[s]
}

// usefulMultiple is the multiple of the objective after which the result of a job is of no use to its caller any more.
const usefulMultiple = 3

// Limits are the times by which a job has to be completed. The zero value states none.
type Limits struct {
	InTime time.Time // within its objective
	Useful time.Time // while its result is of some use
}

// LimitsOf returns the limits of a job that began to count at a time, with a longest chain of work of the given duration.
func LimitsOf(objective route.Objective, began time.Time, chain time.Duration) Limits {
	if !objective.IsSet() {
		return Limits{}
	}
	length := time.Duration(objective.Stretch*float64(chain)) + objective.Slack
	return Limits{InTime: began.Add(length), Useful: began.Add(usefulMultiple * length)}
}

// Standing judges a job that is completed after the remaining duration, and returns when that changes if nothing happens to the job until
// then; the zero time if it does not.
func (l Limits) Standing(remaining time.Duration, now time.Time) (Standing, time.Time) {
	end := now.Add(remaining)
	switch {
	case l.InTime.IsZero():
		return InTime, time.Time{}
	case !end.After(l.InTime):
		return InTime, l.InTime.Add(-remaining + 1)
	case !end.After(l.Useful):
		return Late, l.Useful.Add(-remaining + 1)
	default:
		return Hopeless, time.Time{}
	}
}
