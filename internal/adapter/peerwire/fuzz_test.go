package peerwire

import (
	"bufio"
	"bytes"
	"context"
	"log/slog"
	"testing"
	"time"

	"skylarkstall/internal/adapter/frame"
	"skylarkstall/internal/adapter/peerwire/peerpb"
	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/job"
	"skylarkstall/internal/domain/timeline"
	"skylarkstall/internal/domain/work"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/port"
)

// stubHandler accepts every call.
type stubHandler struct{ port.PeerHandler }

func (stubHandler) HandleExecute(context.Context, port.Execute) (work.Outcome, error) {
	return work.Outcome{}, nil
}

func (stubHandler) HandlePlace(_ context.Context, call port.Place) (work.Outcome, error) {
	return work.Outcome{Task: call.Spec.ID}, nil
}

func (stubHandler) HandleTakeHome(context.Context, port.TakeHome) (port.TakeHomeReply, error) {
	return port.TakeHomeReply{}, nil
}
func (stubHandler) HandleReport(context.Context, port.AttemptReport) error { return nil }
func (stubHandler) HandleCancel(context.Context, []ident.TaskID) ([]ident.TaskID, error) {
	return nil, nil
}

func (stubHandler) HandleSubmit(context.Context, port.Submit) (job.Status, error) {
	return job.Status{}, nil
}

func (stubHandler) HandleQueryJob(context.Context, port.QueryJob) (job.Status, error) {
	return job.Status{}, nil
}

func (stubHandler) HandleCancelWork(context.Context, ident.WorkID) (job.Status, error) {
	return job.Status{}, nil
}

func (stubHandler) HandleReserve(context.Context, port.Reserve) ([]uint32, error) { return nil, nil }
func (stubHandler) HandleRelease(context.Context, port.Release) error             { return nil }
func (stubHandler) HandleAckOutcomes(context.Context, []ident.TaskID) error       { return nil }
func (stubHandler) HandleDocuments(context.Context, ident.Revision) (port.DocumentPage, error) {
	return port.DocumentPage{}, nil
}

func (stubHandler) HandleEvents(context.Context, timeline.Filter) ([]timeline.Event, error) {
	return nil, nil
}
func (stubHandler) HandleStatus(context.Context) (port.Status, error) { return port.Status{}, nil }

// FuzzCall checks that no bytes sent by a peer crash the process: a frame is refused as malformed, or its call fails with
// Invalid or gets a reply that can be sent.
func FuzzCall(f *testing.F) {
	transport := New("a", nil, nil, nil, stubHandler{}, timeline.NewRecorder("a", 10), slog.New(slog.DiscardHandler))
	for _, call := range []*peerpb.Call{
		{},
		{Body: &peerpb.Call_Place{Place: &peerpb.Place{Partition: 99, Spec: encodeSpec(executeCall("one", "x").Spec)}}},
		{Body: &peerpb.Call_Execute{Execute: &peerpb.Execute{Spec: encodeSpec(executeCall("one", "x").Spec)}}},
		{Body: &peerpb.Call_Heartbeat{Heartbeat: encodeHeartbeat(port.Heartbeat{})}},
		{Stamp: &peerpb.Stamp{Wall: 1 << 62, Logical: 1<<32 - 1}, Body: &peerpb.Call_FetchStatus{}},
	} {
		var out bytes.Buffer
		if err := frame.Write(&out, call); err != nil {
			f.Fatal(err)
		}
		f.Add(out.Bytes())
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		call := &peerpb.Call{}
		if err := frame.Read(bufio.NewReader(bytes.NewReader(data)), call); err != nil {
			return
		}
		transport.recorder.Observe(time.Now(), decodeTimestamp(call.GetStamp()))
		decodeHeartbeat(call.GetHeartbeat())
		reply, err := transport.dispatch(t.Context(), call)
		if err != nil {
			if kind := fault.KindOf(err); kind != fault.Invalid {
				t.Errorf("refused with %v: %v; want Invalid", kind, err)
			}
			return
		}
		if err := frame.Write(&bytes.Buffer{}, reply); err != nil {
			t.Errorf("the reply cannot be sent: %v", err)
		}
	})
}

// FuzzReply checks that no reply of a peer crashes the process.
func FuzzReply(f *testing.F) {
	f.Add([]byte{4, 255, 255, 255, 255})
	f.Add([]byte{255, 255, 255, 255, 15})
	f.Fuzz(func(_ *testing.T, data []byte) {
		reply := &peerpb.Reply{}
		if err := frame.Read(bufio.NewReader(bytes.NewReader(data)), reply); err != nil {
			return
		}
		_ = decodeFaultKind(reply.GetFailure().GetKind()).String()
		decodeOutcome(reply.GetOutcome())
		decodeTakeHomeReply(reply.GetHeld())
		decodeDocuments(reply.GetDocuments())
		for _, e := range decodeEvents(reply.GetEvents()) {
			_ = e.String()
		}
		decodeStatus(reply.GetStatus())
	})
}
