package peerwire

import (
	"context"
	"time"

	"skylarkstall/internal/adapter/peerwire/peerpb"
	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/job"
	"skylarkstall/internal/domain/journal"
	"skylarkstall/internal/domain/work"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/port"
)

// Submit implements port.Peers.
func (t *Transport) Submit(ctx context.Context, to ident.ProcessID, call port.Submit) (job.Status, error) {
	body := &peerpb.Submit{Work: encodeWorkID(call.Work), Digest: call.Digest, Job: encodeJobSpec(call.Job)}
	reply, err := t.call(ctx, to, &peerpb.Call{Body: &peerpb.Call_Submit{Submit: body}})
	return decodeJobStatus(reply.GetJobStatus()), err
}

// QueryJob implements port.Peers.
func (t *Transport) QueryJob(ctx context.Context, to ident.ProcessID, call port.QueryJob) (job.Status, error) {
	body := &peerpb.QueryJob{
		Work: encodeWorkID(call.Work), Version: call.Version, WaitNs: int64(call.Wait), From: call.From,
	}
	reply, err := t.call(ctx, to, &peerpb.Call{Body: &peerpb.Call_QueryJob{QueryJob: body}})
	return decodeJobStatus(reply.GetJobStatus()), err
}

// CancelWork implements port.Peers.
func (t *Transport) CancelWork(ctx context.Context, to ident.ProcessID, id ident.WorkID) (job.Status, error) {
	body := &peerpb.CancelWork{Work: encodeWorkID(id)}
	reply, err := t.call(ctx, to, &peerpb.Call{Body: &peerpb.Call_CancelWork{CancelWork: body}})
	return decodeJobStatus(reply.GetJobStatus()), err
}

// Reserve implements port.Peers.
func (t *Transport) Reserve(ctx context.Context, to ident.ProcessID, call port.Reserve) ([]uint32, error) {
	body := &peerpb.Reserve{
		Partition: uint32(call.Partition), Home: encodeHomeEpoch(call.Home), Spec: encodeSpec(call.Spec),
		Indexes: call.Indexes,
	}
	reply, err := t.call(ctx, to, &peerpb.Call{Body: &peerpb.Call_Reserve{Reserve: body}})
	return reply.GetReserved().GetIndexes(), err
}

// Release implements port.Peers.
func (t *Transport) Release(ctx context.Context, to ident.ProcessID, call port.Release) error {
	body := &peerpb.Release{Gang: encodeWorkID(call.Gang), Attempt: uint64(call.Attempt)}
	_, err := t.call(ctx, to, &peerpb.Call{Body: &peerpb.Call_Release{Release: body}})
	return err
}

// dispatchJob continues dispatch for calls about jobs and gangs.
func (t *Transport) dispatchJob(ctx context.Context, call *peerpb.Call) (*peerpb.Reply, error) {
	switch body := call.GetBody().(type) {
	case *peerpb.Call_Submit:
		return t.submit(ctx, body.Submit)
	case *peerpb.Call_QueryJob:
		return jobStatusReply(t.handler.HandleQueryJob(ctx, port.QueryJob{
			Work: decodeWorkID(body.QueryJob.GetWork()), Version: body.QueryJob.GetVersion(),
			Wait: time.Duration(body.QueryJob.GetWaitNs()), From: body.QueryJob.GetFrom(),
		}))
	case *peerpb.Call_CancelWork:
		return jobStatusReply(t.handler.HandleCancelWork(ctx, decodeWorkID(body.CancelWork.GetWork())))
	case *peerpb.Call_Reserve:
		return t.reserve(ctx, body.Reserve)
	case *peerpb.Call_Release:
		return emptyReply(t.handler.HandleRelease(ctx, port.Release{
			Gang: decodeWorkID(body.Release.GetGang()), Attempt: ident.Attempt(body.Release.GetAttempt()),
		}))
	default:
		return nil, fault.New(fault.Invalid, "unknown call type %T", body)
	}
}

func jobStatusReply(status job.Status, err error) (*peerpb.Reply, error) {
	if err != nil {
		return nil, err
	}
	return &peerpb.Reply{Body: &peerpb.Reply_JobStatus{JobStatus: encodeJobStatus(status)}}, nil
}

func (t *Transport) submit(ctx context.Context, call *peerpb.Submit) (*peerpb.Reply, error) {
	jobSpec, err := decodeJobSpec(call.GetJob())
	if err != nil {
		return nil, err
	}
	id := decodeWorkID(call.GetWork())
	if err := validateWorkID(id); err != nil {
		return nil, err
	}
	return jobStatusReply(t.handler.HandleSubmit(ctx, port.Submit{Work: id, Digest: call.GetDigest(), Job: jobSpec}))
}

func (t *Transport) reserve(ctx context.Context, call *peerpb.Reserve) (*peerpb.Reply, error) {
	spec, err := decodeSpec(call.GetSpec())
	if err != nil {
		return nil, err
	}
	partition, err := decodePartition(call.GetPartition())
	if err != nil {
		return nil, err
	}
	if n := len(call.GetIndexes()); n > job.MaxGangTasks {
		return nil, fault.New(fault.Invalid, "reservation for %d tasks exceeds the limit of %d", n, job.MaxGangTasks)
	}
	indexes, err := t.handler.HandleReserve(ctx, port.Reserve{
		Partition: partition, Home: decodeHomeEpoch(call.GetHome()), Spec: spec, Indexes: call.GetIndexes(),
	})
	if err != nil {
		return nil, err
	}
	return &peerpb.Reply{Body: &peerpb.Reply_Reserved{Reserved: &peerpb.Reserved{Indexes: indexes}}}, nil
}

func encodeWorkID(id ident.WorkID) *peerpb.Task {
	return encodeTaskID(ident.TaskID{Work: id})
}

func decodeWorkID(t *peerpb.Task) ident.WorkID { return decodeTaskID(t).Work }

func encodeJobSpec(j journal.JobSpec) *peerpb.Job {
	return &peerpb.Job{
		Kind: j.Kind, Class: uint32(j.Class), Tasks: j.Tasks, Repeatable: j.Repeatable, Size: encodeResources(j.Size),
		ExpectedNs: int64(j.Expected), DeadlineUnixNs: encodeTime(j.Deadline), Retries: uint32(max(j.Retries, 0)),
		Spread: j.Spread, Weight: uint32(max(j.Weight, 0)), Payload: j.Payload,
	}
}

func decodeJobSpec(j *peerpb.Job) (journal.JobSpec, error) {
	out := journal.JobSpec{
		Kind: j.GetKind(), Class: work.Class(j.GetClass()), Tasks: j.GetTasks(), Repeatable: j.GetRepeatable(),
		Size: decodeResources(j.GetSize()), Expected: time.Duration(j.GetExpectedNs()),
		Deadline: decodeTime(j.GetDeadlineUnixNs()), Retries: int(j.GetRetries()), Spread: j.GetSpread(),
		Weight: int(j.GetWeight()), Payload: j.GetPayload(),
	}
	if j.GetClass() >= uint32(work.ClassCount) {
		return journal.JobSpec{}, fault.New(fault.Invalid, "unknown class %d", j.GetClass())
	}
	if maxTasks := job.MaxTasks(out.Class); out.Tasks < 1 || out.Tasks > maxTasks {
		return journal.JobSpec{}, fault.New(fault.Invalid, "job with %d tasks of class %s; want 1 to %d", out.Tasks, out.Class, maxTasks)
	}
	return out, out.Size.Validate("size")
}

func encodeJobStatus(s job.Status) *peerpb.JobStatus {
	out := &peerpb.JobStatus{
		Work: encodeWorkID(s.Work), Kind: s.Kind, Class: uint32(s.Class), Tasks: s.Tasks, Waiting: s.Waiting,
		Running: s.Running, Succeeded: s.Succeeded, Failed: s.Failed, Canceled: s.Canceled, Unknown: s.Unknown,
		Attempts: s.Attempts, Complete: s.Complete, Stopped: s.CancelRequested, Version: s.Version, Next: s.NextIndex,
	}
	for _, r := range s.Results {
		out.Results = append(out.Results, &peerpb.TaskResult{
			Index: r.Index, State: uint32(r.State), Output: r.Output, Message: r.Message, RunTimeNs: int64(r.RunTime),
		})
	}
	return out
}

func decodeJobStatus(s *peerpb.JobStatus) job.Status {
	out := job.Status{
		Work: decodeWorkID(s.GetWork()), Kind: s.GetKind(), Class: work.Class(s.GetClass()), Tasks: s.GetTasks(),
		Waiting: s.GetWaiting(), Running: s.GetRunning(), Succeeded: s.GetSucceeded(), Failed: s.GetFailed(),
		Canceled: s.GetCanceled(), Unknown: s.GetUnknown(), Attempts: s.GetAttempts(), Complete: s.GetComplete(),
		CancelRequested: s.GetStopped(), Version: s.GetVersion(), NextIndex: s.GetNext(),
	}
	for _, r := range s.GetResults() {
		out.Results = append(out.Results, job.TaskResult{
			Index: r.GetIndex(), State: job.State(r.GetState()), Output: r.GetOutput(), Message: r.GetMessage(),
			RunTime: time.Duration(r.GetRunTimeNs()),
		})
	}
	return out
}
