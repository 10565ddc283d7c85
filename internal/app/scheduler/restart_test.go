package scheduler

import (
	"testing"
	"time"

	"skylarkstall/internal/domain/pool"
	"skylarkstall/internal/domain/workflow"
	"skylarkstall/internal/port"
)

// startAfterRestart starts the only task of a new job on a worker that has restarted since its last reply, which only the response to
// the start shows.
func startAfterRestart(t *testing.T, s *Scheduler) (*jobEntry, launch) {
	t.Helper()
	e := acceptTestJob(s, workflow.Step{Count: 1})
	launches, _ := s.place(time.Now())
	if len(launches) != 1 {
		t.Fatalf("%d tasks start, want 1", len(launches))
	}
	l := launches[0]
	l.monitor.ackedEnd = 7
	s.startAcked(l, time.Millisecond, time.Now()) // the worker's clock was at 1 s before
	return e, l
}

// TestRestartNoticedByStart guards against a run that ends on a worker that has restarted, and runs again: the leader had not
// noticed the restart, and acknowledged the end under a number of the worker's former life.
func TestRestartNoticedByStart(t *testing.T) {
	s := newLeader(t)
	e, l := startAfterRestart(t, s)
	m := l.monitor
	s.mu.Lock()
	request := s.syncRequest(m, 0)
	s.mu.Unlock()
	if request.AckThrough != 0 {
		t.Errorf("ends up to %d are acknowledged to a worker that has restarted, want none", request.AckThrough)
	}
	now := time.Now()
	s.applyReply(m, s.term.Token, port.SyncReply{Incarnation: 2, WorkerClock: 2 * time.Millisecond, Ended: []port.EndedRun{
		{Number: 1, End: workflow.End{Run: l.request.RunRef, Outcome: workflow.Done}},
	}}, now, now)
	if e.workflow.State() != workflow.Completed {
		t.Errorf("job is %s, want completed, as its run has ended", e.workflow.State())
	}
}

// TestLateReplyAfterRestart guards against a run that ends on a worker that has restarted, and runs again: a reply of the worker's
// former life that arrived late ended the doubt, and its end was acknowledged unseen.
func TestLateReplyAfterRestart(t *testing.T) {
	s := newLeader(t)
	sentAt := time.Now()
	_, l := startAfterRestart(t, s)
	m := l.monitor
	s.applyReply(m, s.term.Token, port.SyncReply{Incarnation: 1, WorkerClock: 2 * time.Second}, sentAt, time.Now())
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := s.syncRequest(m, 0).AckThrough; n != 0 {
		t.Errorf("ends up to %d are acknowledged to a worker that has restarted, want none", n)
	}
}

// TestLeaseAfterRestart guards against two runs of a task at once: the lease that a start asked for by the clock of the worker's former
// life lasted longer on the next one, and the worker was out of reach before it had answered a sync.
func TestLeaseAfterRestart(t *testing.T) {
	s := newLeader(t)
	_, l := startAfterRestart(t, s)
	now, worker := time.Now(), l.monitor.worker
	lasts := s.settings.MaxLease - 100*time.Millisecond
	if worker.LeaseExpired(now.Add(lasts)) {
		t.Errorf("the lease counts as expired %v after the start; the worker grants up to %v", lasts, s.settings.MaxLease)
	}
	if lapsed := pool.LapseTime(s.settings.MaxLease) + 100*time.Millisecond; !worker.LeaseExpired(now.Add(lapsed)) {
		t.Errorf("the lease does not count as expired %v after the start", lapsed)
	}
}

// TestRestartAsAnotherKind guards against a start for which a restarted worker is too small or has not the label: its new incarnation may
// be of another kind, and until the worker list describes it, only the former one is known.
func TestRestartAsAnotherKind(t *testing.T) {
	s := newLeader(t)
	s.removeMonitor("w2")
	info := s.monitors["w1"].worker.Info()
	acceptTestJob(s, workflow.Step{Count: 1})
	now := time.Now()
	for _, c := range []struct {
		name   string
		born   int64 // as the list states it
		cores  int64
		starts int
	}{
		{"described as before the restart", 1, 4000, 0},
		{"of a smaller kind", 2, 2000, 0},
		{"of the same kind", 2, 4000, 1},
	} {
		s.applyReply(s.monitors["w1"], s.term.Token, port.SyncReply{Incarnation: 2, WorkerClock: now.Sub(s.startedAt) + time.Second}, now, now)
		if launches, _ := s.place(now); c.born == 1 && len(launches) > 0 {
			t.Fatalf("%d starts on a worker that has restarted and is not listed since", len(launches))
		}
		info.Incarnation, info.Capacity.MilliCores = c.born, c.cores
		s.mu.Lock()
		s.updateWorkers([]pool.WorkerInfo{info}, now)
		s.mu.Unlock()
		now = now.Add(placeInterval + 200*time.Millisecond)
		s.applyReply(s.monitors["w1"], s.term.Token, port.SyncReply{Incarnation: 2, WorkerClock: now.Sub(s.startedAt) + time.Second}, now, now)
		if launches, _ := s.place(now); len(launches) != c.starts {
			t.Fatalf("%s: %d starts, want %d", c.name, len(launches), c.starts)
		}
	}
}
