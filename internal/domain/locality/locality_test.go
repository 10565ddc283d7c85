package locality_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"skylarkstall/internal/domain/locality"
)

const ms = time.Millisecond

// TestDecide replays the loads in which a wait for the rack pays or does not. It guards against tasks that run far away just before
// their rack has room, and against tasks that wait longer than the rack can save.
func TestDecide(t *testing.T) {
	hotShort := locality.Choice{Duration: 850 * ms, FarFactor: 3, FarSpeed: 1, NearSpeed: 1, Room: 200 * ms}
	for name, test := range map[string]struct {
		change func(*locality.Choice)
		want   locality.Reason
	}{
		"hot rack, short tasks":                       {func(*locality.Choice) {}, locality.Pays},
		"hot rack, work that lasts":                   {func(c *locality.Choice) { c.Room = -1 }, locality.NoRoomSoon},
		"hot rack, a long queue for it":               {func(c *locality.Choice) { c.Room = 5 * time.Second }, locality.NoRoomSoon},
		"room later than what it saves":               {func(c *locality.Choice) { c.Room = 1500 * ms }, locality.NoGain},
		"room hardly earlier than what it saves":      {func(c *locality.Choice) { c.FarFactor, c.Room = 1.5, 300*ms }, locality.NoGain},
		"far is hardly slower":                        {func(c *locality.Choice) { c.FarFactor = 1.02 }, locality.NoGain},
		"the far worker is as much faster":            {func(c *locality.Choice) { c.FarFactor, c.FarSpeed = 1.5, 1.7 }, locality.NoGain},
		"the workers of the rack have turned slow":    {func(c *locality.Choice) { c.NearSpeed = 0.3 }, locality.NoGain},
		"duration not known":                          {func(c *locality.Choice) { c.Duration = 0 }, locality.NoGain},
		"has waited for as long as it saves":          {func(c *locality.Choice) { c.Waited = 1700 * ms }, locality.WaitedLong},
		"long task has waited for the longest time":   {func(c *locality.Choice) { c.Duration, c.Waited = time.Minute, locality.MaxWait }, locality.WaitedLong},
		"a wait in vain would miss the objective":     {func(c *locality.Choice) { c.Bounded, c.Left = true, 2700*ms }, locality.NoTimeLeft},
		"a wait in vain would not miss it":            {func(c *locality.Choice) { c.Bounded, c.Left = true, 2800*ms }, locality.Pays},
		"objective met only on the rack":              {func(c *locality.Choice) { c.Bounded, c.Left = true, 1200*ms }, locality.Pays},
		"objective missed either way, rack is better": {func(c *locality.Choice) { c.Bounded, c.Left = true, 100*ms }, locality.Pays},
	} {
		t.Run(name, func(t *testing.T) {
			c := hotShort
			test.change(&c)
			v := locality.Decide(c)
			if v.Reason != test.want || v.Waits() != (test.want == locality.Pays) || v.Waits() != (v.Until > 0) {
				t.Errorf("verdict %+v for %+v; want %s", v, c, test.want)
			}
		})
	}
}

// TestWaitIsBounded guards against a prediction that is wrong and keeps a task waiting: whatever is predicted, a step that decides again and
// again waits for MaxWait in total at most, and for no longer than its rack saves.
func TestWaitIsBounded(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c := locality.Choice{
			Duration:  time.Duration(rapid.IntRange(0, 100_000).Draw(rt, "duration_ms")) * ms,
			FarFactor: rapid.Float64Range(0, 5).Draw(rt, "factor"),
			FarSpeed:  rapid.Float64Range(0, 3).Draw(rt, "far_speed"), NearSpeed: rapid.Float64Range(0, 3).Draw(rt, "near_speed"),
		}
		for range 1000 {
			c.Room = time.Duration(rapid.IntRange(-1, 3000).Draw(rt, "room_ms")) * ms
			v := locality.Decide(c)
			if !v.Waits() {
				return
			}
			c.Waited += v.Until
			if c.Waited > locality.MaxWait || c.Waited > v.Saving {
				rt.Fatalf("waited %v for a saving of %v: %+v", c.Waited, v.Saving, c)
			}
		}
		rt.Fatalf("still waiting after %v: %+v", c.Waited, c)
	})
}
