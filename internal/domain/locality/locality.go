// Package locality decides how long it pays to wait for room on the rack where a task runs fastest, because it holds the task's
// data or the other members of its gang, while there is room elsewhere.
package locality

import "time"

// Bounds of a wait.
const (
	// MaxWait bounds the wait of one step. A prediction may be wrong; this is what it can cost.
	MaxWait = 2 * time.Second
	// safety is the multiple of the expected wait that must be saved: the expectation is about as rough as the estimates that it is made
	// from.
	safety = 1.5
	// minSaving is the least that a wait must save. Below it, a try of the step takes as long.
	minSaving = 50 * time.Millisecond
	// maxCheckInterval is how long a decision to wait stands: runs on the rack may take longer than expected.
	maxCheckInterval = 500 * time.Millisecond
)

// Choice is a task, or a gang as one, that has room far from its rack now.
type Choice struct {
	Duration  time.Duration // of the task on an ordinary worker of its rack, as learned or else as estimated by the caller
	FarFactor float64       // how many times as long it takes elsewhere
	FarSpeed  float64       // of the worker that it would get now, relative to others; 1 is ordinary
	NearSpeed float64       // of the workers of the rack
	Room      time.Duration // expected time until the rack has room; negative if none is expected
	Waited    time.Duration // for how long the step has waited for the rack already
	Left      time.Duration // of the objective of its job, less what has to run after the task; meaningless unless Bounded
	Bounded   bool          // the job has an objective that it can still meet
}

// Reason states why a task waits or does not. It is the outcome of a log line.
type Reason string

// Reasons of a verdict.
const (
	Pays       Reason = "pays"         // the task is done earlier if it waits
	NoGain     Reason = "no_gain"      // it is not, or hardly
	NoRoomSoon Reason = "no_room_soon" // the rack is not expected to have room in time, or at all
	WaitedLong Reason = "waited_long"  // the step has waited for as long as the rack saves, or for MaxWait
	NoTimeLeft Reason = "no_time_left" // a wait in vain would make the job miss its objective
)

// Verdict is a decision, with what led to it.
type Verdict struct {
	Reason Reason
	Until  time.Duration // from now: when to decide again at the latest; 0 unless the task waits
	Saving time.Duration // by which the task is expected to be done earlier on its rack than elsewhere, without the wait
	Room   time.Duration // expected wait
}

// Waits reports whether the task does not start now.
func (v Verdict) Waits() bool { return v.Reason == Pays }

// Decide compares a start elsewhere now with a start on the rack later.
func Decide(c Choice) Verdict {
	near, far := c.durations()
	v := Verdict{Saving: far - near, Room: c.Room}
	left := min(MaxWait, v.Saving) - c.Waited
	switch {
	case c.Duration <= 0 || v.Saving < minSaving:
		v.Reason = NoGain
	case left <= 0:
		v.Reason = WaitedLong
	case c.Room < 0 || c.Room > left:
		v.Reason = NoRoomSoon
	case time.Duration(safety*float64(c.Room)) >= v.Saving:
		v.Reason = NoGain
	case c.Bounded && far <= c.Left && c.Left-far < max(c.Room, minSaving):
		v.Reason = NoTimeLeft
	default:
		v.Reason = Pays
		v.Until = min(max(c.Room, minSaving), left, maxCheckInterval)
	}
	return v
}

// durations returns how long the task takes on its rack and elsewhere.
func (c Choice) durations() (near, far time.Duration) {
	at := func(factor, speed float64) time.Duration {
		if speed <= 0 {
			speed = 1
		}
		return time.Duration(float64(c.Duration) * factor / speed)
	}
	return at(1, c.NearSpeed), at(max(c.FarFactor, 1), c.FarSpeed)
}
