// Package placement judges whether the passes that place tasks keep up with the queue.
package placement

import "time"

// Thresholds of Progress. Passes follow one another within 150 ms on a process that gets its processor time.
const (
	// BehindAfter is the time between two passes that reach all ready steps from which on placement is behind.
	BehindAfter = time.Second
	// KeepsUpWithin is the time between two such passes up to which placement keeps up.
	KeepsUpWithin = 300 * time.Millisecond
	// CaughtUpAfter is how long placement must keep up before it is no longer behind.
	CaughtUpAfter = 2 * time.Second
)

// Change is what a pass changed.
type Change int

// Changes of Progress.
const (
	NoChange Change = iota
	FellBehind
	CaughtUp
)

// Progress is the aggregate of one leader's passes. Placement falls behind when passes end before they reach all ready steps, and when
// they do not run. The zero value is a leader that has made no pass.
type Progress struct {
	complete time.Time // start of the last pass that reached all steps, or the time from which passes count
	lagged   time.Time // start of the last pass that began longer than KeepsUpWithin after complete
	last     time.Time // start of the last pass
	since    time.Time // from when on steps were left out; zero while placement is not behind
}

// Observe records a pass that started at the given time and left steps untried.
func (p *Progress) Observe(start time.Time, left int) Change {
	if p.complete.IsZero() {
		p.complete = start
	}
	p.last = start
	lag := start.Sub(p.complete)
	if lag > KeepsUpWithin {
		p.lagged = start
	}
	change := NoChange
	switch {
	case p.since.IsZero() && lag >= BehindAfter:
		p.since, change = p.complete, FellBehind
	case !p.since.IsZero() && start.Sub(p.lagged) >= CaughtUpAfter:
		p.since, change = time.Time{}, CaughtUp
	}
	if left == 0 {
		p.complete = start
	}
	return change
}

// Resume records that passes count again from now on: the leader was not allowed to start anything for a time.
func (p *Progress) Resume(now time.Time) {
	if !p.complete.IsZero() {
		p.complete = now
	}
}

// Behind reports whether placement is behind.
func (p *Progress) Behind() bool { return !p.since.IsZero() }

// Lags reports whether placement is behind and does not catch up: the last pass began longer than KeepsUpWithin after one that reached
// all steps.
func (p *Progress) Lags() bool { return p.Behind() && p.last.Equal(p.lagged) }

// BehindFor returns for how long steps have been left out or passes have not run, and 0 while placement is not behind.
func (p *Progress) BehindFor(now time.Time) time.Duration {
	if p.since.IsZero() {
		return 0
	}
	return now.Sub(p.since)
}
