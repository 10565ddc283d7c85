// Package pool models a worker as the scheduler sees it: its capacity, its runs and the lease under which they may
// continue. It also holds the filters and scores that choose a worker for a task.
package pool

import "time"

// minClockRate is the lowest rate of a worker's clock relative to the local clock.
const minClockRate = 0.98

// leaseMargin is added to the expiry of a lease before the worker's runs count as ended, because the worker kills them
// shortly after the expiry.
const leaseMargin = 150 * time.Millisecond

// LapseTime returns how long after a lease was extended the worker's runs have certainly ended.
func LapseTime(lease time.Duration) time.Duration {
	return time.Duration(float64(lease)/minClockRate) + leaseMargin
}

// clock is the last known reading of a worker's monotonic clock, which counts from the worker's start.
type clock struct {
	reading  time.Duration // taken between sent and received
	sent     time.Time
	received time.Time
	known    bool
}

func (c *clock) observe(reading time.Duration, sent, received time.Time) {
	if c.known && reading < c.reading {
		return // responses on different connections may arrive out of order
	}
	*c = clock{reading, sent, received, true}
}

// wentBack reports whether a reading, of a call sent at the given time, shows that the clock began again: the worker restarted.
func (c *clock) wentBack(reading time.Duration, sent time.Time) bool {
	return c.known && sent.After(c.received) && reading < c.reading
}

// estimate returns the approximate present reading of the clock.
func (c *clock) estimate(now time.Time) time.Duration { return c.reading + now.Sub(c.received) }

// lowerBound returns a reading that the clock has certainly reached.
func (c *clock) lowerBound(now time.Time) time.Duration {
	return c.reading + time.Duration(float64(now.Sub(c.received))*minClockRate)
}
