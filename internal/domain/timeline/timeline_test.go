package timeline_test

import (
	"math"
	"testing"
	"time"

	"skylarkstall/internal/domain/timeline"
)

// TestStampsMoveForward guards against timestamps that contradict causality: after a message from a peer, the next
// timestamp must be later than the previous one and that of the message, unless the message is ignored because the
// peer's clock is too far ahead.
func TestStampsMoveForward(t *testing.T) {
	now := time.Unix(1000, 0)
	wall := now.UnixNano()
	tests := map[string]struct {
		remote  timeline.Timestamp
		ignored bool
	}{
		"behind":                {timeline.Timestamp{Wall: wall - 1}, false},
		"equal":                 {timeline.Timestamp{Wall: wall, Logical: 7}, false},
		"ahead":                 {timeline.Timestamp{Wall: wall + int64(time.Second), Logical: 7}, false},
		"maximum logical value": {timeline.Timestamp{Wall: wall, Logical: math.MaxUint32}, false},
		"far ahead":             {timeline.Timestamp{Wall: math.MaxInt64}, true},
	}
	for name, test := range tests {
		r := timeline.NewRecorder("p", 1)
		before := r.Now(now)
		r.Observe(now, test.remote)
		after := r.Now(now)
		if !before.Before(after) {
			t.Errorf("%s: timestamp %v after %v; want a later one", name, after, before)
		}
		if test.remote.Before(after) == test.ignored {
			t.Errorf("%s: timestamp %v after a message with %v", name, after, test.remote)
		}
	}
}
