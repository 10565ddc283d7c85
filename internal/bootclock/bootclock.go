// Package bootclock reads a clock that counts the time for which the machine was suspended, unlike the monotonic clock behind time.Since,
// and that no step of the time of day moves.
package bootclock

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// origin is the time of day at which the clock stood at 0, as it was when the process started.
var origin = time.Now().Round(0).Add(-sinceBoot())

// Now returns the present time of the clock, which starts from the time of day at the start of the process. Only the difference between
// two times of one process has a meaning.
func Now() time.Time { return origin.Add(sinceBoot()) }

// sinceBoot panics if the kernel has no such clock: an age that leaves out a suspension would be taken for a small one.
func sinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(fmt.Sprintf("read CLOCK_BOOTTIME: %v", err))
	}
	return time.Duration(ts.Nano())
}
