package scheduler

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"skylarkstall/internal/app/leadership"
	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/pool"
	"skylarkstall/internal/domain/workflow"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/port"
)

// newSuccessor returns a leader that has just taken over three recorded workers, of which those named have answered it, and a job
// that was stored before.
func newSuccessor(t *testing.T, answered ...ident.WorkerID) (*Scheduler, time.Time) {
	t.Helper()
	s := newLeaderFor(t)
	now := s.startedAt
	for _, id := range []ident.WorkerID{"w1", "w2", "w3"} {
		addTestWorker(s, id, 4000, now)
		s.unsynced[id] = port.WorkerRecord{WorkerInfo: s.monitors[id].worker.Info(), Fenced: true}
		s.predecessor.workers = append(s.predecessor.workers, id)
	}
	for _, id := range []ident.WorkerID{"w1", "w2", "w3"} {
		silent := true
		for _, a := range answered {
			silent = silent && a != id
		}
		if silent {
			s.putMonitor(id, newMonitor(s.monitors[id].worker.Info()))
		}
	}
	acceptTestJob(s, workflow.Step{Count: 1}).workflow.MarkUnknownRuns()
	return s, now
}

// TestSilentWorkerDelaysTakeover guards against tasks that stay away for 10 s after the loss of a rack and then of the leader: a
// new leader that has reached most workers need not wait until its predecessor would have stopped without them. It must still
// wait for the lease of the worker that it cannot reach, which is the longest if a request to an earlier life of the worker may have extended it.
func TestSilentWorkerDelaysTakeover(t *testing.T) {
	const maxLease = 6 * time.Second
	lease := Settings{MaxLease: maxLease}.leaseDuration()
	for name, c := range map[string]struct {
		answered []ident.WorkerID
		longest  time.Duration
		earlier  time.Duration // until when a leader before the predecessor may send requests
		change   func(s *Scheduler)
	}{
		"two thirds answered": {
			answered: []ident.WorkerID{"w1", "w2"}, longest: authorityWindow + pool.LapseTime(lease) + 2*placeInterval,
		},
		"one third answered": {
			answered: []ident.WorkerID{"w1"}, longest: leadership.MaxRenewalGap + pool.LapseTime(lease) + 2*placeInterval,
		},
		"after a short term": {
			answered: []ident.WorkerID{"w1", "w2"}, longest: 4*time.Second + pool.LapseTime(lease) + 2*placeInterval, earlier: 4 * time.Second,
		},
		"not fenced by the predecessor": {
			answered: []ident.WorkerID{"w1", "w2"}, longest: authorityWindow + pool.LapseTime(maxLease) + 2*placeInterval,
			change: func(s *Scheduler) { s.unsynced["w3"] = port.WorkerRecord{WorkerInfo: s.unsynced["w3"].WorkerInfo} },
		},
		"restarted since the record": {
			answered: []ident.WorkerID{"w1", "w2"}, longest: authorityWindow + pool.LapseTime(maxLease) + 2*placeInterval,
			change: func(s *Scheduler) { s.monitors["w3"].worker.KeepIncarnation(2) }, // as the worker list states it
		},
	} {
		s, now := newSuccessor(t, c.answered...)
		if c.change != nil {
			c.change(s)
		}
		if c.earlier > 0 {
			s.term.EarlierSilentAt = now.Add(c.earlier)
		}
		waited, started := time.Duration(0), false
		for ; !started && waited < 12*time.Second; waited += placeInterval {
			at := now.Add(waited)
			for _, id := range c.answered {
				s.monitors[id].worker.ObserveClock(at.Sub(now)+time.Minute, at, at)
			}
			launches, _ := s.place(at)
			started = len(launches) > 0
		}
		if shortest := c.longest - 3*placeInterval; !started || waited > c.longest+placeInterval || waited < shortest {
			t.Errorf("%s: started %v after %v, want between %v and %v", name, started, waited, shortest, c.longest)
		}
	}
}

// TestCordonedByShortTerm guards against a task that runs twice: a leader that led for a moment cordoned a worker that it could not
// reach, and the next one concluded that the leader before both had started no later job there.
func TestCordonedByShortTerm(t *testing.T) {
	lapse := pool.LapseTime(Settings{MaxLease: 6 * time.Second}.leaseDuration())
	for name, c := range map[string]struct {
		earlierSilent time.Duration // after the start of the term; 0 if no such leader was left before
		held          bool
	}{
		"no earlier leader":                  {},
		"an earlier leader may start runs":   {earlierSilent: 4 * time.Second, held: true},
		"runs of an earlier leader go on":    {earlierSilent: -lapse + 100*time.Millisecond, held: true},
		"runs of an earlier leader are over": {earlierSilent: -lapse - 100*time.Millisecond},
	} {
		s, now := newSuccessor(t, "w1", "w2")
		if c.earlierSilent != 0 {
			s.term.EarlierSilentAt = now.Add(c.earlierSilent)
		}
		for _, id := range []ident.WorkerID{"w1", "w2"} {
			delete(s.unsynced, id)
		}
		s.unsynced["w3"] = port.WorkerRecord{WorkerInfo: s.unsynced["w3"].WorkerInfo, Cordoned: true, CordonedAt: 10, Fenced: true}
		s.jobs["job"].createdRevision = 15
		if launches, _ := s.place(now); len(launches) > 0 == c.held {
			t.Errorf("%s: %d starts, held: %v", name, len(launches), c.held)
		}
	}
}

// revisionStore is a store that is at a revision.
type revisionStore struct {
	port.TxnStore
	revision ident.Revision
}

func (r revisionStore) List(context.Context, string) ([]port.Entry, ident.Revision, error) {
	return nil, r.revision, nil
}

// TestPredecessorAcceptsLate guards against a task that runs twice: a replaced leader that is cut off from the store accepts and
// starts jobs until the workers refuse it, which takes long if its successor reads the store slowly.
func TestPredecessorAcceptsLate(t *testing.T) {
	for name, c := range map[string]struct {
		age      time.Duration // of the term
		fenced   time.Duration // after the start of the term; 0 if the predecessor's workers have not answered
		stopped  bool
		revision ident.Revision // of the job; the store is at 20 when the predecessor is silent
		held     bool
	}{
		"not fenced after a slow read":        {age: 3 * time.Second, revision: 15, held: true},
		"fenced a moment ago":                 {age: 3 * time.Second, fenced: 2500 * time.Millisecond, revision: 15, held: true},
		"stored before the silence":           {age: 4 * time.Second, fenced: 2500 * time.Millisecond, revision: 15, held: true},
		"announced, with an unknown revision": {age: 4 * time.Second, fenced: 2500 * time.Millisecond, held: true},
		"stored after the silence":            {age: 4 * time.Second, fenced: 2500 * time.Millisecond, revision: 21},
		"predecessor stopped":                 {age: time.Second, stopped: true, revision: 15},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newLeaderFor(t)
				for _, id := range []ident.WorkerID{"w1", "w2", "w3"} {
					addTestWorker(s, id, 4000, time.Now())
					s.predecessor.workers = append(s.predecessor.workers, id)
				}
				s.unsynced["w3"] = port.WorkerRecord{WorkerInfo: s.monitors["w3"].worker.Info()}
				s.putMonitor("w3", newMonitor(s.monitors["w3"].worker.Info()))
				s.ports.Store, s.term.PredecessorStopped = revisionStore{revision: 20}, c.stopped
				if c.fenced > 0 {
					s.predecessor.fencedAt = s.startedAt.Add(c.fenced)
				} else {
					s.putMonitor("w2", newMonitor(s.monitors["w2"].worker.Info()))
				}
				go s.awaitPredecessorSilence(s.ctx)
				time.Sleep(c.age)
				s.monitors["w1"].worker.ObserveClock(c.age+time.Second, time.Now(), time.Now())
				acceptTestJob(s, workflow.Step{Count: 1}).createdRevision = c.revision
				if launches, _ := s.place(time.Now()); len(launches) > 0 == c.held {
					t.Errorf("%d starts while a worker of the predecessor is silent, held: %v", len(launches), c.held)
				}
				s.cancel()
			})
		})
	}
}

// TestLeaderWithoutConfirmation guards against a replaced leader that keeps tasks running on workers that its successor cannot
// reach. Without renewals of its lease it may let tasks run only while more than half of the recorded workers answer it: the
// successor has called two thirds of them, and these refuse it.
func TestLeaderWithoutConfirmation(t *testing.T) {
	for name, c := range map[string]struct {
		renewed  time.Duration // age of the last renewal
		answered map[ident.WorkerID]time.Duration
		want     bool
	}{
		"renewed":               {renewed: authorityWindow / 2, want: true},
		"store away":            {renewed: 3 * time.Second, answered: map[ident.WorkerID]time.Duration{"w1": 0, "w3": authorityWindow - 300*time.Millisecond}, want: true},
		"most answers too old":  {renewed: 3 * time.Second, answered: map[ident.WorkerID]time.Duration{"w1": 0, "w2": 2 * time.Second, "w3": authorityWindow + 1}},
		"cut off with a worker": {renewed: 3 * time.Second, answered: map[ident.WorkerID]time.Duration{"w2": 0}},
		"no answers":            {renewed: 3 * time.Second},
	} {
		s, now := newLeaderFor(t), time.Now()
		s.term.Renewal = &leadership.Renewal{}
		s.term.Renewal.Mark(now.Add(-c.renewed))
		for _, id := range []ident.WorkerID{"w1", "w2", "w3"} {
			addTestWorker(s, id, 4000, now.Add(-time.Minute))
			s.authority.workers = append(s.authority.workers, id)
			if age, ok := c.answered[id]; ok {
				// The answer was delayed: it arrives only now.
				s.monitors[id].worker.ObserveClock(2*time.Minute, now.Add(-age), now)
			}
		}
		m := s.monitors["w1"]
		m.unreachable = false
		acceptTestJob(s, workflow.Step{Count: 1})
		s.mu.Lock()
		got := s.mayLetRun(now)
		s.mu.Unlock()
		if got != c.want {
			t.Errorf("%s: may let tasks run: %v, want %v", name, got, c.want)
		}
		if launches, _ := s.place(now); len(launches) > 0 && !c.want {
			t.Errorf("%s: a task starts", name)
		}
		if extended := s.syncRequest(m, 0).LeaseExpiry > 0; extended != c.want {
			t.Errorf("%s: lease extended: %v, want %v", name, extended, c.want)
		}
	}
}

// TestSilentWorkerOfReplacedLeader guards against a leader that was cut off together with most workers, and starts tasks again that run on
// a worker which it does not reach: its successor reaches that worker and extends the lease.
func TestSilentWorkerOfReplacedLeader(t *testing.T) {
	for name, c := range map[string]struct {
		renewed time.Duration // age of the last renewal
		kept    bool
	}{
		"renewed":   {renewed: authorityWindow / 2},
		"store cut": {renewed: authorityWindow + 10*time.Millisecond, kept: true},
	} {
		s, now := newLeaderFor(t), time.Now()
		s.term.Renewal = &leadership.Renewal{}
		s.term.Renewal.Mark(now.Add(-c.renewed))
		addTestWorker(s, "w1", 4000, now.Add(-time.Minute))
		m, run := s.monitors["w1"], firstRun(0)
		m.worker.Adopt(run, &workflow.Step{})
		s.syncFailed(m, "", s.term.Token, fault.New(fault.Interrupted, "no response"))
		if kept := m.worker.Run(run) != nil; kept != c.kept {
			t.Errorf("%s: the run counts as running: %v, want %v", name, kept, c.kept)
		}
	}
}

// TestHeldStepGetsPermits guards against steps that wait for the permit service after they have waited for a silent worker: a
// new leader released all of them at once, and the last ones got their permits seconds later.
func TestHeldStepGetsPermits(t *testing.T) {
	s, now := newSuccessor(t, "w1", "w2")
	s.ports.PeerPermitClients = peers{names: []ident.ProcessID{"p1", "p2"}}
	s.jobs["job"].queue.PermitPolicy = testPermitPolicy()
	s.place(now)
	lapsed := s.predecessorLapsedAt()
	for _, c := range []struct {
		at   time.Time
		want int
	}{{lapsed.Add(-2 * prefetchLead), 0}, {lapsed.Add(-prefetchLead / 2), 1}} {
		for _, id := range []ident.WorkerID{"w1", "w2"} {
			s.monitors[id].worker.ObserveClock(c.at.Sub(now)+time.Minute, c.at, c.at)
		}
		launches, calls := s.place(c.at)
		if len(launches) != 0 || len(calls) != c.want {
			t.Errorf("%v before the wait ends: %d starts and %d calls, want 0 and %d", lapsed.Sub(c.at), len(launches), len(calls), c.want)
		}
	}
}

// TestUnlistedEndsDelayTakeover guards against a task that runs again after it has ended as done: while ends could not be recorded, a
// worker listed only the first of them, and the new leader took the others for lost once the leases of its predecessor had lapsed.
func TestUnlistedEndsDelayTakeover(t *testing.T) {
	s, now := newSuccessor(t, "w1", "w2")
	m := s.monitors["w3"]
	listed := workflow.RunRef{Task: workflow.TaskRef{StepRef: workflow.StepRef{Job: "job"}, Index: 1}, Run: 1}
	for waited := time.Duration(0); waited < 12*time.Second; waited += placeInterval {
		at := now.Add(waited)
		for _, id := range []ident.WorkerID{"w1", "w2"} {
			s.monitors[id].worker.ObserveClock(at.Sub(now)+time.Minute, at, at)
		}
		s.applyReply(m, s.term.Token, port.SyncReply{WorkerClock: waited + time.Minute, MoreEnds: true, Ended: []port.EndedRun{
			{Number: 1, End: workflow.End{Run: listed, Outcome: workflow.Done}},
		}}, at, at)
		s.mu.Lock()
		m.worker.ExtendLease(s.settings.leaseDuration(), at) // by the next sync
		s.mu.Unlock()
		if launches, _ := s.place(at); len(launches) > 0 {
			t.Fatalf("the task starts %v after the takeover, although a worker that answers may list its end later", waited)
		}
	}
	s.applyReply(m, s.term.Token, port.SyncReply{WorkerClock: time.Hour, Ended: []port.EndedRun{
		{Number: 1, End: workflow.End{Run: listed, Outcome: workflow.Done}}, {Number: 2, End: workflow.End{Run: firstRun(0), Outcome: workflow.Done}},
	}}, now.Add(12*time.Second), now.Add(12*time.Second))
	if state := s.jobs["job"].workflow.State(); state != workflow.Completed {
		t.Errorf("job is %s after its end was listed, want completed", state)
	}
}
