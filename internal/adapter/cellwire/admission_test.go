package cellwire

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"

	"skylarkstall/internal/adapter/cellwire/cellpb"
	"skylarkstall/internal/domain/account"
	"skylarkstall/internal/domain/admission"
	"skylarkstall/internal/domain/resource"
	"skylarkstall/internal/domain/workflow"
	"skylarkstall/internal/port"
)

// overload is the statement about a service without room at three priorities, after refusals of jobs of some accounts.
func overload(accounts int) admission.Statement {
	var s admission.Statement
	for priority := range 3 {
		s.Levels = append(s.Levels, admission.LevelState{
			Level: admission.Level{Service: "order-desk", Priority: priority}, Wait: 12 * time.Second, RefusesExcess: true,
			Shedding: admission.Shedding{Refused: 0.375, Wait: 4 * time.Second},
		})
	}
	for i := range accounts {
		s.Refused = append(s.Refused, account.ID(fmt.Sprintf("account-%03d", i)))
	}
	return s
}

func heavyRequest() admission.Request {
	return admission.Request{
		Job: "0123456789abcdef", Account: "account-001", Queue: "restock", Level: admission.Level{Service: "order-desk", Priority: 2},
		Chain: admission.Chain{Estimate: 7 * time.Second, Tasks: 2},
		Size:  resource.Vector{MilliCores: 4500, MemoryBytes: 8 << 30, Accelerators: 1}, Count: 21, Record: true,
	}
}

// TestAdmissionMessages guards against parts of a request, a verdict or a statement that are lost on their way.
func TestAdmissionMessages(t *testing.T) {
	verdict := admission.Verdict{
		Reason: admission.TooLate, RetryAfter: 3 * time.Second, Excess: true, Rate: 2.5, Share: 1.5, Wait: time.Minute,
	}
	for _, diff := range []string{
		cmp.Diff(heavyRequest(), decodeAdmit(encodeAdmit(heavyRequest()))), cmp.Diff(verdict, decodeVerdict(encodeVerdict(verdict))),
		cmp.Diff(overload(2), decodeRoom(encodeRoom(overload(2)))), cmp.Diff(admission.Statement{}, decodeRoom(nil)),
	} {
		if diff != "" {
			t.Error(diff)
		}
	}
}

// TestAdmissionTraffic guards against statements and questions that take much of the links of small VMs: with room they take nothing.
// Without room it counts a flood of 100 jobs per second that are asked about, with 350 accounts of which 20 were refused jobs.
func TestAdmissionTraffic(t *testing.T) {
	if room := encodeRoom(admission.Statement{}); room != nil {
		t.Errorf("%v is sent while there is room", room)
	}
	const (
		pingsPerSecond = float64(time.Second / pingInterval)
		asksPerSecond  = 100
		maxLeaderRate  = 200_000 // bytes per second, a sixth of a link of 10 Mbit/s
	)
	ping := proto.Size(&cellpb.Reply{Room: encodeRoom(overload(20))})
	ask := proto.Size(&cellpb.Call{Body: &cellpb.Call_Admit{Admit: encodeAdmit(heavyRequest())}}) +
		proto.Size(&cellpb.Reply{Verdict: encodeVerdict(admission.Verdict{Reason: admission.BeyondShare, Excess: true, Rate: 100, Share: 20, Wait: time.Minute, RetryAfter: time.Second})})
	for _, processes := range []int{7, 37, 147} {
		statements := float64(processes-1) * pingsPerSecond * float64(ping)
		asks := asksPerSecond * float64(ask)
		t.Logf("%d processes: %.0f bytes/s of statements, %.0f bytes/s of questions and answers", processes, statements, asks)
		if statements+asks > maxLeaderRate {
			t.Errorf("%d processes: %.0f bytes/s at the leader, want at most %d", processes, statements+asks, maxLeaderRate)
		}
	}
}

// admittingHandler is a leader that has no room, and keeps what it receives.
type admittingHandler struct {
	leadingHandler
	stored  *port.AcceptedJob
	request *admission.Request
}

func (h admittingHandler) Room() admission.Statement { return overload(1) }

func (h admittingHandler) StoreJob(_ context.Context, job port.AcceptedJob) error {
	*h.stored = job
	return nil
}

func (h admittingHandler) Admit(_ context.Context, r admission.Request) (admission.Verdict, error) {
	*h.request = r
	return admission.Verdict{Reason: admission.BeyondShare, RetryAfter: 2 * time.Second}, nil
}

// TestAdmissionCalls guards against a leader that stores a job although its id was refused meanwhile, because it was not told which refusal the
// process knew, and against statements and verdicts that do not reach the processes.
func TestAdmissionCalls(t *testing.T) {
	handler := admittingHandler{leadingHandler: leadingHandler{leader: port.Leader{Process: "a", Term: 1}}, stored: &port.AcceptedJob{}, request: &admission.Request{}}
	transport := New(handler.leader, nil, nil, handler, noConfig{}, slog.New(slog.DiscardHandler))
	dispatch := func(call *cellpb.Call) *cellpb.Reply {
		t.Helper()
		reply, err := transport.dispatch(t.Context(), &session{peer: "b"}, call)
		if err != nil {
			t.Fatal(err)
		}
		return reply
	}
	job := port.AcceptedJob{Spec: workflow.Spec{ID: "j", Steps: []workflow.Step{{Count: 1}}}}
	dispatch(&cellpb.Call{Body: &cellpb.Call_Record{Record: encodeJob(job)}, KnownRefusal: 7})
	if handler.stored.KnownRefusal != 7 {
		t.Errorf("the leader stores with refusal %d, want 7", handler.stored.KnownRefusal)
	}
	reply := dispatch(&cellpb.Call{Body: &cellpb.Call_Admit{Admit: encodeAdmit(heavyRequest())}})
	if v := decodeVerdict(reply.GetVerdict()); v.RetryAfter != 2*time.Second || handler.request.Job != heavyRequest().Job {
		t.Errorf("verdict %+v on %+v", v, handler.request)
	}
	reply = dispatch(&cellpb.Call{Body: &cellpb.Call_Ping{Ping: true}})
	if diff := cmp.Diff(overload(1), decodeRoom(reply.GetRoom())); diff != "" {
		t.Error(diff)
	}
}
