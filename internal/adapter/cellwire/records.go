// Package cellwire encodes the records of a cell in the store, and implements the calls between its processes: each process
// keeps one yamux session to the leader, with one stream per call.
package cellwire

import (
	"time"

	"google.golang.org/protobuf/proto"

	"skylarkstall/internal/adapter/cellwire/cellpb"
	"skylarkstall/internal/domain/account"
	"skylarkstall/internal/domain/fitness"
	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/pool"
	"skylarkstall/internal/domain/resource"
	"skylarkstall/internal/domain/route"
	"skylarkstall/internal/domain/workflow"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/port"
)

// RecordCodec implements port.RecordCodec with protobuf messages.
type RecordCodec struct{}

func marshal(m proto.Message) []byte {
	// Encoding fails only for missing required fields, which proto3 does not have, and for strings that are not valid
	// UTF-8, which the records must not contain.
	raw, _ := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	return raw
}

func unmarshal(raw []byte, m proto.Message, what string) error {
	return fault.WrapAs(fault.Invalid, proto.Unmarshal(raw, m), "decode the record of "+what)
}

// EncodeJob returns the record of an accepted job.
func (RecordCodec) EncodeJob(job port.AcceptedJob) []byte { return marshal(encodeJob(job)) }

// DecodeJob is the inverse of EncodeJob. It fails with Invalid.
func (RecordCodec) DecodeJob(raw []byte) (port.AcceptedJob, error) {
	m := &cellpb.Job{}
	if err := unmarshal(raw, m, "a job"); err != nil {
		return port.AcceptedJob{}, err
	}
	return decodeJob(m)
}

func encodeJob(job port.AcceptedJob) *cellpb.Job {
	spec := job.Spec
	m := &cellpb.Job{
		Id: string(spec.ID), Queue: encodeQueue(job.Queue), Payload: spec.Payload, Occurrences: int32(spec.Occurrences),
		PeriodMs: spec.Period.Milliseconds(), AcceptedAtMs: job.AcceptedAt.UnixMilli(),
		Account: string(job.Account), Excess: job.Excess,
	}
	if spec.Occurrences > 0 {
		m.FirstAtMs = spec.FirstAt.UnixMilli()
	}
	for i := range spec.Steps {
		m.Steps = append(m.Steps, encodeStep(&spec.Steps[i]))
	}
	return m
}

func encodeQueue(q route.Queue) *cellpb.Queue {
	m := &cellpb.Queue{
		Name: q.Name, Host: q.Host, Prefix: q.Prefix, Service: q.Service, Priority: int32(q.Priority), MaxAttempts: int32(q.MaxAttempts),
		Public: q.Public, Stretch: q.Objective.Stretch, SlackMs: q.Objective.Slack.Milliseconds(),
	}
	if q.PermitPolicy != nil {
		m.Advised, m.DecisionUs = true, q.PermitPolicy.CallLatency.Microseconds()
		m.PerWorkerUs, m.ValidMs = q.PermitPolicy.WorkerLatency.Microseconds(), q.PermitPolicy.TicketTTL.Milliseconds()
	}
	return m
}

func encodeStep(s *workflow.Step) *cellpb.Step {
	m := &cellpb.Step{
		Count: int32(s.Count), MilliCores: s.Size.MilliCores, MemoryBytes: s.Size.MemoryBytes,
		Accelerators: s.Size.Accelerators, EstimateMs: s.Estimate.Milliseconds(), Gang: s.Gang, SameRack: s.SameRack,
		Checkpointing: s.Checkpointing, Speculative: s.Speculative, LongRunning: s.LongRunning, Fills: s.BestEffort,
		RequiredLabel: s.RequiredLabel, DataRack: s.DataRack, MaxPerWorker: int32(s.MaxPerWorker), Image: s.Image,
		TargetMs: s.LatencyTarget.Milliseconds(), MayMiss: int32(s.MaxUnavailable),
	}
	for _, dependency := range s.DependsOn {
		m.After = append(m.After, int32(dependency))
	}
	return m
}

func decodeJob(m *cellpb.Job) (port.AcceptedJob, error) {
	acceptedAt := time.UnixMilli(m.GetAcceptedAtMs())
	if len(m.GetSteps()) == 0 {
		tombstone := port.NewTombstone(workflow.ID(m.GetId()), acceptedAt)
		return tombstone, tombstone.Spec.ID.Validate()
	}
	spec := workflow.Spec{
		ID: workflow.ID(m.GetId()), Queue: m.GetQueue().GetName(), Payload: m.GetPayload(),
		Occurrences: int(m.GetOccurrences()), Period: millis(m.GetPeriodMs()),
	}
	if spec.Occurrences > 0 {
		spec.FirstAt = time.UnixMilli(m.GetFirstAtMs())
	}
	for _, step := range m.GetSteps() {
		spec.Steps = append(spec.Steps, decodeStep(step))
	}
	job := port.AcceptedJob{
		Spec: spec, Queue: decodeQueue(m.GetQueue()), Account: account.ID(m.GetAccount()), Excess: m.GetExcess(), AcceptedAt: acceptedAt,
	}
	return job, spec.Validate()
}

func millis(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

func decodeQueue(m *cellpb.Queue) route.Queue {
	q := route.Queue{
		Name: m.GetName(), Host: m.GetHost(), Prefix: m.GetPrefix(), Service: m.GetService(), Priority: int(m.GetPriority()),
		MaxAttempts: int(m.GetMaxAttempts()), Public: m.GetPublic(),
		Objective: route.Objective{Stretch: m.GetStretch(), Slack: millis(m.GetSlackMs())},
	}
	if m.GetAdvised() {
		q.PermitPolicy = &route.PermitPolicy{
			CallLatency:   time.Duration(m.GetDecisionUs()) * time.Microsecond,
			WorkerLatency: time.Duration(m.GetPerWorkerUs()) * time.Microsecond, TicketTTL: millis(m.GetValidMs()),
		}
	}
	return q
}

func decodeStep(m *cellpb.Step) workflow.Step {
	s := workflow.Step{
		Count: int(m.GetCount()),
		Size: resource.Vector{
			MilliCores: m.GetMilliCores(), MemoryBytes: m.GetMemoryBytes(), Accelerators: m.GetAccelerators(),
		},
		Estimate: millis(m.GetEstimateMs()), Gang: m.GetGang(), SameRack: m.GetSameRack(),
		Checkpointing: m.GetCheckpointing(), Speculative: m.GetSpeculative(), LongRunning: m.GetLongRunning(),
		BestEffort: m.GetFills(), RequiredLabel: m.GetRequiredLabel(), DataRack: m.GetDataRack(),
		MaxPerWorker: int(m.GetMaxPerWorker()), Image: m.GetImage(), LatencyTarget: millis(m.GetTargetMs()),
		MaxUnavailable: int(m.GetMayMiss()),
	}
	for _, dependency := range m.GetAfter() {
		s.DependsOn = append(s.DependsOn, int(dependency))
	}
	return s
}

// EncodeProgress returns the record of a job's progress.
func (RecordCodec) EncodeProgress(p workflow.Progress) []byte {
	m := &cellpb.Progress{State: uint32(p.State)}
	for _, step := range p.Steps {
		s := &cellpb.StepProgress{
			Occurrence: int32(step.Occurrence), Step: int32(step.Step), Failed: encodeRuns(step.Failed),
		}
		for _, t := range step.Tasks {
			s.Tasks = append(s.Tasks, &cellpb.TaskProgress{
				Index: int32(t.Index), Done: t.Done, Failed: encodeRuns(t.Failed), Crashed: encodeRuns(t.Crashed),
				InDoubt: encodeRuns(t.InDoubt), Checkpoint: t.Checkpoint,
			})
		}
		m.Steps = append(m.Steps, s)
	}
	return marshal(m)
}

// DecodeProgress is the inverse of EncodeProgress. It fails with Invalid.
func (RecordCodec) DecodeProgress(raw []byte) (workflow.Progress, error) {
	m := &cellpb.Progress{}
	if err := unmarshal(raw, m, "progress"); err != nil {
		return workflow.Progress{}, err
	}
	if m.GetState() > uint32(workflow.Cancelled) {
		return workflow.Progress{}, fault.New(fault.Invalid, "record of progress: unknown state %d", m.GetState())
	}
	p := workflow.Progress{State: workflow.State(m.GetState())}
	for _, step := range m.GetSteps() {
		s := workflow.StepProgress{
			Occurrence: int(step.GetOccurrence()), Step: int(step.GetStep()), Failed: decodeRuns(step.GetFailed()),
		}
		for _, t := range step.GetTasks() {
			s.Tasks = append(s.Tasks, workflow.TaskProgress{
				Index: int(t.GetIndex()), Done: t.GetDone(), Failed: decodeRuns(t.GetFailed()),
				Crashed: decodeRuns(t.GetCrashed()), InDoubt: decodeRuns(t.GetInDoubt()),
				Checkpoint: t.GetCheckpoint(),
			})
		}
		p.Steps = append(p.Steps, s)
	}
	return p, nil
}

func encodeRuns(runs []workflow.RunNumber) []uint64 {
	var numbers []uint64
	for _, run := range runs {
		numbers = append(numbers, uint64(run))
	}
	return numbers
}

func decodeRuns(numbers []uint64) []workflow.RunNumber {
	var runs []workflow.RunNumber
	for _, n := range numbers {
		runs = append(runs, workflow.RunNumber(n))
	}
	return runs
}

// EncodeFinished returns the record of a finished job.
func (RecordCodec) EncodeFinished(job port.FinishedJob) []byte {
	q := job.Queue
	return marshal(&cellpb.FinishedJob{Queue: q.Name, Host: q.Host, Prefix: q.Prefix, Account: string(job.Account), State: uint32(job.State)})
}

// DecodeFinished is the inverse of EncodeFinished. It fails with Invalid, also if the state is not final.
func (RecordCodec) DecodeFinished(raw []byte) (port.FinishedJob, error) {
	m := &cellpb.FinishedJob{}
	if err := unmarshal(raw, m, "a finished job"); err != nil {
		return port.FinishedJob{}, err
	}
	if m.GetState() > uint32(workflow.Cancelled) || !workflow.State(m.GetState()).Final() {
		return port.FinishedJob{}, fault.New(fault.Invalid, "record of a finished job: state %d", m.GetState())
	}
	return port.FinishedJob{Queue: decodeQueueRef(m), Account: account.ID(m.GetAccount()), State: workflow.State(m.GetState())}, nil
}

// EncodeLeader returns the record of the leader.
func (RecordCodec) EncodeLeader(l port.Leader) []byte {
	return marshal(encodeLeader(l))
}

func encodeLeader(l port.Leader) *cellpb.Leader {
	return &cellpb.Leader{
		Process: string(l.Process), Address: l.Address, Incarnation: l.Incarnation, Term: l.Term,
		ElectionDelayMs: uint32(l.ElectionDelay.Milliseconds()), CpuMillicores: l.Share.Millicores(),
	}
}

// DecodeLeader is the inverse of EncodeLeader. It fails with Invalid.
func (RecordCodec) DecodeLeader(raw []byte) (port.Leader, error) {
	m := &cellpb.Leader{}
	if err := unmarshal(raw, m, "the leader"); err != nil {
		return port.Leader{}, err
	}
	return decodeLeader(m), nil
}

func decodeLeader(m *cellpb.Leader) port.Leader {
	return port.Leader{
		Process: ident.ProcessID(m.GetProcess()), Address: m.GetAddress(), Incarnation: m.GetIncarnation(),
		Term: m.GetTerm(), ElectionDelay: time.Duration(m.GetElectionDelayMs()) * time.Millisecond,
		Share: fitness.ShareOf(m.GetCpuMillicores()),
	}
}

// EncodeWorkers returns the record of workers.
func (RecordCodec) EncodeWorkers(workers []port.WorkerRecord) []byte {
	m := &cellpb.Workers{}
	for _, w := range workers {
		m.Workers = append(m.Workers, &cellpb.Worker{
			Id: string(w.ID), Address: w.Address, Service: w.Service, Born: w.Incarnation, Closed: w.Cordoned,
			ClosedAt: uint64(w.CordonedAt), Fenced: w.Fenced,
		})
	}
	return marshal(m)
}

// DecodeWorkers is the inverse of EncodeWorkers. It fails with Invalid.
func (RecordCodec) DecodeWorkers(raw []byte, revision ident.Revision) ([]port.WorkerRecord, error) {
	m := &cellpb.Workers{}
	if err := unmarshal(raw, m, "the workers"); err != nil {
		return nil, err
	}
	var workers []port.WorkerRecord
	for _, w := range m.GetWorkers() {
		record := port.WorkerRecord{
			WorkerInfo: pool.WorkerInfo{
				ID: ident.WorkerID(w.GetId()), Address: w.GetAddress(), Service: w.GetService(), Incarnation: w.GetBorn(),
			},
			Cordoned: w.GetClosed(), CordonedAt: ident.Revision(w.GetClosedAt()), Fenced: w.GetFenced(),
		}
		if record.Cordoned && record.CordonedAt == 0 {
			record.CordonedAt = revision
		}
		workers = append(workers, record)
	}
	return workers, nil
}
