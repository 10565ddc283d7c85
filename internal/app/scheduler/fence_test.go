package scheduler

import (
	"cmp"
	"context"
	"testing"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/pool"
	"skylarkstall/internal/domain/workflow"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/port"
)

// TestLeaseOfFormerLife guards against two runs of a task at once after a change of the leader: a request to the former life of a
// restarted worker had left the longest lease on its runs, and the next leader took them for lapsed after a usual one.
func TestLeaseOfFormerLife(t *testing.T) {
	for name, c := range map[string]struct {
		record    port.WorkerRecord
		lease     time.Duration
		firstTerm bool
	}{
		"fenced by the previous leader":     {record: port.WorkerRecord{WorkerInfo: pool.WorkerInfo{ID: "w1", Incarnation: 1}, Fenced: true}, lease: maxRunLease},
		"not fenced by the previous leader": {record: port.WorkerRecord{WorkerInfo: pool.WorkerInfo{ID: "w1", Incarnation: 1}}, lease: 6 * time.Second},
		"restarted since it was fenced":     {record: port.WorkerRecord{WorkerInfo: pool.WorkerInfo{ID: "w1", Incarnation: 7}, Fenced: true}, lease: 6 * time.Second},
		"not recorded":                      {lease: 6 * time.Second},
		"no previous leader":                {lease: maxRunLease, firstTerm: true},
	} {
		s, now := newLeaderFor(t), time.Now()
		s.term.HasPredecessor = !c.firstTerm
		m := newMonitor(pool.WorkerInfo{ID: "w1", Service: "desk", Incarnation: cmp.Or(c.record.Incarnation, 1)})
		s.putMonitor("w1", m)
		s.unsynced["w1"] = c.record
		s.applyReply(m, s.term.Token, port.SyncReply{Incarnation: 1, WorkerClock: time.Second}, now, now)
		lapse := pool.LapseTime(c.lease)
		if m.worker.LeaseExpired(now.Add(lapse-300*time.Millisecond)) || !m.worker.LeaseExpired(now.Add(lapse+100*time.Millisecond)) {
			t.Errorf("%s: the lease does not count as expired from %v after the first answer on", name, lapse)
		}
	}
}

// historyStore accepts every transaction and keeps them.
type historyStore struct {
	port.TxnStore
	txns []port.Txn
}

func (h *historyStore) Commit(_ context.Context, txn port.Txn) (port.CommitResult, error) {
	h.txns = append(h.txns, txn)
	return port.CommitResult{Revision: ident.Revision(100 + len(h.txns))}, nil
}

// newFencedLeader returns a leader with a store, and the monitor of its only worker, which has answered and is recorded.
func newFencedLeader(t *testing.T) (*Scheduler, *workerMonitor, *historyStore) {
	t.Helper()
	s, store := newLeaderFor(t), &historyStore{}
	s.ports.Store, s.ports.RecordCodec = store, recordCodec{}
	addTestWorker(s, "w1", 4000, time.Now())
	m := s.monitors["w1"]
	s.applyReply(m, s.term.Token, port.SyncReply{Incarnation: 1, WorkerClock: time.Minute}, time.Now(), time.Now())
	s.recordWorkers(t.Context())
	return s, m, store
}

// answer applies the reply of the worker's second life to its next sync.
func answer(s *Scheduler, m *workerMonitor, clock time.Duration) {
	s.mu.Lock()
	token := s.syncRequest(m, 0).Token
	s.mu.Unlock()
	now := time.Now()
	s.applyReply(m, token, port.SyncReply{Incarnation: 2, WorkerClock: clock}, now, now)
}

// TestRestartRaisesToken guards against requests to the former life of a restarted worker that take effect on the present one, seconds
// later: they extended leases beyond what the leader reckoned with, and acknowledged ends that it had not seen.
func TestRestartRaisesToken(t *testing.T) {
	s, m, store := newFencedLeader(t)
	info := m.worker.Info()
	acceptTestJob(s, workflow.Step{Count: 1})
	answer(s, m, 100*time.Millisecond)
	s.mu.Lock()
	info.Incarnation = 2
	s.updateWorkers([]pool.WorkerInfo{info}, time.Now())
	s.mu.Unlock()
	answer(s, m, 200*time.Millisecond)
	if launches, _ := s.place(time.Now()); len(launches) != 0 {
		t.Error("a run starts while the token is the one of requests to the former life")
	}
	commits := len(store.txns)
	s.recordWorkers(t.Context())
	if len(store.txns) != commits+1 || store.txns[commits].If[0] != (port.Condition{Key: port.LeaderKey, Revision: s.term.Revision}) {
		t.Fatalf("%d transactions after the restart, want one on condition that this process still leads", len(store.txns)-commits)
	}
	if m.worker.Token() <= s.term.Token {
		t.Fatalf("token %d after the restart is recorded, want one higher than %d", m.worker.Token(), s.term.Token)
	}
	if launches, _ := s.place(time.Now()); len(launches) != 0 {
		t.Error("a run starts before the worker has seen the higher token")
	}
	answer(s, m, 300*time.Millisecond)
	now := time.Now().Add(placeInterval + 200*time.Millisecond)
	if launches := placeAt(s, now); len(launches) != 1 || launches[0].request.Token != m.worker.Token() {
		t.Errorf("%d starts after the worker has answered with the higher token, want 1", len(launches))
	}
}

// TestRefusedTokens guards against a leader that gives up its term because a worker refuses an earlier token of its own, and against one
// that goes on after a worker has seen the token of another leader.
func TestRefusedTokens(t *testing.T) {
	refused := fault.New(fault.StaleEpoch, "worker rejected the request: fence")
	for name, c := range map[string]struct {
		token ident.Epoch
		ends  bool
	}{"earlier token": {9, false}, "present token": {12, true}} {
		s := newLeader(t)
		m := s.monitors["w1"]
		m.worker.SetToken(12)
		s.syncFailed(m, "", c.token, refused)
		if ended := s.ctx.Err() != nil; ended != c.ends || m.unreachable {
			t.Errorf("%s refused: term ended: %v, want %v; worker unreachable: %v", name, ended, c.ends, m.unreachable)
		}
	}
}

// TestStartAfterRestartIsNotSent guards against a start that was placed on the former life of a worker and is sent to the present one.
func TestStartAfterRestartIsNotSent(t *testing.T) {
	s, m, _ := newFencedLeader(t)
	runner := &countingRunner{}
	s.ports.RunClient = runner
	e := acceptTestJob(s, workflow.Step{Count: 1})
	respond(s, time.Now())
	launches, _ := s.place(time.Now())
	if len(launches) != 1 {
		t.Fatalf("%d starts, want 1", len(launches))
	}
	answer(s, m, 100*time.Millisecond)
	s.startRun(s.ctx, launches[0])
	if n := runner.requests.Load(); n != 0 || len(e.workflow.Active()) != 0 {
		t.Errorf("%d requests sent after the restart, %d runs active; want none", n, len(e.workflow.Active()))
	}
}
