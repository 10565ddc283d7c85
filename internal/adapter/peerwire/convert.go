package peerwire

import (
	"time"

	"skylarkstall/internal/adapter/peerwire/peerpb"
	"skylarkstall/internal/domain/fleet"
	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/membership"
	"skylarkstall/internal/domain/resource"
	"skylarkstall/internal/domain/timeline"
	"skylarkstall/internal/domain/work"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/port"
)

// decodeFaultKind returns Internal for a kind that is unknown to this version.
func decodeFaultKind(number uint32) fault.Kind {
	if number >= uint32(len(fault.Kinds())) {
		return fault.Internal
	}
	return fault.Kind(number)
}

func encodeTimestamp(s timeline.Timestamp) *peerpb.Stamp {
	return &peerpb.Stamp{Wall: s.Wall, Logical: s.Logical}
}

func decodeTimestamp(s *peerpb.Stamp) timeline.Timestamp {
	return timeline.Timestamp{Wall: s.GetWall(), Logical: s.GetLogical()}
}

func encodeResources(v resource.Vector) *peerpb.Resources {
	return &peerpb.Resources{
		MilliCores: v.MilliCores, MemoryBytes: v.MemoryBytes, Accelerators: v.Accelerators, Slots: v.Slots,
	}
}

func decodeResources(r *peerpb.Resources) resource.Vector {
	return resource.Vector{
		MilliCores: r.GetMilliCores(), MemoryBytes: r.GetMemoryBytes(),
		Accelerators: r.GetAccelerators(), Slots: r.GetSlots(),
	}
}

func encodeTaskID(t ident.TaskID) *peerpb.Task {
	return &peerpb.Task{Team: string(t.Work.Team), Request: string(t.Work.Request), Index: t.Index}
}

func decodeTaskID(t *peerpb.Task) ident.TaskID {
	return ident.TaskID{
		Work:  ident.WorkID{Team: ident.TeamID(t.GetTeam()), Request: ident.RequestID(t.GetRequest())},
		Index: t.GetIndex(),
	}
}

func encodeTaskIDs(tasks []ident.TaskID) []*peerpb.Task {
	out := make([]*peerpb.Task, len(tasks))
	for i, t := range tasks {
		out[i] = encodeTaskID(t)
	}
	return out
}

func decodeTaskIDs(tasks []*peerpb.Task) []ident.TaskID {
	out := make([]ident.TaskID, len(tasks))
	for i, t := range tasks {
		out[i] = decodeTaskID(t)
	}
	return out
}

func encodeTime(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}

func decodeTime(ns int64) time.Time {
	if ns == 0 {
		return time.Time{}
	}
	return time.Unix(0, ns)
}

func encodeSpec(s work.Spec) *peerpb.Spec {
	return &peerpb.Spec{
		Task: encodeTaskID(s.ID), Attempt: uint64(s.Attempt), Kind: s.Kind, Class: uint32(s.Class),
		Repeatable: s.Repeatable, Size: encodeResources(s.Size), ExpectedNs: int64(s.Expected),
		DeadlineUnixNs: encodeTime(s.Deadline), Payload: s.Payload, Weight: uint32(max(s.Weight, 0)),
	}
}

func decodeSpec(s *peerpb.Spec) (work.Spec, error) {
	spec := work.Spec{
		ID: decodeTaskID(s.GetTask()), Attempt: ident.Attempt(s.GetAttempt()), Kind: s.GetKind(),
		Class: work.Class(s.GetClass()), Repeatable: s.GetRepeatable(), Size: decodeResources(s.GetSize()),
		Expected: time.Duration(s.GetExpectedNs()), Deadline: decodeTime(s.GetDeadlineUnixNs()),
		Payload: s.GetPayload(), Weight: int(s.GetWeight()),
	}
	return spec, validateSpec(spec, s.GetClass())
}

// validateSpec rejects a spec that no process of this version sends.
func validateSpec(spec work.Spec, class uint32) error {
	if err := validateWorkID(spec.ID.Work); err != nil {
		return err
	}
	if class >= uint32(work.ClassCount) {
		return fault.New(fault.Invalid, "unknown class %d", class)
	}
	return spec.Size.Validate("size")
}

func validateWorkID(id ident.WorkID) error {
	if err := ident.Validate("team", string(id.Team)); err != nil {
		return err
	}
	return ident.Validate("request_id", string(id.Request))
}

func encodeOutcome(o work.Outcome) *peerpb.Outcome {
	return &peerpb.Outcome{
		Task: encodeTaskID(o.Task), Attempt: uint64(o.Attempt), Ok: o.OK, Output: o.Output, Message: o.Message,
		RunTimeNs: int64(o.RunTime),
	}
}

func decodeOutcome(o *peerpb.Outcome) work.Outcome {
	return work.Outcome{
		Task: decodeTaskID(o.GetTask()), Attempt: ident.Attempt(o.GetAttempt()), OK: o.GetOk(), Output: o.GetOutput(),
		Message: o.GetMessage(), RunTime: time.Duration(o.GetRunTimeNs()),
	}
}

func encodeHomeEpoch(h ident.HomeEpoch) *peerpb.HomeEpoch {
	return &peerpb.HomeEpoch{Counter: h.Counter, Process: string(h.Process)}
}

func decodeHomeEpoch(h *peerpb.HomeEpoch) ident.HomeEpoch {
	return ident.HomeEpoch{Counter: h.GetCounter(), Process: ident.ProcessID(h.GetProcess())}
}

func decodePartition(p uint32) (ident.PartitionID, error) {
	if p >= ident.PartitionCount {
		return 0, fault.New(fault.Invalid, "partition %d out of range: there are %d partitions", p, ident.PartitionCount)
	}
	return ident.PartitionID(p), nil
}

func encodeHeldAttempts(tasks []port.HeldAttempt) []*peerpb.HeldTask {
	out := make([]*peerpb.HeldTask, len(tasks))
	for i, t := range tasks {
		out[i] = &peerpb.HeldTask{Task: encodeTaskID(t.Task), Attempt: uint64(t.Attempt), Worker: string(t.Worker)}
	}
	return out
}

func decodeHeldAttempts(tasks []*peerpb.HeldTask) []port.HeldAttempt {
	out := make([]port.HeldAttempt, len(tasks))
	for i, t := range tasks {
		out[i] = port.HeldAttempt{
			Task: decodeTaskID(t.GetTask()), Attempt: ident.Attempt(t.GetAttempt()),
			Worker: ident.WorkerID(t.GetWorker()),
		}
	}
	return out
}

func encodeTakeHomeReply(h port.TakeHomeReply) *peerpb.Held {
	return &peerpb.Held{
		Highest: encodeHomeEpoch(h.HighestEpoch), Tasks: encodeHeldAttempts(h.Tasks),
		Workers: encodeWorkerIDs(h.Workers), Unreachable: encodeWorkerIDs(h.Unreachable),
	}
}

func decodeTakeHomeReply(h *peerpb.Held) port.TakeHomeReply {
	return port.TakeHomeReply{
		HighestEpoch: decodeHomeEpoch(h.GetHighest()), Tasks: decodeHeldAttempts(h.GetTasks()),
		Workers: decodeWorkerIDs(h.GetWorkers()), Unreachable: decodeWorkerIDs(h.GetUnreachable()),
	}
}

func encodeWorkerIDs(ids []ident.WorkerID) []string {
	out := make([]string, len(ids))
	for i, id := range ids {
		out[i] = string(id)
	}
	return out
}

func decodeWorkerIDs(ids []string) []ident.WorkerID {
	out := make([]ident.WorkerID, len(ids))
	for i, id := range ids {
		out[i] = ident.WorkerID(id)
	}
	return out
}

func encodeReport(r port.AttemptReport) *peerpb.Report {
	out := &peerpb.Report{Process: string(r.Process), Running: encodeHeldAttempts(r.Running)}
	for _, o := range r.Ended {
		out.Ended = append(out.Ended, encodeOutcome(o))
	}
	return out
}

func decodeReport(r *peerpb.Report) port.AttemptReport {
	out := port.AttemptReport{Process: ident.ProcessID(r.GetProcess()), Running: decodeHeldAttempts(r.GetRunning())}
	for _, o := range r.GetEnded() {
		out.Ended = append(out.Ended, decodeOutcome(o))
	}
	return out
}

func encodePeer(p membership.Peer) *peerpb.Peer {
	return &peerpb.Peer{
		Id: string(p.ID), Zone: string(p.Zone), Incarnation: p.Incarnation, Draining: p.Draining,
		Revision: uint64(p.Revision),
	}
}

func decodePeer(p *peerpb.Peer) membership.Peer {
	return membership.Peer{
		ID: ident.ProcessID(p.GetId()), Zone: ident.Zone(p.GetZone()), Incarnation: p.GetIncarnation(),
		Draining: p.GetDraining(), Revision: ident.Revision(p.GetRevision()),
	}
}

func encodeHeartbeat(h port.Heartbeat) *peerpb.Heartbeat {
	d := &peerpb.Digest{
		Free: encodeResources(h.Digest.Free), Capacity: encodeResources(h.Digest.Capacity),
		LargestFit: encodeResources(h.Digest.LargestFree),
	}
	for class := range h.Digest.Queued {
		d.Queued = append(d.Queued, uint32(h.Digest.Queued[class]))
		d.OldestNs = append(d.OldestNs, int64(h.Digest.OldestWait[class]))
	}
	for _, shape := range h.Digest.Shapes {
		d.Shapes = append(d.Shapes, &peerpb.Shape{Capacity: encodeResources(shape.Capacity), Count: uint32(shape.Count)})
	}
	return &peerpb.Heartbeat{Peer: encodePeer(h.Peer), Digest: d}
}

func decodeHeartbeat(h *peerpb.Heartbeat) port.Heartbeat {
	d := h.GetDigest()
	out := port.Heartbeat{Peer: decodePeer(h.GetPeer()), Digest: fleet.Digest{
		Free: decodeResources(d.GetFree()), Capacity: decodeResources(d.GetCapacity()),
		LargestFree: decodeResources(d.GetLargestFit()),
	}}
	for class := range out.Digest.Queued {
		if class < len(d.GetQueued()) && class < len(d.GetOldestNs()) {
			out.Digest.Queued[class] = int(d.GetQueued()[class])
			out.Digest.OldestWait[class] = time.Duration(d.GetOldestNs()[class])
		}
	}
	for _, shape := range d.GetShapes()[:min(len(d.GetShapes()), fleet.MaxShapes)] {
		out.Digest.Shapes = append(out.Digest.Shapes, fleet.Shape{
			Capacity: decodeResources(shape.GetCapacity()), Count: int(shape.GetCount()),
		})
	}
	return out
}

func encodeDocuments(page port.DocumentPage) *peerpb.Documents {
	out := &peerpb.Documents{
		Revision: uint64(page.Revision), Names: page.Names, Complete: page.Complete,
	}
	for _, d := range page.Documents {
		out.Documents = append(out.Documents, &peerpb.Document{
			Key: d.Name, Source: d.Source, Revision: uint64(d.Revision), Deleted: d.Deleted,
		})
	}
	return out
}

func decodeDocuments(page *peerpb.Documents) port.DocumentPage {
	out := port.DocumentPage{
		Revision: ident.Revision(page.GetRevision()), Names: page.GetNames(), Complete: page.GetComplete(),
	}
	for _, d := range page.GetDocuments() {
		out.Documents = append(out.Documents, port.Document{
			Name: d.GetKey(), Source: d.GetSource(), Revision: ident.Revision(d.GetRevision()), Deleted: d.GetDeleted(),
		})
	}
	return out
}

func encodeFilter(f timeline.Filter) *peerpb.FetchEvents {
	return &peerpb.FetchEvents{
		Team: string(f.Work.Team), Request: string(f.Work.Request), Worker: string(f.Worker),
		SinceUnixNs: encodeTime(f.Since),
	}
}

func decodeFilter(f *peerpb.FetchEvents) timeline.Filter {
	return timeline.Filter{
		Work:   ident.WorkID{Team: ident.TeamID(f.GetTeam()), Request: ident.RequestID(f.GetRequest())},
		Worker: ident.WorkerID(f.GetWorker()), Since: decodeTime(f.GetSinceUnixNs()),
	}
}

func encodeEvents(events []timeline.Event) *peerpb.Events {
	out := &peerpb.Events{}
	for _, e := range events {
		out.Events = append(out.Events, &peerpb.Event{
			At: encodeTimestamp(e.At), Process: string(e.Process), Kind: string(e.Kind), Team: string(e.Work.Team),
			Request: string(e.Work.Request), Task: e.Task, Worker: string(e.Worker), Detail: e.Detail,
		})
	}
	return out
}

func decodeEvents(events *peerpb.Events) []timeline.Event {
	var out []timeline.Event
	for _, e := range events.GetEvents() {
		out = append(out, timeline.Event{
			At: decodeTimestamp(e.GetAt()), Process: ident.ProcessID(e.GetProcess()), Kind: timeline.Kind(e.GetKind()),
			Work: ident.WorkID{Team: ident.TeamID(e.GetTeam()), Request: ident.RequestID(e.GetRequest())},
			Task: e.GetTask(), Worker: ident.WorkerID(e.GetWorker()), Detail: e.GetDetail(),
		})
	}
	return out
}

func encodeStatus(s port.Status) *peerpb.Status {
	out := &peerpb.Status{
		Heartbeat: encodeHeartbeat(s.Heartbeat), Ready: s.Ready, StartedUnixNs: encodeTime(s.Started),
	}
	for _, p := range s.Partitions {
		out.Partitions = append(out.Partitions, uint32(p))
	}
	for _, w := range s.Workers {
		out.Workers = append(out.Workers, &peerpb.WorkerStatus{
			Row: &peerpb.Row{
				Worker: string(w.View.Worker), Zone: string(w.View.Zone), Rack: string(w.View.Rack),
				Capacity: encodeResources(w.View.Capacity), Free: encodeResources(w.View.Free),
			},
			Epoch: uint64(w.Epoch), Running: uint32(w.Running), Usable: w.Usable,
		})
	}
	return out
}

func decodeStatus(s *peerpb.Status) port.Status {
	out := port.Status{
		Heartbeat: decodeHeartbeat(s.GetHeartbeat()), Ready: s.GetReady(), Started: decodeTime(s.GetStartedUnixNs()),
	}
	for _, p := range s.GetPartitions() {
		out.Partitions = append(out.Partitions, ident.PartitionID(p))
	}
	for _, w := range s.GetWorkers() {
		view := w.GetRow()
		out.Workers = append(out.Workers, port.WorkerStatus{
			View: fleet.WorkerView{
				Worker: ident.WorkerID(view.GetWorker()), Zone: ident.Zone(view.GetZone()),
				Rack: ident.Rack(view.GetRack()), Capacity: decodeResources(view.GetCapacity()),
				Free: decodeResources(view.GetFree()),
			},
			Epoch: ident.Epoch(w.GetEpoch()), Running: int(w.GetRunning()), Usable: w.GetUsable(),
		})
	}
	return out
}
