package load_test

import (
	"bytes"
	"context"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"skylarkstall/internal/devcell"
	"skylarkstall/internal/load"
	"skylarkstall/internal/report"
)

// TestArrivalsAreFixed checks that a seed always gives the same ordered arrivals; comparisons of versions rely on it.
func TestArrivalsAreFixed(t *testing.T) {
	for _, p := range load.Profiles() {
		first, second := p.Arrivals(7, 1), p.Arrivals(7, 1)
		if diff := cmp.Diff(first, second); diff != "" {
			t.Errorf("%s: %s", p.Name, diff)
		}
		if len(first) == 0 || cmp.Equal(first, p.Arrivals(8, 1)) {
			t.Errorf("%s: %d arrivals, the same for another seed", p.Name, len(first))
		}
		for i := 1; i < len(first); i++ {
			if first[i].At < first[i-1].At {
				t.Fatalf("%s: arrival %d is out of order", p.Name, i)
			}
		}
	}
}

// TestRunAndReport checks a load run against real processes and its report: every request is counted, every plot is
// drawn, labels are escaped and the page loads nothing from the network.
func TestRunAndReport(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	cell, err := devcell.Start(ctx, devcell.Settings{Processes: 2, Workers: 4, Log: slog.New(slog.DiscardHandler)})
	if err != nil {
		t.Fatal(err)
	}
	defer cell.Close()
	if err := cell.AwaitReady(ctx); err != nil {
		t.Fatal(err)
	}
	profile, err := load.ProfileByName("shift")
	if err != nil {
		t.Fatal(err)
	}
	profile.Duration = 3 * time.Second
	var progress bytes.Buffer
	result, err := load.Run(ctx, load.Settings{
		Addresses: []string{cell.Nodes[0].CallerAddress(), cell.Nodes[1].CallerAddress()},
		Tokens:    map[string]string{"vembanad": "vembanad-dev-token", "goldfields": "goldfields-dev-token"},
		Profile:   profile, Seed: 3, LoadFactor: 0.5, Label: "a<b", Progress: &progress,
	})
	if err != nil {
		t.Fatal(err)
	}
	sent := 0
	for name, k := range result.Kinds {
		sent += k.Done
		if k.Done != k.Sent || k.NotSent != 0 || k.Wrong != 0 {
			t.Errorf("%s: %+v", name, k)
		}
	}
	if want := len(profile.Arrivals(3, 0.5)); sent != want {
		t.Errorf("%d requests completed, want %d", sent, want)
	}
	var page bytes.Buffer
	if err := report.Write(&page, []*load.Result{result}); err != nil {
		t.Fatal(err)
	}
	if n := strings.Count(page.String(), "<svg"); n != 4 {
		t.Errorf("%d plots, want 4", n)
	}
	if strings.Contains(page.String(), "a<b") || strings.Contains(page.String(), "src=") {
		t.Error("the page contains an unescaped label or a reference to an external resource")
	}
}
