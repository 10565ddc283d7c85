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

// anyHandler answers every call.
type anyHandler struct{ port.PeerHandler }

func (anyHandler) HandleExecute(context.Context, port.Execute) (work.Outcome, error) {
	return work.Outcome{}, nil
}

func (anyHandler) HandlePlace(_ context.Context, call port.Place) (work.Outcome, error) {
	return work.Outcome{Task: call.Spec.ID}, nil
}

func (anyHandler) HandleTakeHome(context.Context, port.TakeHome) (port.TakeHomeReply, error) {
	return port.TakeHomeReply{}, nil
}
func (anyHandler) HandleReport(context.Context, port.AttemptReport) error { return nil }
func (anyHandler) HandleCancel(context.Context, []ident.TaskID) ([]ident.TaskID, error) {
	return nil, nil
}

func (anyHandler) HandleSubmit(context.Context, port.Submit) (job.Status, error) {
	return job.Status{}, nil
}

func (anyHandler) HandleQueryJob(context.Context, port.QueryJob) (job.Status, error) {
	return job.Status{}, nil
}

func (anyHandler) HandleCancelWork(context.Context, ident.WorkID) (job.Status, error) {
	return job.Status{}, nil
}
func (anyHandler) HandleReserve(context.Context, port.Reserve) ([]uint32, error) { return nil, nil }
func (anyHandler) HandleRelease(context.Context, port.Release) error             { return nil }
func (anyHandler) HandleAckOutcomes(context.Context, []ident.TaskID) error       { return nil }
func (anyHandler) HandleDocuments(context.Context, ident.Revision) (port.DocumentPage, error) {
	return port.DocumentPage{}, nil
}

func (anyHandler) HandleEvents(context.Context, timeline.Filter) ([]timeline.Event, error) {
	return nil, nil
}
func (anyHandler) HandleStatus(context.Context) (port.Status, error) { return port.Status{}, nil }

// FuzzCall guards against bytes of a peer that end the process: a frame is refused, or its call gets a reply that can
// be sent.
func FuzzCall(f *testing.F) {
	transport := New("a", nil, nil, nil, anyHandler{}, timeline.NewRecorder("a", 10), slog.New(slog.DiscardHandler))
	for _, call := range []*peerpb.Call{
		{},
		{Body: &peerpb.Call_Place{Place: &peerpb.Place{Partition: 99, Spec: encodeSpec(spec("one", "x").Spec)}}},
		{Body: &peerpb.Call_Execute{Execute: &peerpb.Execute{Spec: encodeSpec(spec("one", "x").Spec)}}},
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
		transport.clock.Observe(time.Now(), decodeStamp(call.GetStamp()))
		decodeHeartbeat(call.GetHeartbeat())
		reply, err := transport.dispatch(t.Context(), call)
		if err != nil {
			if kind := fault.KindOf(err); kind != fault.Invalid {
				t.Errorf("refused with %v: %v; want invalid", kind, err)
			}
			return
		}
		if err := frame.Write(&bytes.Buffer{}, reply); err != nil {
			t.Errorf("the reply cannot be sent: %v", err)
		}
	})
}

// FuzzReply guards against answers of a peer that end the process.
func FuzzReply(f *testing.F) {
	f.Add([]byte{4, 255, 255, 255, 255})
	f.Add([]byte{255, 255, 255, 255, 15})
	f.Fuzz(func(_ *testing.T, data []byte) {
		reply := &peerpb.Reply{}
		if err := frame.Read(bufio.NewReader(bytes.NewReader(data)), reply); err != nil {
			return
		}
		_ = decodeKind(reply.GetFailure().GetKind()).String()
		decodeOutcome(reply.GetOutcome())
		decodeHeld(reply.GetHeld())
		decodeDocuments(reply.GetDocuments())
		for _, e := range decodeEvents(reply.GetEvents()) {
			_ = e.String()
		}
		decodeStatus(reply.GetStatus())
	})
}
