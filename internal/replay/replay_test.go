package replay_test

import (
	"bytes"
	"testing"
	"time"

	"skylarkstall/internal/domain/fleet"
	"skylarkstall/internal/replay"
)

// TestEveryProfileIsRepeatable guards against decisions that depend on map order or on the real clock: equal arrivals
// and seeds must give equal results. Run also fails if a worker is assigned more than its capacity.
func TestEveryProfileIsRepeatable(t *testing.T) {
	for _, name := range replay.ProfileNames() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			profile, err := replay.ProfileByName(name)
			if err != nil {
				t.Fatal(err)
			}
			profile.Duration, profile.WarmUp = 32*time.Second, 2*time.Second
			c := replay.Comparison{
				Profile: profile, Shape: replay.Shape{Workers: 8, Owners: 3, Zones: 2}, DigestInterval: time.Second, LoadFactor: 1, Seeds: 1,
			}
			for _, name := range fleet.PolicyNames() {
				v, err := replay.ParseVariant(name)
				if err != nil {
					t.Fatal(err)
				}
				c.Variants = append(c.Variants, v)
			}
			if first, second := report(t, c), report(t, c); !bytes.Equal(first, second) {
				t.Errorf("two replays differ:\n%s\n%s", first, second)
			}
		})
	}
}

func report(t *testing.T, c replay.Comparison) []byte {
	t.Helper()
	r, err := c.Run()
	if err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	if err := r.WriteJSON(&out); err != nil {
		t.Fatal(err)
	}
	return out.Bytes()
}

// TestRecordedArrivalsAreReadBack checks that arrivals survive being written and read back.
func TestRecordedArrivalsAreReadBack(t *testing.T) {
	profile, err := replay.ProfileByName("cancel")
	if err != nil {
		t.Fatal(err)
	}
	arrivals := profile.Arrivals(replay.SmallShape, 3, 1)
	var file bytes.Buffer
	if err := replay.WriteArrivals(&file, arrivals); err != nil {
		t.Fatal(err)
	}
	read, err := replay.ReadArrivals(&file)
	if err != nil {
		t.Fatal(err)
	}
	if len(read) != len(arrivals) || read[len(read)-1] != arrivals[len(arrivals)-1] {
		t.Errorf("read %d arrivals, want %d with an equal last one", len(read), len(arrivals))
	}
}
