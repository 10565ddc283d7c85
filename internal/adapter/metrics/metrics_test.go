package metrics

import (
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"skylarkstall/internal/adapter/peerwire"
	"skylarkstall/internal/app/meter"
	"skylarkstall/internal/domain/fleet"
	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/resource"
	"skylarkstall/internal/domain/timeline"
	"skylarkstall/internal/domain/work"
	"skylarkstall/internal/fault"
)

// TestScrape guards against changes of the metric names and labels that operators' alerting rules use, against totals that
// are counted again when they are collected again, and against a gauge of an empty queue that does not return to 0.
func TestScrape(t *testing.T) {
	m := New()
	counts := meter.New(m)
	counts.CountRefusal(fault.Overloaded)
	counts.RecordEvent(time.Unix(0, 0), timeline.Event{Kind: timeline.LeaseLost})
	snapshot := counts.Snapshot()
	snapshot.Retries = 2
	snapshot.WaitingTasks[meter.QueueKey{Class: work.Batch, Team: "goldfields"}] = 3
	snapshot.StoreCalls[meter.CallKey{Name: "watch", Outcome: "ok"}] = 4
	m.RecordWait(work.Request, 3*time.Millisecond)
	m.RecordWait(work.Request, time.Hour)
	sources := Sources{
		Counts: func() meter.Snapshot { return snapshot },
		Digest: func(time.Time) fleet.Digest {
			return fleet.Digest{Capacity: resource.Vector{Slots: 8}, Free: resource.Vector{Slots: 2}}
		},
		Traffic:       func() peerwire.Traffic { return peerwire.Traffic{BytesIn: 100, OpenSessions: 6} },
		LiveProcesses: func() int { return 7 },
		Revision:      func() ident.Revision { return 42 },
	}
	m.collect(time.Unix(0, 0), sources)
	snapshot.WaitingTasks = map[meter.QueueKey]int{}
	snapshot.Retries = 5
	m.collect(time.Unix(1, 0), sources)
	m.gauge("process_cpu_seconds", 0) // these values differ between test runs
	m.gauge("process_resident_bytes", 0)
	if err := m.Close(); err != nil {
		t.Fatal(err)
	}
	goldie.New(t).Assert(t, "scrape", []byte(m.exporter.text()))
}
