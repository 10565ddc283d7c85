// Package pool holds the aggregate of a worker as its scheduler knows it: room, runs, and the hold under which they go
// on; and the filters and scores that choose a worker for a task.
package pool

import "time"

// slowest is the least speed of a worker's clock against ours.
const slowest = 0.98

// holdMargin is added before a hold counts as run out, because a worker kills runs a moment after.
const holdMargin = 150 * time.Millisecond

// clock is what is known of a worker's steady clock. It counts from the worker's start.
type clock struct {
	reading  time.Duration // at some time between sent and received
	sent     time.Time
	received time.Time
	known    bool
}

func (c *clock) observe(reading time.Duration, sent, received time.Time) {
	if c.known && reading < c.reading {
		return // answers on different connections overtake one another
	}
	*c = clock{reading, sent, received, true}
}

// estimate returns the reading that the clock has about now.
func (c *clock) estimate(now time.Time) time.Duration { return c.reading + now.Sub(c.received) }

// least returns a reading that the clock has certainly passed.
func (c *clock) least(now time.Time) time.Duration {
	return c.reading + time.Duration(float64(now.Sub(c.received))*slowest)
}
