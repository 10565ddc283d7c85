package gateway_test

import (
	"bytes"
	"context"
	"log/slog"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"skylarkstall/internal/app/gateway"
	"skylarkstall/internal/domain/account"
	"skylarkstall/internal/domain/route"
	"skylarkstall/internal/domain/workflow"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/port"
)

// acceptingStore accepts every transaction.
type acceptingStore struct{ port.TxnStore }

func (acceptingStore) Commit(context.Context, port.Txn) (port.CommitResult, error) {
	return port.CommitResult{Revision: 7}, nil
}

type jobCodec struct{ port.RecordCodec }

func (jobCodec) EncodeJob(port.AcceptedJob) []byte { return []byte("job") }

// electedLater is a cell whose leader is elected after a while.
type electedLater struct {
	port.Scheduler
	electedAt time.Time
	told      atomic.Int64
}

func (e *electedLater) Notify(context.Context, port.AcceptedJob) error {
	if time.Now().Before(e.electedAt) {
		return fault.New(fault.NotReady, "no session to the leader")
	}
	e.told.Add(1)
	return nil
}

// TestLeaderIsToldLater guards against a job that waits until the leader happens to read of it, because the process that
// accepted it had no session to the leader at that moment.
func TestLeaderIsToldLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		leader := &electedLater{electedAt: time.Now().Add(2 * time.Second)}
		g := gateway.New(acceptingStore{}, jobCodec{}, leader, &route.Table{}, slog.New(slog.DiscardHandler))
		spec := workflow.Spec{ID: "j", Steps: []workflow.Step{{Count: 1}}}
		if err := g.Submit(t.Context(), gateway.Caller{Queue: route.Queue{Name: "q"}}, spec); err != nil {
			t.Fatal(err)
		}
		time.Sleep(3 * time.Second)
		if n := leader.told.Load(); n != 1 {
			t.Errorf("the leader was told %d times within 1 s of its election, want once", n)
		}
	})
}

// panickingLeader is a leader in this process, whose state a panic leaves half changed.
type panickingLeader struct {
	port.Scheduler
	told atomic.Int64
}

func (l *panickingLeader) Notify(context.Context, port.AcceptedJob) error {
	l.told.Add(1)
	panic("malformed")
}

// TestPanicOfLeader guards against a process that ends with all connections of its callers because its own leader panics when it is
// told of a job: that call belongs to no connection.
func TestPanicOfLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		leader, log := &panickingLeader{}, &bytes.Buffer{}
		g := gateway.New(acceptingStore{}, jobCodec{}, leader, &route.Table{}, slog.New(slog.NewTextHandler(log, nil)))
		spec := workflow.Spec{ID: "j", Steps: []workflow.Step{{Count: 1}}}
		if err := g.Submit(t.Context(), gateway.Caller{Queue: route.Queue{Name: "q"}}, spec); err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		if leader.told.Load() == 0 || !strings.Contains(log.String(), "panic while the leader is told of a job") {
			t.Errorf("the panic is not logged:\n%s", log)
		}
	})
}

// storedJobs is a store whose records of a job all belong to account "a". It has no leader.
type storedJobs struct {
	port.TxnStore
	archived bool
}

func (s storedJobs) Get(_ context.Context, key string) (port.Entry, error) {
	if strings.HasPrefix(key, port.FinishedPrefix) != s.archived {
		return port.Entry{}, fault.New(fault.NotFound, "no key %s", key)
	}
	return port.Entry{Key: key}, nil
}

func (s storedJobs) Commit(_ context.Context, txn port.Txn) (port.CommitResult, error) {
	key := txn.If[0].Key
	if s.archived {
		key = txn.If[1].Key
	}
	return port.CommitResult{Current: []port.Entry{{Key: key}}}, fault.New(fault.Conflict, "the key exists")
}

type ownedCodec struct{ jobCodec }

func (ownedCodec) DecodeJob([]byte) (port.AcceptedJob, error) {
	return port.AcceptedJob{Queue: route.Queue{Name: "q"}, Account: "a"}, nil
}

func (ownedCodec) DecodeProgress([]byte) (workflow.Progress, error) {
	return workflow.Progress{State: workflow.Running}, nil
}

func (ownedCodec) DecodeFinished([]byte) (port.FinishedJob, error) {
	return port.FinishedJob{Queue: route.QueueRef{Name: "q"}, Account: "a", State: workflow.Completed}, nil
}

type noLeader struct{ port.Scheduler }

func (noLeader) State(context.Context, port.JobRef) (workflow.State, error) {
	return 0, fault.New(fault.NotReady, "no leader")
}

func (noLeader) Notify(context.Context, port.AcceptedJob) error { return nil }

// TestStoredJobOfOtherAccount guards against a process without a leader that reads another account's job from the store, or takes it for the
// one that its caller submits.
func TestStoredJobOfOtherAccount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, archived := range []bool{false, true} {
			g := gateway.New(storedJobs{archived: archived}, ownedCodec{}, noLeader{}, &route.Table{}, slog.New(slog.DiscardHandler))
			for _, id := range []account.ID{"a", "b"} {
				caller := gateway.Caller{Queue: route.Queue{Name: "q"}, Account: id}
				if _, err := g.State(t.Context(), caller, "j"); fault.Is(err, fault.NotFound) != (id == "b") {
					t.Errorf("archived %v: state for account %q: error %v", archived, id, err)
				}
				err := g.Submit(t.Context(), caller, workflow.Spec{ID: "j", Steps: []workflow.Step{{Count: 1}}})
				if fault.Is(err, fault.Conflict) != (id == "b") || id == "a" && err != nil {
					t.Errorf("archived %v: submission by account %q: error %v", archived, id, err)
				}
			}
		}
	})
}
