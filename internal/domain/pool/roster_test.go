package pool_test

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/pool"
	"skylarkstall/internal/domain/resource"
)

// TestRosterFollowsWorkers guards against a worker that gets no starts although it has room, because its index was not updated.
func TestRosterFollowsWorkers(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var workers []*pool.Worker
		for i := range 3 {
			workers = append(workers, pool.NewWorker(pool.WorkerInfo{
				ID: ident.WorkerID(rune('a' + i)), Capacity: resource.Vector{MilliCores: 8000, MemoryBytes: 8 << 30},
			}))
		}
		roster := pool.NewRoster(workers)
		releases := make([]uint64, len(workers))
		for range rapid.IntRange(0, 30).Draw(rt, "changes") {
			w := workers[rapid.IntRange(0, 2).Draw(rt, "worker")]
			run, s := ref(rapid.IntRange(0, 3).Draw(rt, "run")), step(1000*rapid.Int64Range(1, 4).Draw(rt, "cores"))
			switch rapid.IntRange(0, 6).Draw(rt, "change") {
			case 0:
				_ = w.Reserve(run, &s) // may not fit
			case 1:
				w.Release(run)
			case 2:
				w.CancelReservation(run)
			case 3:
				w.Adopt(run, &s)
			case 4:
				w.SetStep(run, &s)
			case 5:
				info := w.Info()
				info.Capacity.MilliCores = s.Size.MilliCores * 2
				w.UpdateInfo(info)
			case 6:
				roster = pool.NewRoster(workers)
				for i, w := range workers {
					releases[i] = w.Releases()
				}
			}
			for _, size := range []int64{0, 1000, 3000, 8000} {
				var want []int
				for i, w := range workers {
					if w.Free().MilliCores >= size {
						want = append(want, i)
					}
				}
				if got := slices.Collect(roster.WithRoom(size)); !slices.Equal(got, want) {
					rt.Fatalf("workers with %d free millicores: %v, want %v", size, got, want)
				}
			}
			if rapid.Bool().Draw(rt, "take") {
				taken := roster.TakeReleased()
				for i, w := range workers {
					if released := w.Releases() != releases[i]; released != slices.Contains(taken, i) {
						rt.Fatalf("capacity released on worker %d: %v, noted: %v", i, released, taken)
					}
					releases[i] = w.Releases()
				}
			}
		}
	})
}
