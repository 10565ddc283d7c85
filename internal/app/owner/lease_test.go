package owner_test

import (
	"testing"
	"time"

	"skylarkstall/internal/app/owner"
	"skylarkstall/internal/domain/grant"
	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/resource"
	"skylarkstall/internal/domain/work"
	"skylarkstall/internal/fault"
)

// TestClockRates guards against tasks that still run when an owner assumes that they have stopped: a worker whose clock
// runs up to 2% slow must have stopped its tasks by TaskLeaseBound, and must refuse starts from then on.
func TestClockRates(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	size := resource.Vector{Slots: 1}
	for _, rate := range []float64{0.98, 1, 1.02} {
		g := grant.New(size, "kochi-a", "rack-1")
		claim := work.ClaimRequest{Process: "entry-1", Epoch: 1, Lease: owner.ControlLease, TaskLease: owner.TaskLease}
		if _, err := g.Claim(start, claim); err != nil {
			t.Fatal(err)
		}
		task := ident.TaskID{Work: ident.WorkID{Team: "vembanad", Request: "proof-1"}}
		if _, err := g.Start(start, start, work.StartRequest{Epoch: 1, Task: task, Attempt: 1, Size: size}); err != nil {
			t.Fatal(err)
		}
		workerTime := start.Add(time.Duration(float64(owner.TaskLeaseBound) * rate))
		if stopped := g.ExpireTasks(workerTime); len(stopped) != 1 {
			t.Errorf("rate %v: the worker stopped %d tasks by the bound, want 1", rate, len(stopped))
		}
		_, err := g.Start(workerTime, workerTime, work.StartRequest{Epoch: 1, Task: task, Attempt: 2, Size: size})
		if !fault.Is(err, fault.StaleEpoch) {
			t.Errorf("rate %v: start after the bound: got %v, want StaleEpoch", rate, err)
		}
	}
}
