package cellwire

import (
	"context"
	"time"

	"skylarkstall/internal/adapter/cellwire/cellpb"
	"skylarkstall/internal/domain/account"
	"skylarkstall/internal/domain/admission"
	"skylarkstall/internal/domain/resource"
	"skylarkstall/internal/domain/workflow"
)

// Admit implements port.Scheduler. It forwards the request to the leader.
func (t *Transport) Admit(ctx context.Context, r admission.Request) (admission.Verdict, error) {
	reply, err := t.callLeader(ctx, &cellpb.Call{Body: &cellpb.Call_Admit{Admit: encodeAdmit(r)}})
	if err != nil {
		return admission.Verdict{}, err
	}
	return decodeVerdict(reply.GetVerdict()), nil
}

func encodeAdmit(r admission.Request) *cellpb.Admit {
	return &cellpb.Admit{
		Job: string(r.Job), Account: string(r.Account), Service: r.Level.Service, Priority: int32(r.Level.Priority),
		Queue: r.Queue, ChainMs: r.Chain.Estimate.Milliseconds(), ChainTasks: int32(r.Chain.Tasks), Record: r.Record,
		Count: int32(r.Count), MilliCores: r.Size.MilliCores, MemoryBytes: r.Size.MemoryBytes, Accelerators: r.Size.Accelerators,
	}
}

func decodeAdmit(m *cellpb.Admit) admission.Request {
	return admission.Request{
		Job: workflow.ID(m.GetJob()), Account: account.ID(m.GetAccount()),
		Level: admission.Level{Service: m.GetService(), Priority: int(m.GetPriority())},
		Queue: m.GetQueue(), Chain: admission.Chain{Estimate: millis(m.GetChainMs()), Tasks: int(m.GetChainTasks())}, Record: m.GetRecord(),
		Count: int(m.GetCount()),
		Size:  resource.Vector{MilliCores: m.GetMilliCores(), MemoryBytes: m.GetMemoryBytes(), Accelerators: m.GetAccelerators()},
	}
}

func encodeVerdict(v admission.Verdict) *cellpb.Verdict {
	return &cellpb.Verdict{
		Reason: string(v.Reason), RetryAfterMs: v.RetryAfter.Milliseconds(), Excess: v.Excess, Rate: v.Rate, Share: v.Share,
		WaitMs: v.Wait.Milliseconds(),
	}
}

func decodeVerdict(m *cellpb.Verdict) admission.Verdict {
	return admission.Verdict{
		Reason: admission.Reason(m.GetReason()), RetryAfter: millis(m.GetRetryAfterMs()), Excess: m.GetExcess(), Rate: m.GetRate(),
		Share: m.GetShare(), Wait: millis(m.GetWaitMs()),
	}
}

// millionths is the unit of a part in messages.
const millionths = 1_000_000

// encodeRoom returns nil if there is room for everything.
func encodeRoom(s admission.Statement) *cellpb.Room {
	if s.IsZero() {
		return nil
	}
	m := &cellpb.Room{}
	for _, l := range s.Levels {
		m.Levels = append(m.Levels, &cellpb.LevelRoom{
			Service: l.Service, Priority: int32(l.Priority), WaitMs: l.Wait.Milliseconds(), RefusesExcess: l.RefusesExcess,
			RefusedMillionths: uint32(l.Shedding.Refused * millionths), StartWaitMs: l.Shedding.Wait.Milliseconds(),
		})
	}
	for _, id := range s.Refused {
		m.Refused = append(m.Refused, string(id))
	}
	return m
}

func decodeRoom(m *cellpb.Room) admission.Statement {
	var s admission.Statement
	for _, l := range m.GetLevels() {
		s.Levels = append(s.Levels, admission.LevelState{
			Level: admission.Level{Service: l.GetService(), Priority: int(l.GetPriority())}, Wait: millis(l.GetWaitMs()),
			RefusesExcess: l.GetRefusesExcess(),
			Shedding: admission.Shedding{
				Refused: float64(min(l.GetRefusedMillionths(), millionths)) / millionths, Wait: millis(l.GetStartWaitMs()),
			},
		})
	}
	for _, id := range m.GetRefused() {
		s.Refused = append(s.Refused, account.ID(id))
	}
	return s
}

// observeRoom passes on what the leader has stated in the reply to a ping that was sent at the given time.
func (t *Transport) observeRoom(reply pingReply, sent time.Time) {
	if reply.GetLeads() {
		t.handler.ObserveRoom(decodeRoom(reply.GetRoom()), sent)
	}
}
