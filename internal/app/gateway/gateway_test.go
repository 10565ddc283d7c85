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
