package pool_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"skylarkstall/internal/domain/account"
	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/pool"
	"skylarkstall/internal/domain/resource"
	"skylarkstall/internal/domain/workflow"
)

// runCounter counts runs by worker and owner.
type runCounter struct {
	owners map[workflow.ID]account.ID // of the jobs that are known
	sizes  map[string]resource.Vector
	runs   map[string]int
}

func newRunCounter() *runCounter {
	return &runCounter{map[workflow.ID]account.ID{}, map[string]resource.Vector{}, map[string]int{}}
}

func (c *runCounter) Owner(run workflow.RunRef) (account.ID, bool) {
	id, ok := c.owners[run.Task.Job]
	return id, ok
}

func (c *runCounter) count(worker ident.WorkerID, run *pool.Run, sign int) {
	key := fmt.Sprint(worker, run.Owner())
	c.sizes[key], c.runs[key] = c.sizes[key].Add(run.Step.Size.Scale(int64(sign))), c.runs[key]+sign
}

func (c *runCounter) RunAdded(worker ident.WorkerID, run *pool.Run)   { c.count(worker, run, 1) }
func (c *runCounter) RunRemoved(worker ident.WorkerID, run *pool.Run) { c.count(worker, run, -1) }

// TestObserverRecounted guards against a count of runs that differs from what occupies a worker: a change of its runs that is not
// reported, or is reported twice.
func TestObserverRecounted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		counter := newRunCounter()
		w := pool.NewWorker(pool.WorkerInfo{ID: "w", Capacity: resource.Vector{MilliCores: 10}})
		w.SetObserver(counter)
		for range rapid.IntRange(0, 50).Draw(t, "operations") {
			job := rapid.SampledFrom([]workflow.ID{"a", "b", "c"}).Draw(t, "job")
			ref := workflow.RunRef{Task: workflow.TaskRef{StepRef: workflow.StepRef{Job: job}}, Run: workflow.RunNumber(rapid.IntRange(1, 2).Draw(t, "run"))}
			step := workflow.Step{Size: resource.Vector{MilliCores: rapid.Int64Range(0, 5).Draw(t, "size")}, BestEffort: rapid.Bool().Draw(t, "best effort")}
			switch rapid.IntRange(0, 8).Draw(t, "operation") {
			case 0, 1:
				_ = w.Reserve(ref, &step) // it may not fit
			case 2:
				w.Adopt(ref, &step)
			case 3:
				counter.owners[job] = account.ID("account of " + job)
				w.SetStep(ref, &step)
			case 4, 5:
				w.Release(ref)
			case 6:
				w.CancelReservation(ref)
			case 7:
				w.ResetAfterRestart(2, 0)
			default:
				w.SetObserver(nil)
				w.SetObserver(counter)
			}
			recount := newRunCounter()
			for _, run := range w.Runs() {
				recount.RunAdded("w", run)
			}
			for key, n := range counter.runs {
				if recount.runs[key] != n || recount.sizes[key] != counter.sizes[key] {
					t.Fatalf("%s: %d runs of %s are counted, the worker has %d of %s", key, n, counter.sizes[key], recount.runs[key], recount.sizes[key])
				}
			}
			for key := range recount.runs {
				if counter.runs[key] == 0 {
					t.Fatalf("%s: no run is counted", key)
				}
			}
		}
	})
}
