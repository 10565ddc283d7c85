package placement_test

import (
	"testing"
	"time"

	"skylarkstall/internal/domain/placement"
)

const interval = 50 * time.Millisecond

// passes are passes at the same interval, with the number of steps that each leaves untried. After them, no pass runs for the pause.
type passes struct {
	count int
	left  int
	pause time.Duration
}

// TestProgress guards against a leader that leaves steps untried for seconds, or makes no pass at all, without being noticed, and
// against a state that changes with each pass of a leader that is only busy.
func TestProgress(t *testing.T) {
	for name, test := range map[string]struct {
		passes           []passes
		behind, caughtUp int
		endsBehind       bool
	}{
		"keeps up":                {passes: []passes{{count: 200}}},
		"short of the limit":      {passes: []passes{{count: 5}, {count: 18, left: 3}, {count: 50}}},
		"every other pass":        {passes: []passes{{1, 5, 0}, {1, 0, 0}, {1, 5, 0}, {1, 0, 0}, {18, 5, 0}, {1, 0, 0}, {18, 5, 0}, {1, 0, 0}}},
		"left out for long":       {passes: []passes{{count: 5}, {count: 100, left: 3}}, behind: 1, endsBehind: true},
		"left out from the start": {passes: []passes{{count: 100, left: 3}}, behind: 1, endsBehind: true},
		"reached all again":       {passes: []passes{{count: 100, left: 3}, {count: 60}}, behind: 1, caughtUp: 1},
		"not yet caught up":       {passes: []passes{{count: 100, left: 3}, {count: 35}}, behind: 1, endsBehind: true},
		"one pass in five":        {passes: []passes{{count: 30, left: 3}, {1, 0, 0}, {4, 5, 0}, {1, 0, 0}, {4, 5, 0}, {60, 0, 0}}, behind: 1, caughtUp: 1},
		"single passes end early, still caught up": {
			passes: []passes{
				{count: 30, left: 3}, {count: 15}, {count: 2, left: 3}, {count: 15}, {count: 2, left: 3}, {count: 15},
			},
			behind: 1, caughtUp: 1,
		},
		"slow passes, still behind": {
			passes: []passes{
				{count: 30, left: 3}, {count: 15}, {count: 8, left: 3}, {count: 30}, {count: 8, left: 3}, {count: 30},
			},
			behind: 1, endsBehind: true,
		},
		"again and again": {
			passes: []passes{{count: 40, left: 3}, {count: 60}, {count: 40, left: 3}, {count: 60}},
			behind: 2, caughtUp: 2,
		},
		"paused":              {passes: []passes{{5, 0, 1500 * time.Millisecond}, {count: 20}}, behind: 1, endsBehind: true},
		"paused, then enough": {passes: []passes{{5, 0, 1500 * time.Millisecond}, {count: 60}}, behind: 1, caughtUp: 1},
		"paused for less":     {passes: []passes{{5, 0, 800 * time.Millisecond}, {count: 20}}},
	} {
		t.Run(name, func(t *testing.T) {
			var p placement.Progress
			counts, now := map[placement.Change]int{}, time.Unix(1_700_000_000, 0)
			for _, phase := range test.passes {
				for range phase.count {
					counts[p.Observe(now, phase.left)]++
					now = now.Add(interval)
				}
				now = now.Add(phase.pause)
			}
			if counts[placement.FellBehind] != test.behind || counts[placement.CaughtUp] != test.caughtUp || p.Behind() != test.endsBehind {
				t.Errorf("fell behind %d times, want %d; caught up %d times, want %d; behind at the end: %v",
					counts[placement.FellBehind], test.behind, counts[placement.CaughtUp], test.caughtUp, p.Behind())
			}
		})
	}
}

// TestProgressWithoutConfirmation guards against a leader that counts as behind because it was not allowed to start anything.
func TestProgressWithoutConfirmation(t *testing.T) {
	var p placement.Progress
	now := time.Unix(1_700_000_000, 0)
	p.Observe(now, 0)
	now = now.Add(10 * time.Second)
	p.Resume(now)
	if p.Observe(now, 0) != placement.NoChange || p.BehindFor(now) != 0 {
		t.Error("placement is behind")
	}
}
