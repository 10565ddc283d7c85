package scheduler

import (
	"fmt"
	"testing"
	"time"

	"skylarkstall/internal/domain/account"
	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/workflow"
)

// newFullAccounts returns a leader whose 350 workers are full of runs of as many accounts, and with 1,000 steps that wait. With limits, all
// accounts but one are at theirs.
func newFullAccounts(t testing.TB, limited bool) (*Scheduler, time.Time) {
	const accounts, cores, steps = 350, 4, 1000
	s, now := newLeaderFor(t), time.Now()
	name := func(i int) account.ID { return account.ID(fmt.Sprintf("a%03d", i%accounts)) }
	for i := range accounts {
		addTestWorker(s, ident.WorkerID(fmt.Sprintf("w%d", i)), 1000*cores, now)
		acceptFor(s, workflow.ID(fmt.Sprintf("running%d", i)), name(i), workflow.Step{Count: cores})
	}
	s.startedAt = s.startedAt.Add(time.Second) // the others are accepted later
	for len(placeAt(s, now)) > 0 {
		s.startsInProgress = 0
	}
	for i := range steps {
		acceptFor(s, workflow.ID(fmt.Sprintf("waiting%04d", i)), name(i), workflow.Step{Count: 4})
	}
	if limited {
		limits := map[account.ID]int64{}
		for i := range accounts - 1 {
			limits[name(i)] = 1000 * cores
		}
		setLimits(t, s, limits)
	}
	for range 300 { // a pass does not try all steps
		placeAt(s, now)
	}
	return s, now
}

// BenchmarkPlaceAtLimits measures one pass of placement after the end of a run, of an account at its limit or of the one that is not,
// and compares it with the same pass without limits.
func BenchmarkPlaceAtLimits(b *testing.B) {
	for _, limited := range []bool{true, false} {
		for _, ended := range []account.ID{"a000", "a349"} {
			b.Run(fmt.Sprintf("limited=%v/ended=%s", limited, ended), func(b *testing.B) {
				s, now := newFullAccounts(b, limited)
				var last *workerMonitor
				var run workflow.RunRef
				for _, m := range s.monitors {
					for _, r := range m.worker.Runs() {
						if r.Owner().Account == ended {
							last, run = m, r.RunRef
						}
					}
				}
				b.ReportAllocs()
				b.ResetTimer()
				for range b.N {
					e := s.jobs[run.Task.Job]
					last.worker.Release(run)
					e.workflow.DropRun(run, last.worker.ID())
					launches, _ := s.place(now)
					if len(launches) != 1 {
						b.Fatalf("%d starts after an end, want 1", len(launches))
					}
					s.startsInProgress = 0
					last, run = launches[0].monitor, launches[0].request.RunRef
				}
				b.ReportMetric(float64(s.queue.steps.Len()), "steps")
			})
		}
	}
}
