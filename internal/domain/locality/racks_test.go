package locality_test

import (
	"testing"
	"time"

	"skylarkstall/internal/domain/locality"
)

var began = time.Unix(1_700_000_000, 0)

func use(rack string, milliCores int64, duration time.Duration) locality.Use {
	return locality.Use{Rack: rack, MilliCores: milliCores, Duration: duration}
}

// TestRoom guards against an expectation that ignores how much runs, how long it lasts and who else waits for the rack.
func TestRoom(t *testing.T) {
	var racks locality.Racks
	for range 20 { // 20 runs of 1 s on 2 cores leave 40 cores a second
		racks.Start(use("short", 2000, time.Second))
	}
	racks.Start(use("short", 8000, 0)) // lasts
	racks.Start(use("lasting", 8000, 0))
	for name, test := range map[string]struct {
		rack       string
		milliCores int64
		ahead      int64
		want       time.Duration
	}{
		"one task":         {"short", 2000, 0, 50 * time.Millisecond},
		"a gang":           {"short", 20_000, 0, 500 * time.Millisecond},
		"others are ahead": {"short", 2000, 78_000, 2 * time.Second},
		"work that lasts":  {"lasting", 2000, 0, -1},
		"nothing runs":     {"empty", 2000, 0, -1},
	} {
		if got := racks.Room(test.rack, test.milliCores, test.ahead, began); got != test.want && (test.want < 0 || (got-test.want).Abs() > time.Microsecond) {
			t.Errorf("%s: room expected in %v, want %v", name, got, test.want)
		}
	}
	for range 20 {
		racks.End(use("short", 2000, time.Second))
	}
	if got := racks.Room("short", 2000, 0, began); got >= 0 {
		t.Errorf("after the last end, room is expected in %v", got)
	}
}

// TestVainWaits guards against a rack that is waited for again and again although tasks do not get on it, for instance because its workers
// have turned slow or are silent, and against one that is left alone for good.
func TestVainWaits(t *testing.T) {
	var racks locality.Racks
	racks.Start(use("r", 2000, time.Second))
	now := began
	for vain := range 12 {
		racks.Waited("r", false, now)
		if racks.Room("r", 1000, 0, now) >= 0 {
			t.Fatalf("room is expected right after %d waits in vain", vain+1)
		}
		now = now.Add(16 * time.Second)
		if racks.Room("r", 1000, 0, now) < 0 {
			t.Fatalf("the rack is still left alone 16 s after %d waits in vain", vain+1)
		}
	}
	racks.Waited("r", true, now)
	racks.Waited("r", false, now)
	if racks.Room("r", 1000, 0, now.Add(time.Second)) < 0 {
		t.Error("after a wait that paid, the rack is left alone for more than a second")
	}
}
