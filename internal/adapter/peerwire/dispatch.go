package peerwire

import (
	"context"

	"skylarkstall/internal/adapter/peerwire/peerpb"
	"skylarkstall/internal/port"
)

var doneReply = &peerpb.Reply{Body: &peerpb.Reply_Done{Done: &peerpb.Done{}}}

// dispatch decodes the call, passes it to the handler and encodes the reply.
func (t *Transport) dispatch(ctx context.Context, call *peerpb.Call) (*peerpb.Reply, error) {
	switch body := call.GetBody().(type) {
	case *peerpb.Call_Execute:
		return t.execute(ctx, body.Execute)
	case *peerpb.Call_Place:
		return t.place(ctx, body.Place)
	case *peerpb.Call_TakeHome:
		return t.takeHome(ctx, body.TakeHome)
	case *peerpb.Call_Report:
		return emptyReply(t.handler.HandleReport(ctx, decodeReport(body.Report)))
	case *peerpb.Call_Cancel:
		return t.cancel(ctx, body.Cancel)
	case *peerpb.Call_Settle:
		return emptyReply(t.handler.HandleAckOutcomes(ctx, decodeTaskIDs(body.Settle.GetTasks())))
	case *peerpb.Call_FetchDocuments:
		return t.documents(ctx, body.FetchDocuments)
	case *peerpb.Call_FetchEvents:
		return t.events(ctx, body.FetchEvents)
	case *peerpb.Call_FetchStatus:
		return t.status(ctx)
	default:
		return t.dispatchJob(ctx, call)
	}
}

func emptyReply(err error) (*peerpb.Reply, error) {
	if err != nil {
		return nil, err
	}
	return &peerpb.Reply{Body: doneReply.Body}, nil
}

func (t *Transport) execute(ctx context.Context, call *peerpb.Execute) (*peerpb.Reply, error) {
	spec, err := decodeSpec(call.GetSpec())
	if err != nil {
		return nil, err
	}
	outcome, err := t.handler.HandleExecute(ctx, port.Execute{Spec: spec, Digest: call.GetDigest()})
	if err != nil {
		return nil, err
	}
	return &peerpb.Reply{Body: &peerpb.Reply_Outcome{Outcome: encodeOutcome(outcome)}}, nil
}

func (t *Transport) place(ctx context.Context, call *peerpb.Place) (*peerpb.Reply, error) {
	spec, err := decodeSpec(call.GetSpec())
	if err != nil {
		return nil, err
	}
	partition, err := decodePartition(call.GetPartition())
	if err != nil {
		return nil, err
	}
	outcome, err := t.handler.HandlePlace(ctx, port.Place{
		Partition: partition, Home: decodeHomeEpoch(call.GetHome()), Spec: spec, Attach: call.GetAttach(),
		Reserved: call.GetReserved(),
	})
	if err != nil {
		return nil, err
	}
	return &peerpb.Reply{Body: &peerpb.Reply_Outcome{Outcome: encodeOutcome(outcome)}}, nil
}

func (t *Transport) takeHome(ctx context.Context, call *peerpb.TakeHome) (*peerpb.Reply, error) {
	partition, err := decodePartition(call.GetPartition())
	if err != nil {
		return nil, err
	}
	reply, err := t.handler.HandleTakeHome(ctx, port.TakeHome{Partition: partition, Home: decodeHomeEpoch(call.GetHome())})
	if err != nil {
		return nil, err
	}
	return &peerpb.Reply{Body: &peerpb.Reply_Held{Held: encodeTakeHomeReply(reply)}}, nil
}

func (t *Transport) cancel(ctx context.Context, call *peerpb.Cancel) (*peerpb.Reply, error) {
	missing, err := t.handler.HandleCancel(ctx, decodeTaskIDs(call.GetTasks()))
	if err != nil {
		return nil, err
	}
	canceled := &peerpb.Canceled{Missing: encodeTaskIDs(missing)}
	return &peerpb.Reply{Body: &peerpb.Reply_Canceled{Canceled: canceled}}, nil
}

func (t *Transport) documents(ctx context.Context, call *peerpb.FetchDocuments) (*peerpb.Reply, error) {
	page, err := t.handler.HandleDocuments(ctx, decodeRevision(call.GetAfter()))
	if err != nil {
		return nil, err
	}
	return &peerpb.Reply{Body: &peerpb.Reply_Documents{Documents: encodeDocuments(page)}}, nil
}

func (t *Transport) events(ctx context.Context, call *peerpb.FetchEvents) (*peerpb.Reply, error) {
	events, err := t.handler.HandleEvents(ctx, decodeFilter(call))
	if err != nil {
		return nil, err
	}
	return &peerpb.Reply{Body: &peerpb.Reply_Events{Events: encodeEvents(events)}}, nil
}

func (t *Transport) status(ctx context.Context) (*peerpb.Reply, error) {
	status, err := t.handler.HandleStatus(ctx)
	if err != nil {
		return nil, err
	}
	return &peerpb.Reply{Body: &peerpb.Reply_Status{Status: encodeStatus(status)}}, nil
}
