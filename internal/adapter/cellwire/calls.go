package cellwire

import (
	"context"
	"time"

	"skylarkstall/internal/adapter/cellwire/cellpb"
	"skylarkstall/internal/domain/account"
	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/permit"
	"skylarkstall/internal/domain/route"
	"skylarkstall/internal/domain/workflow"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/port"
)

// callLeader calls the leader. It fails with NotReady if there is no session to it.
func (t *Transport) callLeader(ctx context.Context, call *cellpb.Call) (*cellpb.Reply, error) {
	t.mu.Lock()
	s := t.leaderSession
	t.mu.Unlock()
	if s == nil {
		return nil, fault.New(fault.NotReady, "no session to the leader")
	}
	return s.call(ctx, call)
}

// StoreJob implements port.Scheduler. It and the methods below forward the call to the leader.
func (t *Transport) StoreJob(ctx context.Context, job port.AcceptedJob) error {
	_, err := t.callLeader(ctx, &cellpb.Call{Body: &cellpb.Call_Record{Record: encodeJob(job)}, KnownRefusal: uint64(job.KnownRefusal)})
	return err
}

// Notify implements port.Scheduler.
func (t *Transport) Notify(ctx context.Context, job port.AcceptedJob) error {
	_, err := t.callLeader(ctx, &cellpb.Call{Body: &cellpb.Call_Notify{Notify: encodeJob(job)}})
	return err
}

// State implements port.Scheduler.
func (t *Transport) State(ctx context.Context, job port.JobRef) (workflow.State, error) {
	reply, err := t.callLeader(ctx, &cellpb.Call{Body: &cellpb.Call_State{State: encodeJobRef(job)}})
	return workflow.State(reply.GetState()), err
}

// Cancel implements port.Scheduler.
func (t *Transport) Cancel(ctx context.Context, job port.JobRef) error {
	_, err := t.callLeader(ctx, &cellpb.Call{Body: &cellpb.Call_Cancel{Cancel: encodeJobRef(job)}})
	return err
}

// PendingJobs implements port.Scheduler.
func (t *Transport) PendingJobs(ctx context.Context, queue route.QueueRef) (int, error) {
	reply, err := t.callLeader(ctx, &cellpb.Call{
		Body: &cellpb.Call_Waiting{Waiting: queue.Name}, WaitingHost: queue.Host, WaitingPrefix: queue.Prefix,
	})
	return int(reply.GetWaiting()), err
}

func encodeJobRef(job port.JobRef) *cellpb.JobName {
	q := job.Queue
	return &cellpb.JobName{Queue: q.Name, Host: q.Host, Prefix: q.Prefix, Id: string(job.ID), Account: string(job.Account)}
}

func decodeJobRef(m *cellpb.JobName) port.JobRef {
	return port.JobRef{Queue: decodeQueueRef(m), Account: account.ID(m.GetAccount()), ID: workflow.ID(m.GetId())}
}

// queueFields are the fields of a message that identify a queue.
type queueFields interface {
	GetQueue() string
	GetHost() string
	GetPrefix() string
}

func decodeQueueRef(m queueFields) route.QueueRef {
	return route.QueueRef{Name: m.GetQueue(), Host: m.GetHost(), Prefix: m.GetPrefix()}
}

// Peers returns the processes that have an open session to this one.
func (t *Transport) Peers() []ident.ProcessID {
	t.mu.Lock()
	defer t.mu.Unlock()
	peers := make([]ident.ProcessID, 0, len(t.inbound))
	for peer := range t.inbound {
		peers = append(peers, peer)
	}
	return peers
}

// RequestPermitsVia calls the permit service through another process.
func (t *Transport) RequestPermitsVia(
	ctx context.Context, peer ident.ProcessID, step workflow.StepRef, workers []ident.WorkerID,
) (map[ident.WorkerID]permit.Ticket, error) {
	t.mu.Lock()
	s := t.inbound[peer]
	t.mu.Unlock()
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
	for _, ticket := range reply.GetTickets() {
		tickets[ident.WorkerID(ticket.GetWorker())] = permit.Ticket{
			Value: ticket.GetValue(), Expires: time.Now().Add(millis(ticket.GetLeftMs())),
		}
	}
	return tickets, nil
}

// dispatch executes a call from another process and returns the reply.
func (t *Transport) dispatch(ctx context.Context, s *session, call *cellpb.Call) (*cellpb.Reply, error) {
	handler := t.handler
	switch body := call.GetBody().(type) {
	case *cellpb.Call_Ping:
		_, leads := handler.OwnTerm()
		status, config := t.answerConfigStatus(s.peer, call.GetConfigStatus())
		return &cellpb.Reply{
			Leads: leads, Peers: t.knownAddresses(), ConfigStatus: status, Config: config, Room: encodeRoom(handler.Room()),
			LargestCpuMillicores: t.LargestShare().Millicores(),
		}, nil
	case *cellpb.Call_Leader:
		return &cellpb.Reply{Leader: encodeLeader(t.knownLeader())}, nil
	case *cellpb.Call_Record:
		return withJob(body.Record, func(job port.AcceptedJob) error {
			job.KnownRefusal = ident.Revision(call.GetKnownRefusal())
			return handler.StoreJob(ctx, job)
		})
	case *cellpb.Call_Admit:
		verdict, err := handler.Admit(ctx, decodeAdmit(body.Admit))
		return &cellpb.Reply{Verdict: encodeVerdict(verdict)}, err
	case *cellpb.Call_Notify:
		return withJob(body.Notify, func(job port.AcceptedJob) error { return handler.Notify(ctx, job) })
	case *cellpb.Call_State:
		state, err := handler.State(ctx, decodeJobRef(body.State))
		return &cellpb.Reply{State: uint32(state)}, err
	case *cellpb.Call_Cancel:
		return &cellpb.Reply{}, handler.Cancel(ctx, decodeJobRef(body.Cancel))
	case *cellpb.Call_Waiting:
		queue := route.QueueRef{Name: body.Waiting, Host: call.GetWaitingHost(), Prefix: call.GetWaitingPrefix()}
		n, err := handler.PendingJobs(ctx, queue)
		return &cellpb.Reply{Waiting: int64(n)}, err
	case *cellpb.Call_NewConfig:
		t.replica.Apply(body.NewConfig, string(s.peer))
		return &cellpb.Reply{}, nil
	case *cellpb.Call_Advise:
		return requestPermits(ctx, handler, body.Advise)
	default:
		return nil, fault.New(fault.Invalid, "call of unknown type")
	}
}

func withJob(m *cellpb.Job, do func(port.AcceptedJob) error) (*cellpb.Reply, error) {
	job, err := decodeJob(m)
	if err != nil {
		return nil, err
	}
	if job.Tombstone {
		return nil, fault.New(fault.Invalid, "job %q has no steps", job.Spec.ID)
	}
	return &cellpb.Reply{}, do(job)
}

func requestPermits(ctx context.Context, handler Handler, m *cellpb.Advise) (*cellpb.Reply, error) {
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
	for worker, ticket := range tickets {
		left := time.Until(ticket.Expires).Milliseconds()
		reply.Tickets = append(reply.Tickets, &cellpb.Ticket{Worker: string(worker), Value: ticket.Value, LeftMs: left})
	}
	return reply, nil
}
