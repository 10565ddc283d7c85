package cellwire

import (
	"context"
	"time"

	"skylarkstall/internal/adapter/cellwire/cellpb"
	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/permit"
	"skylarkstall/internal/domain/workflow"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/port"
)

// toLeader calls the leader. It fails with NotReady while there is no session to it.
func (m *Transport) toLeader(ctx context.Context, call *cellpb.Call) (*cellpb.Reply, error) {
	m.mu.Lock()
	s := m.leader
	m.mu.Unlock()
	if s == nil {
		return nil, fault.New(fault.NotReady, "no session to a leader")
	}
	return s.call(ctx, call)
}

// StoreJob implements port.Scheduler at the leader, as the further methods do.
func (m *Transport) StoreJob(ctx context.Context, job port.AcceptedJob) error {
	_, err := m.toLeader(ctx, &cellpb.Call{Body: &cellpb.Call_Record{Record: encodeJob(job)}})
	return err
}

// Notify implements port.Scheduler.
func (m *Transport) Notify(ctx context.Context, job port.AcceptedJob) error {
	_, err := m.toLeader(ctx, &cellpb.Call{Body: &cellpb.Call_Notify{Notify: encodeJob(job)}})
	return err
}

// State implements port.Scheduler.
func (m *Transport) State(ctx context.Context, queue string, id workflow.ID) (workflow.State, error) {
	name := &cellpb.JobName{Queue: queue, Id: string(id)}
	reply, err := m.toLeader(ctx, &cellpb.Call{Body: &cellpb.Call_State{State: name}})
	return workflow.State(reply.GetState()), err
}

// Cancel implements port.Scheduler.
func (m *Transport) Cancel(ctx context.Context, queue string, id workflow.ID) error {
	name := &cellpb.JobName{Queue: queue, Id: string(id)}
	_, err := m.toLeader(ctx, &cellpb.Call{Body: &cellpb.Call_Cancel{Cancel: name}})
	return err
}

// PendingJobs implements port.Scheduler.
func (m *Transport) PendingJobs(ctx context.Context, queue string) (int, error) {
	reply, err := m.toLeader(ctx, &cellpb.Call{Body: &cellpb.Call_Waiting{Waiting: queue}})
	return int(reply.GetWaiting()), err
}

// Config implements port.Scheduler.
func (m *Transport) Config(ctx context.Context) ([]byte, error) {
	reply, err := m.toLeader(ctx, &cellpb.Call{Body: &cellpb.Call_Config{Config: true}})
	return reply.GetConfig(), err
}

// Peers returns the processes that have opened a session to this one.
func (m *Transport) Peers() []ident.ProcessID {
	m.mu.Lock()
	defer m.mu.Unlock()
	peers := make([]ident.ProcessID, 0, len(m.sessions))
	for peer := range m.sessions {
		peers = append(peers, peer)
	}
	return peers
}

// RequestPermitsVia asks another process to call the service for permits.
func (m *Transport) RequestPermitsVia(
	ctx context.Context, peer ident.ProcessID, step workflow.StepRef, workers []ident.WorkerID,
) (map[ident.WorkerID]permit.Ticket, error) {
	m.mu.Lock()
	s := m.sessions[peer]
	m.mu.Unlock()
	if s == nil {
		return nil, fault.New(fault.Unavailable, "no session to %s", peer)
	}
	call := &cellpb.Advise{Job: string(step.Job), Occurrence: int32(step.Occurrence), Step: int32(step.Step)}
	for _, worker := range workers {
		call.Workers = append(call.Workers, string(worker))
	}
	reply, err := s.call(ctx, &cellpb.Call{Body: &cellpb.Call_Advise{Advise: call}})
	if err != nil {
		return nil, err
	}
	tickets := map[ident.WorkerID]permit.Ticket{}
	for _, t := range reply.GetTickets() {
		tickets[ident.WorkerID(t.GetWorker())] = permit.Ticket{
			Value: t.GetValue(), Expires: time.Now().Add(millis(t.GetLeftMs())),
		}
	}
	return tickets, nil
}

// dispatch answers one call of another process.
func (m *Transport) dispatch(ctx context.Context, call *cellpb.Call) (*cellpb.Reply, error) {
	handler := m.handler
	switch body := call.GetBody().(type) {
	case *cellpb.Call_Ping:
		_, leads := handler.OwnTerm()
		return &cellpb.Reply{Leads: leads, Peers: m.known()}, nil
	case *cellpb.Call_Leader:
		return &cellpb.Reply{Leader: encodeLeader(m.leads())}, nil
	case *cellpb.Call_Record:
		return withJob(body.Record, func(job port.AcceptedJob) error { return handler.StoreJob(ctx, job) })
	case *cellpb.Call_Notify:
		return withJob(body.Notify, func(job port.AcceptedJob) error { return handler.Notify(ctx, job) })
	case *cellpb.Call_State:
		state, err := handler.State(ctx, body.State.GetQueue(), workflow.ID(body.State.GetId()))
		return &cellpb.Reply{State: uint32(state)}, err
	case *cellpb.Call_Cancel:
		return &cellpb.Reply{}, handler.Cancel(ctx, body.Cancel.GetQueue(), workflow.ID(body.Cancel.GetId()))
	case *cellpb.Call_Waiting:
		n, err := handler.PendingJobs(ctx, body.Waiting)
		return &cellpb.Reply{Waiting: int64(n)}, err
	case *cellpb.Call_Config:
		source, err := handler.Config(ctx)
		return &cellpb.Reply{Config: source}, err
	case *cellpb.Call_Advise:
		return advise(ctx, handler, body.Advise)
	default:
		return nil, fault.New(fault.Invalid, "unknown call")
	}
}

func withJob(m *cellpb.Job, do func(port.AcceptedJob) error) (*cellpb.Reply, error) {
	job, err := decodeJob(m)
	if err != nil {
		return nil, err
	}
	return &cellpb.Reply{}, do(job)
}

func advise(ctx context.Context, handler Handler, m *cellpb.Advise) (*cellpb.Reply, error) {
	step := workflow.StepRef{Job: workflow.ID(m.GetJob()), Occurrence: int(m.GetOccurrence()), Step: int(m.GetStep())}
	workers := make([]ident.WorkerID, 0, len(m.GetWorkers()))
	for _, worker := range m.GetWorkers() {
		workers = append(workers, ident.WorkerID(worker))
	}
	tickets, err := handler.RequestPermits(ctx, step, workers)
	if err != nil {
		return nil, err
	}
	reply := &cellpb.Reply{}
	for worker, t := range tickets {
		left := time.Until(t.Expires).Milliseconds()
		reply.Tickets = append(reply.Tickets, &cellpb.Ticket{Worker: string(worker), Value: t.Value, LeftMs: left})
	}
	return reply, nil
}
