package scheduler

import (
	"testing"
	"time"

	"skylarkstall/internal/domain/workflow"
	"skylarkstall/internal/port"
)

// endUnrecorded lets the only task of a new job end as done, and returns the job, whose progress is not recorded yet, and the
// monitor of the worker.
func endUnrecorded(t *testing.T, s *Scheduler) (*jobEntry, *workerMonitor) {
	t.Helper()
	e := acceptTestJob(s, workflow.Step{Count: 1})
	run, m := startOnly(t, s)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyEnds(m, []port.EndedRun{{Number: 1, End: workflow.End{Run: run, Outcome: workflow.Done}}})
	return e, m
}

// markRecorded marks the progress of a job as recorded.
func markRecorded(s *Scheduler, e *jobEntry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e.storedVersion = e.version
}

// TestCordonedWorkerWithUnrecordedEnd guards against a task that runs again after it has ended as done: a cordoned worker left the
// record of workers before the end of its last run was recorded, and the next leader did not wait for it.
func TestCordonedWorkerWithUnrecordedEnd(t *testing.T) {
	for name, cordon := range map[string]func(*workerMonitor){
		"draining": func(m *workerMonitor) {
			info := m.worker.Info()
			info.Draining = true
			m.worker.UpdateInfo(info)
		},
		"unreachable": func(m *workerMonitor) { m.unreachable = true },
	} {
		t.Run(name, func(t *testing.T) {
			s := newLeader(t)
			e, m := endUnrecorded(t, s)
			cordon(m)
			s.mu.Lock()
			record, _ := s.workersRecord()
			s.mu.Unlock()

			next := newLeader(t)
			next.putMonitor(m.worker.Info().ID, newMonitor(m.worker.Info())) // has not answered the next leader
			for _, w := range record {
				w.CordonedAt = 9 // the revision of the record
				next.unsynced[w.ID] = w
			}
			acceptTestJob(next, workflow.Step{Count: 1}).workflow.MarkUnknownRuns()
			if launches, _ := next.place(time.Now()); len(launches) > 0 {
				t.Errorf("the task starts again on %s, although it has ended as done on %s", launches[0].target.Worker, m.worker.Info().ID)
			}

			markRecorded(s, e)
			s.mu.Lock()
			record, _ = s.workersRecord()
			s.mu.Unlock()
			if len(record) != 1 {
				t.Errorf("%d workers are recorded after the end was recorded, want 1", len(record))
			}
		})
	}
}

// TestMissingWorkerWithUnrecordedEnd guards against a task that runs again after it has ended as done: its worker was removed while
// the end was not recorded, the next leader did not wait for it, and the worker was listed again.
func TestMissingWorkerWithUnrecordedEnd(t *testing.T) {
	s := newLeader(t)
	e, m := endUnrecorded(t, s)
	m.cancel = func() {}
	id, now := m.worker.Info().ID, time.Now()
	m.worker.MarkMissing(now)
	removed := func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.removeMissing(now.Add(removeAfter + time.Second))
		return s.monitors[id] == nil
	}
	if removed() {
		t.Error("a missing worker is removed before the end that it has reported is recorded")
	}
	markRecorded(s, e)
	if !removed() {
		t.Error("a missing worker without runs stays after its end was recorded")
	}
}
