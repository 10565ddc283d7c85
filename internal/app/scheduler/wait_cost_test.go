package scheduler

import (
	"fmt"
	"testing"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/resource"
	"skylarkstall/internal/domain/route"
	"skylarkstall/internal/domain/workflow"
	"skylarkstall/internal/port"
)

// BenchmarkDueWaits measures for how long a look for due reports holds the lock, for jobs with many occurrences that are due.
func BenchmarkDueWaits(b *testing.B) {
	for _, shape := range []struct{ jobs, occurrences int }{{5000, 1}, {1, 1000}, {20, 1000}} {
		b.Run(fmt.Sprintf("%dx%d", shape.jobs, shape.occurrences), func(b *testing.B) {
			s, now := newLeaderFor(b), time.Now()
			addTestWorker(s, ident.WorkerID("w"), 1000, now)
			s.mu.Lock()
			for i := range shape.jobs {
				s.acceptJob(port.AcceptedJob{
					Spec: workflow.Spec{
						ID: workflow.ID(fmt.Sprintf("%016d", i)), Occurrences: shape.occurrences, FirstAt: now.Add(-time.Hour), Period: time.Second,
						Steps: []workflow.Step{{Count: 1, Size: resource.Vector{MilliCores: 3000}}},
					},
					AcceptedAt: now, Queue: route.Queue{Name: "q", Service: "desk", MaxAttempts: 3},
				}, 0)
			}
			s.mu.Unlock()
			s.place(now)
			s.dueWaitReports(now)
			for b.Loop() {
				s.dueWaitReports(now)
			}
		})
	}
}
