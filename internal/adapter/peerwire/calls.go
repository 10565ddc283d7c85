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

func decodeRevision(n uint64) ident.Revision { return ident.Revision(n) }

// callFor makes a call and returns the body that get extracts from the reply. It fails with Interrupted if the reply has
// a body of another type.
func callFor[T any](
	ctx context.Context, t *Transport, to ident.ProcessID, call *peerpb.Call, get func(*peerpb.Reply) *T,
) (*T, error) {
	reply, err := t.call(ctx, to, call)
	if err != nil {
		return nil, err
	}
	body := get(reply)
	if body == nil {
		return nil, fault.New(fault.Interrupted, "process %s sent a reply of unexpected type %T", to, reply.GetBody())
	}
	return body, nil
}

func (t *Transport) call(ctx context.Context, to ident.ProcessID, call *peerpb.Call) (*peerpb.Reply, error) {
	s, err := t.session(to)
	if err != nil {
		return nil, err
	}
	call.Stamp = t.timestamp()
	t.counters.messagesOut.Add(1)
	reply, err := s.roundTrip(ctx, call)
	if err != nil {
		return nil, err
	}
	t.counters.messagesIn.Add(1)
	t.recorder.Observe(time.Now(), decodeTimestamp(reply.GetStamp()))
	if failure := reply.GetFailure(); failure != nil {
		return nil, fault.New(decodeFaultKind(failure.GetKind()), "%s", failure.GetMessage())
	}
	return reply, nil
}

// Execute implements port.Peers.
func (t *Transport) Execute(ctx context.Context, to ident.ProcessID, call port.Execute) (work.Outcome, error) {
	body := &peerpb.Execute{Spec: encodeSpec(call.Spec), Digest: call.Digest}
	reply, err := callFor(ctx, t, to, &peerpb.Call{Body: &peerpb.Call_Execute{Execute: body}}, (*peerpb.Reply).GetOutcome)
	return checkedOutcome(reply, call.Spec, err)
}

// checkedOutcome decodes an outcome and fails with Interrupted if it belongs to another task.
func checkedOutcome(reply *peerpb.Outcome, spec work.Spec, err error) (work.Outcome, error) {
	outcome := decodeOutcome(reply)
	if err == nil && outcome.Task != spec.ID {
		return work.Outcome{}, fault.New(fault.Interrupted, "reply for task %s contains the outcome of task %s", spec.ID, outcome.Task)
	}
	return outcome, err
}

// Place implements port.Peers.
func (t *Transport) Place(ctx context.Context, to ident.ProcessID, call port.Place) (work.Outcome, error) {
	body := &peerpb.Place{
		Partition: uint32(call.Partition), Home: encodeHomeEpoch(call.Home), Spec: encodeSpec(call.Spec),
		Attach: call.Attach, Reserved: call.Reserved,
	}
	reply, err := callFor(ctx, t, to, &peerpb.Call{Body: &peerpb.Call_Place{Place: body}}, (*peerpb.Reply).GetOutcome)
	return checkedOutcome(reply, call.Spec, err)
}

// TakeHome implements port.Peers.
func (t *Transport) TakeHome(ctx context.Context, to ident.ProcessID, call port.TakeHome) (port.TakeHomeReply, error) {
	body := &peerpb.TakeHome{Partition: uint32(call.Partition), Home: encodeHomeEpoch(call.Home)}
	reply, err := callFor(ctx, t, to, &peerpb.Call{Body: &peerpb.Call_TakeHome{TakeHome: body}}, (*peerpb.Reply).GetHeld)
	return decodeTakeHomeReply(reply), err
}

// Report implements port.Peers.
func (t *Transport) Report(ctx context.Context, to ident.ProcessID, call port.AttemptReport) error {
	_, err := callFor(ctx, t, to, &peerpb.Call{Body: &peerpb.Call_Report{Report: encodeReport(call)}}, (*peerpb.Reply).GetDone)
	return err
}

// Cancel implements port.Peers.
func (t *Transport) Cancel(
	ctx context.Context, to ident.ProcessID, tasks []ident.TaskID,
) ([]ident.TaskID, error) {
	body := &peerpb.Cancel{Tasks: encodeTaskIDs(tasks)}
	reply, err := callFor(ctx, t, to, &peerpb.Call{Body: &peerpb.Call_Cancel{Cancel: body}}, (*peerpb.Reply).GetCanceled)
	return decodeTaskIDs(reply.GetMissing()), err
}

// AckOutcomes implements port.Peers.
func (t *Transport) AckOutcomes(ctx context.Context, to ident.ProcessID, tasks []ident.TaskID) error {
	body := &peerpb.Settle{Tasks: encodeTaskIDs(tasks)}
	_, err := callFor(ctx, t, to, &peerpb.Call{Body: &peerpb.Call_Settle{Settle: body}}, (*peerpb.Reply).GetDone)
	return err
}

// Documents implements port.Peers.
func (t *Transport) Documents(
	ctx context.Context, to ident.ProcessID, after ident.Revision,
) (port.DocumentPage, error) {
	body := &peerpb.FetchDocuments{After: uint64(after)}
	fetch := &peerpb.Call{Body: &peerpb.Call_FetchDocuments{FetchDocuments: body}}
	reply, err := callFor(ctx, t, to, fetch, (*peerpb.Reply).GetDocuments)
	return decodeDocuments(reply), err
}

// Events implements port.Peers.
func (t *Transport) Events(
	ctx context.Context, to ident.ProcessID, filter timeline.Filter,
) ([]timeline.Event, error) {
	fetch := &peerpb.Call{Body: &peerpb.Call_FetchEvents{FetchEvents: encodeFilter(filter)}}
	reply, err := callFor(ctx, t, to, fetch, (*peerpb.Reply).GetEvents)
	return decodeEvents(reply), err
}

// Status implements port.Peers.
func (t *Transport) Status(ctx context.Context, to ident.ProcessID) (port.Status, error) {
	fetch := &peerpb.Call{Body: &peerpb.Call_FetchStatus{FetchStatus: &peerpb.FetchStatus{}}}
	reply, err := callFor(ctx, t, to, fetch, (*peerpb.Reply).GetStatus)
	return decodeStatus(reply), err
}
