package bootclock_test

import (
	"testing"
	"time"

	"skylarkstall/internal/bootclock"
)

// TestNow guards against a clock that does not advance with time, or whose values have a monotonic reading, by which time.Time would
// compare them without the time of a suspension.
func TestNow(t *testing.T) {
	before, start := bootclock.Now(), time.Now()
	time.Sleep(20 * time.Millisecond)
	after, took := bootclock.Now(), time.Since(start)
	if d := after.Sub(before); d < 20*time.Millisecond || d > took+time.Second {
		t.Errorf("the clock advanced by %v in %v", d, took)
	}
	if after != after.Round(0) {
		t.Errorf("%v has a monotonic reading", after)
	}
}
