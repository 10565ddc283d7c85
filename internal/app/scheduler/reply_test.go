package scheduler

import (
	"testing"
	"time"

	"skylarkstall/internal/app/leadership"
	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/pool"
	"skylarkstall/internal/domain/workflow"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/port"
)

// TestReplyOfFormerLife guards against a restarted worker to which ends are acknowledged that it has not reported: a reply that it
// sent before its restart arrived after one that it sent later.
func TestReplyOfFormerLife(t *testing.T) {
	s := newLeader(t)
	e := acceptTestJob(s, workflow.Step{Count: 1})
	launches, _ := s.place(time.Now())
	l := launches[0]
	m, sentAt := l.monitor, time.Now()
	s.finished["over"] = finishedJob{}
	s.applyReply(m, s.term.Token, port.SyncReply{Incarnation: 2, WorkerClock: time.Millisecond}, sentAt, time.Now())
	s.startAcked(l, 2*time.Millisecond, time.Now())

	former := firstRun(0)
	former.Task.Job = "over"
	s.applyReply(m, s.term.Token, port.SyncReply{Incarnation: 1, WorkerClock: time.Hour, Ended: []port.EndedRun{
		{Number: 7, End: workflow.End{Run: former, Outcome: workflow.Done}},
	}}, sentAt.Add(-time.Second), time.Now())
	if acked := ackedEnd(s, m); acked != 0 {
		t.Errorf("ends up to %d are acknowledged, want none", acked)
	}
	if m.worker.Info().Incarnation != 2 || m.worker.Run(l.request.RunRef) == nil {
		t.Errorf("the worker counts as incarnation %d, want 2 with its run", m.worker.Info().Incarnation)
	}
	if len(e.workflow.Active()) != 1 {
		t.Errorf("%d runs of the job are active, want 1", len(e.workflow.Active()))
	}
}

// TestLeaseOfPredecessor guards against a run that a new leader found and gives up while the lease that its predecessor had granted is
// in force: the new leader was not confirmed, so it had not extended the lease itself, and the worker fell silent.
func TestLeaseOfPredecessor(t *testing.T) {
	s, now := newLeaderFor(t), time.Now()
	s.term.Renewal = &leadership.Renewal{}
	s.term.Renewal.Mark(now.Add(-3 * time.Second))
	s.authority.workers = []ident.WorkerID{"w1", "w2", "w3"}
	m := newMonitor(pool.WorkerInfo{ID: "w1", Service: "desk", Incarnation: 1})
	s.putMonitor("w1", m)
	run := firstRun(0)
	s.applyReply(m, s.term.Token, port.SyncReply{
		Incarnation: 1, WorkerClock: time.Hour, Running: []port.RunningRun{{RunRef: run}},
	}, now, now)
	s.mu.Lock()
	request := s.syncRequest(m, 0)
	s.mu.Unlock()
	s.syncFailed(m, "", s.term.Token, fault.New(fault.Interrupted, "no response"))
	if request.LeaseExpiry != 0 || m.worker.Run(run) == nil {
		t.Errorf("lease requested until %v, run given up: %v; want no lease, and the run kept", request.LeaseExpiry, m.worker.Run(run) == nil)
	}
}
