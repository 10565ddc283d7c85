package peerwire

import (
	"context"
	"time"

	"skylarkstall/internal/adapter/peerwire/peerpb"
	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/timeline"
	"skylarkstall/internal/domain/work"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/port"
)

func revision(n uint64) ident.Revision { return ident.Revision(n) }

func (t *Transport) call(ctx context.Context, to ident.ProcessID, call *peerpb.Call) (*peerpb.Reply, error) {
	s, err := t.session(to)
	if err != nil {
		return nil, err
	}
	call.Stamp = t.stamp()
	reply, err := s.roundTrip(ctx, call)
	if err != nil {
		return nil, err
	}
	t.clock.Observe(time.Now(), decodeStamp(reply.GetStamp()))
	if failure := reply.GetFailure(); failure != nil {
		return nil, fault.New(fault.Kind(failure.GetKind()), "%s", failure.GetMessage())
	}
	return reply, nil
}

// Execute implements port.Peers.
func (t *Transport) Execute(ctx context.Context, to ident.ProcessID, call port.Execute) (work.Outcome, error) {
	body := &peerpb.Execute{Spec: encodeSpec(call.Spec), Digest: call.Digest}
	reply, err := t.call(ctx, to, &peerpb.Call{Body: &peerpb.Call_Execute{Execute: body}})
	return decodeOutcome(reply.GetOutcome()), err
}

// Place implements port.Peers.
func (t *Transport) Place(ctx context.Context, to ident.ProcessID, call port.Place) (work.Outcome, error) {
	body := &peerpb.Place{
		Partition: uint32(call.Partition), Home: encodeHome(call.Home), Spec: encodeSpec(call.Spec),
		Attach: call.Attach, Reserved: call.Reserved,
	}
	reply, err := t.call(ctx, to, &peerpb.Call{Body: &peerpb.Call_Place{Place: body}})
	return decodeOutcome(reply.GetOutcome()), err
}

// TakeHome implements port.Peers.
func (t *Transport) TakeHome(ctx context.Context, to ident.ProcessID, call port.TakeHome) (port.Held, error) {
	body := &peerpb.TakeHome{Partition: uint32(call.Partition), Home: encodeHome(call.Home)}
	reply, err := t.call(ctx, to, &peerpb.Call{Body: &peerpb.Call_TakeHome{TakeHome: body}})
	return decodeHeld(reply.GetHeld()), err
}

// Report implements port.Peers.
func (t *Transport) Report(ctx context.Context, to ident.ProcessID, call port.Report) error {
	_, err := t.call(ctx, to, &peerpb.Call{Body: &peerpb.Call_Report{Report: encodeReport(call)}})
	return err
}

// Cancel implements port.Peers.
func (t *Transport) Cancel(
	ctx context.Context, to ident.ProcessID, tasks []ident.TaskID,
) ([]ident.TaskID, error) {
	body := &peerpb.Cancel{Tasks: encodeTasks(tasks)}
	reply, err := t.call(ctx, to, &peerpb.Call{Body: &peerpb.Call_Cancel{Cancel: body}})
	return decodeTasks(reply.GetCanceled().GetMissing()), err
}

// Settle implements port.Peers.
func (t *Transport) Settle(ctx context.Context, to ident.ProcessID, tasks []ident.TaskID) error {
	body := &peerpb.Settle{Tasks: encodeTasks(tasks)}
	_, err := t.call(ctx, to, &peerpb.Call{Body: &peerpb.Call_Settle{Settle: body}})
	return err
}

// Documents implements port.Peers.
func (t *Transport) Documents(
	ctx context.Context, to ident.ProcessID, after ident.Revision,
) (port.Documents, error) {
	body := &peerpb.FetchDocuments{After: uint64(after)}
	reply, err := t.call(ctx, to, &peerpb.Call{Body: &peerpb.Call_FetchDocuments{FetchDocuments: body}})
	return decodeDocuments(reply.GetDocuments()), err
}

// Events implements port.Peers.
func (t *Transport) Events(
	ctx context.Context, to ident.ProcessID, filter timeline.Filter,
) ([]timeline.Event, error) {
	reply, err := t.call(ctx, to, &peerpb.Call{Body: &peerpb.Call_FetchEvents{FetchEvents: encodeFilter(filter)}})
	return decodeEvents(reply.GetEvents()), err
}

// Status implements port.Peers.
func (t *Transport) Status(ctx context.Context, to ident.ProcessID) (port.Status, error) {
	reply, err := t.call(ctx, to, &peerpb.Call{Body: &peerpb.Call_FetchStatus{FetchStatus: &peerpb.FetchStatus{}}})
	return decodeStatus(reply.GetStatus()), err
}
