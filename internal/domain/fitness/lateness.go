package fitness

import "time"

// Sign is a sign that a leader does not keep up.
type Sign int

// Signs of lateness.
const (
	LateTimer    Sign = iota // a timer of the process fired late
	PassesBehind             // passes of placement leave steps out, or do not run
	SlowRequests             // even the fastest requests to workers take long
	signCount
)

// String returns the sign for log lines and metrics.
func (s Sign) String() string {
	return [...]string{"timer", "passes", "slow_requests"}[s]
}

// LateTimerAfter is the delay of a timer from which on it is a sign of lateness. Processes with a share of a processor get none for
// up to 100 ms at a time.
const LateTimerAfter = 150 * time.Millisecond

// calmAfter is the time without a sign from which on a leader is not late any more.
const calmAfter = time.Second

// Lateness is the aggregate of the signs that a leader does not keep up. The zero value is a leader without any.
type Lateness struct {
	since time.Time // first of the signs that followed one another within calmAfter; zero if there was none
	last  time.Time
	count [signCount]int
}

// Note records a sign.
func (l *Lateness) Note(sign Sign, now time.Time) {
	if l.since.IsZero() || now.Sub(l.last) > calmAfter {
		l.since = now
	}
	l.last = now
	l.count[sign]++
}

// For returns for how long the leader has been late, and 0 if it is not.
func (l *Lateness) For(now time.Time) time.Duration {
	if l.since.IsZero() || now.Sub(l.last) > calmAfter {
		return 0
	}
	return now.Sub(l.since)
}

// Counts returns the number of signs of each kind so far.
func (l *Lateness) Counts() map[Sign]int {
	counts := map[Sign]int{}
	for sign, n := range l.count {
		counts[Sign(sign)] = n
	}
	return counts
}
