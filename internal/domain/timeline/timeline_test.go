package timeline_test

import (
	"math"
	"testing"
	"time"

	"skylarkstall/internal/domain/timeline"
)

// TestStampsMoveForward guards the order of the time line: after any message of a peer the next stamp is later than
// both, unless the peer's clock is so far ahead that it is ignored.
func TestStampsMoveForward(t *testing.T) {
	now := time.Unix(1000, 0)
	wall := now.UnixNano()
	tests := map[string]struct {
		remote  timeline.Timestamp
		ignored bool
	}{
		"behind":                   {timeline.Timestamp{Wall: wall - 1}, false},
		"equal":                    {timeline.Timestamp{Wall: wall, Logical: 7}, false},
		"ahead":                    {timeline.Timestamp{Wall: wall + int64(time.Second), Logical: 7}, false},
		"the last logical reading": {timeline.Timestamp{Wall: wall, Logical: math.MaxUint32}, false},
		"far ahead":                {timeline.Timestamp{Wall: math.MaxInt64}, true},
	}
	for name, test := range tests {
		r := timeline.NewRecorder("p", 1)
		before := r.Now(now)
		r.Observe(now, test.remote)
		after := r.Now(now)
		if !before.Before(after) {
			t.Errorf("%s: stamp %v follows %v", name, after, before)
		}
		if test.remote.Before(after) == test.ignored {
			t.Errorf("%s: stamp %v follows a message with %v", name, after, test.remote)
		}
	}
}
