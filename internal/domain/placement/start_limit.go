package placement

import "time"

// Bounds of the number of starts in progress: decided, and the request to the worker has not ended. The leader places no more than it
// has the processor time to start: leases, ends and stops would be late.
const (
	MaxStarts = 128
	// minStarts keeps tasks starting on a leader that gets hardly any processor time.
	minStarts = 16
	// startsPerCore bounds the starts for each core of the share. A small leader must not have to learn its limit from the load that
	// follows a loss of power. Requests to workers take up to 0.2 s, and a core sends some 1,500 starts a second.
	startsPerCore = 320
)

// Adaptation of the limit: additive increase, multiplicative decrease.
const (
	// startWindow is the time over which the limit is judged, some passes of placement.
	startWindow = 200 * time.Millisecond
	// LateStart is the time that the leader itself takes from a decision to the sending of the request from which on the start is late:
	// a fifth of the age at which a decision is dropped.
	LateStart = 100 * time.Millisecond
	// minWindowStarts is the number of starts in a window from which on the late ones tell something.
	minWindowStarts = 4
	lateFraction    = 1.0 / 3 // late starts of a window from which on the limit falls
	startDecrease   = 0.7     // factor for each such window
	startIncrease   = 8       // starts for each other window: from minStarts to MaxStarts in 2.8 s
)

// StartLimit is the aggregate of the starts that a leader may have in progress. It follows the time that the leader itself takes from
// deciding on a start to sending it; the time for which a worker is busy with other requests does not count.
type StartLimit struct {
	limit   float64
	most    float64   // the limit of a leader that keeps up
	window  time.Time // start of the present window; zero before the first start
	ended   int       // starts in the window that were sent or dropped
	late    int       // those of them that were late
	dropped int       // decisions that were too old to be sent, of all windows
	delay   time.Duration
}

// NewStartLimit returns the limit of a leader with a share of a processor, in cores; 0 if it is not known.
func NewStartLimit(cpuShare float64) *StartLimit {
	limit := float64(MaxStarts)
	if cpuShare > 0 {
		limit = min(max(cpuShare*startsPerCore, minStarts), MaxStarts)
	}
	return &StartLimit{limit: limit, most: limit}
}

// Max returns how many starts may be in progress, for the highest priority half as many more: it must not wait for others.
func (l *StartLimit) Max(topPriority bool) int {
	if topPriority {
		return int(l.limit) + int(l.limit)/2
	}
	return int(l.limit)
}

// Reduced reports whether the limit is lower than that of a leader that keeps up.
func (l *StartLimit) Reduced() bool { return l.limit < l.most }

// Delay returns the time that the leader recently took from deciding on a start to sending it.
func (l *StartLimit) Delay() time.Duration { return l.delay }

// Dropped returns the number of decisions that were too old to be sent.
func (l *StartLimit) Dropped() int { return l.dropped }

// Sent records that the leader took some time from deciding on a start to sending it.
func (l *StartLimit) Sent(delay time.Duration, now time.Time) {
	l.delay += (delay - l.delay) / 8
	l.ended++
	if delay >= LateStart {
		l.late++
	}
	l.begin(now)
}

// Drop records that a decision was too old to be sent, after the leader took some time.
func (l *StartLimit) Drop(delay time.Duration, now time.Time) {
	l.dropped++
	l.Sent(delay, now)
}

func (l *StartLimit) begin(now time.Time) {
	if l.window.IsZero() {
		l.window = now
	}
}

// Adapt ends the windows that are over, and reports whether starts were late in the last one.
func (l *StartLimit) Adapt(now time.Time) (late bool) {
	l.begin(now)
	passed := int(now.Sub(l.window) / startWindow)
	if passed <= 0 {
		return false
	}
	if l.ended == 0 {
		l.delay /= 2 // what is expected to take longer than a ticket lasts is not decided, so nothing measures it
	}
	late = l.ended >= minWindowStarts && float64(l.late) >= lateFraction*float64(l.ended)
	if late {
		l.limit = max(l.limit*startDecrease, minStarts)
		passed = 0 // nothing ran in the others
	}
	l.limit = min(l.limit+float64(passed*startIncrease), l.most)
	l.window, l.ended, l.late = now, 0, 0
	return late
}
