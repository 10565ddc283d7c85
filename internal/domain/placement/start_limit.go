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
	// standingDelay is how much longer than ever in the term the fastest request of a window has to take for the leader to be late. What
	// delays even the fastest one is the leader itself: a slow worker, a far one or a few requests in a row to one worker do not. It is a third
	// of the age from which a decision is withdrawn. A leader that is busy all the time needs starts for several passes in progress, or it has
	// none to send between two passes.
	standingDelay = 160 * time.Millisecond
	// maxFloor bounds what counts as the fastest of the term. The nearest worker of a cell answers sooner; a leader that is late from its
	// first request on must not take that for usual.
	maxFloor = 20 * time.Millisecond
	// minWindowStarts is the number of answers in a window from which on the fastest tells something. As many decisions that were dropped
	// tell the same if no more were answered.
	minWindowStarts = 4
	startDecrease   = 0.7      // factor for each window in which the leader is late
	startIncrease   = 1.0 / 16 // of the limit of a leader that keeps up, for each other window: back from the least in 3 s
	// reducedBelow is the part of the limit of a leader that keeps up below which the leader is reported to start less.
	reducedBelow = 0.5
)

// StartLimit is the aggregate of the starts that a leader may have in progress. It follows the time that requests take at least: that is
// short while the leader has the processor time to send them and to read the answers.
type StartLimit struct {
	limit     float64
	most      float64       // the limit of a leader that keeps up
	window    time.Time     // start of the present window; zero before the first start
	answered  int           // requests that were answered in the window
	fastest   time.Duration // of these
	floor     time.Duration // the fastest of the term, at most maxFloor
	dropped   int           // decisions that were too old to be sent, of all windows
	delay     time.Duration // from a decision to its sending, smoothed
	stale     int           // decisions dropped in the window
	sent      bool          // a start was sent or dropped in the window
	heldUntil time.Time     // the limit is not lowered again before
	reduced   bool
}

// NewStartLimit returns the limit of a leader with a usable share of a processor, in cores; 0 if it is not known.
func NewStartLimit(share float64) *StartLimit {
	limit := float64(MaxStarts)
	if share > 0 {
		limit = min(max(share*startsPerCore, minStarts), MaxStarts)
	}
	return &StartLimit{limit: limit, most: limit, floor: maxFloor}
}

// Max returns how many starts may be in progress, for the highest priority half as many more: it must not wait for others.
func (l *StartLimit) Max(topPriority bool) int {
	if topPriority {
		return int(l.limit) + int(l.limit)/2
	}
	return int(l.limit)
}

// Reduced reports whether the limit has fallen far below that of a leader that keeps up, and has not returned there since.
func (l *StartLimit) Reduced() bool { return l.reduced }

// Delay returns the time that recently passed from a decision to its sending.
func (l *StartLimit) Delay() time.Duration { return l.delay }

// Dropped returns the number of decisions that were too old to be sent.
func (l *StartLimit) Dropped() int { return l.dropped }

// Sent records that some time passed from a decision to its sending.
func (l *StartLimit) Sent(delay time.Duration) {
	l.delay += (delay - l.delay) / 8
	l.sent = true
}

// Drop records that a decision was too old to be sent.
func (l *StartLimit) Drop(age time.Duration) {
	l.dropped++
	l.stale++
	l.Sent(age)
}

// Answered records how long a request to a worker took.
func (l *StartLimit) Answered(took time.Duration) {
	if l.answered == 0 || took < l.fastest {
		l.fastest = took
	}
	l.floor = min(l.floor, took)
	l.answered++
}

// Adapt ends the windows that are over, and reports whether the leader was late in them.
func (l *StartLimit) Adapt(now time.Time) (late bool) {
	if l.window.IsZero() {
		l.window = now
	}
	passed := int(now.Sub(l.window) / startWindow)
	if passed <= 0 {
		return false
	}
	late = l.answered >= minWindowStarts && l.fastest-l.floor >= standingDelay || l.stale >= max(minWindowStarts, l.answered)
	switch {
	case late && now.Before(l.heldUntil): // the answers are those of requests from before the limit was lowered
	case late:
		l.limit, l.heldUntil = max(l.limit*startDecrease, minStarts), now.Add(l.fastest)
	default:
		l.limit = min(l.limit+float64(passed)*startIncrease*l.most, l.most)
	}
	l.reduced = l.limit < l.most && (l.reduced || l.limit < reducedBelow*l.most)
	if !l.sent {
		l.delay /= 2 // nothing is decided for which a ticket would not last, so nothing measures it
	}
	l.window, l.answered, l.fastest, l.stale, l.sent = now, 0, 0, 0, false
	return late
}
