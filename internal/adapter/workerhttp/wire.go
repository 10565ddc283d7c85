// Package workerhttp implements the worker protocol, JSON requests over one HTTP/2 connection for each worker: the
// message types for both sides and the client.
package workerhttp

import (
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/resource"
	"skylarkstall/internal/domain/work"
	"skylarkstall/internal/fault"
)

// Paths of the worker protocol; every request is a POST.
const (
	PathClaim      = "/v1/claim"
	PathSync       = "/v1/sync"
	PathRelease    = "/v1/release"
	PathStart      = "/v1/start"
	PathStop       = "/v1/stop"
	PathCheckpoint = "/v1/checkpoint"
	PathThrottle   = "/v1/throttle"
)

// ClaimRequest is the body of a claim request.
type ClaimRequest struct {
	Process     string `json:"process"`
	Epoch       uint64 `json:"epoch"`
	Supersede   bool   `json:"supersede,omitempty"`
	LeaseMS     int64  `json:"lease_ms"`
	TaskLeaseMS int64  `json:"task_lease_ms"`
}

// Decode converts the request to the domain type.
func (r ClaimRequest) Decode() work.ClaimRequest {
	return work.ClaimRequest{
		Process: ident.ProcessID(r.Process), Epoch: ident.Epoch(r.Epoch), Supersede: r.Supersede,
		Lease: fromMillis(r.LeaseMS), TaskLease: fromMillis(r.TaskLeaseMS),
	}
}

// Inventory is the response to a claim. The response to a refused claim holds only the epoch and the current holder,
// beside the error.
type Inventory struct {
	Epoch       uint64           `json:"epoch"`
	Holder      string           `json:"holder,omitempty"`
	Capacity    resource.Vector  `json:"capacity"`
	Zone        string           `json:"zone,omitempty"`
	Rack        string           `json:"rack,omitempty"`
	Running     []RunningAttempt `json:"running,omitempty"`
	Outcomes    []Outcome        `json:"outcomes,omitempty"`
	LastOutcome uint64           `json:"last,omitempty"` // sequence number of the last outcome
	Draining    bool             `json:"draining,omitempty"`
}

// RunningAttempt is an attempt that runs on the worker.
type RunningAttempt struct {
	Task         string          `json:"task"`
	Attempt      uint64          `json:"attempt"`
	Kind         string          `json:"kind"`
	Class        string          `json:"class"`
	Size         resource.Vector `json:"size"`
	RunningForMS int64           `json:"started_ms"` // time since the start
}

// Outcome is the result of an ended attempt.
type Outcome struct {
	Task      string `json:"task"`
	Attempt   uint64 `json:"attempt"`
	OK        bool   `json:"ok,omitempty"`
	Output    []byte `json:"output,omitempty"`
	Message   string `json:"message,omitempty"`
	RunTimeMS int64  `json:"run_ms"`
}

// SyncRequest is the body of a sync request.
type SyncRequest struct {
	Epoch        uint64      `json:"e"`
	AfterOutcome uint64      `json:"a,omitempty"` // sequence number of the last outcome received
	Acknowledge  []AttemptID `json:"k,omitempty"` // the worker may drop the outcomes of these attempts
	MaxWaitMS    int64       `json:"w,omitempty"`
}

// AttemptID identifies an attempt of a task.
type AttemptID struct {
	Task    string `json:"t"`
	Attempt uint64 `json:"a"`
}

// SyncReply is the response to a sync.
type SyncReply struct {
	Outcomes    []Outcome `json:"o,omitempty"`
	LastOutcome uint64    `json:"l,omitempty"` // sequence number of the last outcome
	Draining    bool      `json:"d,omitempty"`
	Usage       []Usage   `json:"u,omitempty"`
}

// Usage is the measured resource usage of a task.
type Usage struct {
	Task string          `json:"task"`
	Used resource.Vector `json:"used"`
}

// StartRequest is the body of a start request.
type StartRequest struct {
	Epoch   uint64          `json:"epoch"`
	Task    string          `json:"task"`
	Attempt uint64          `json:"attempt"`
	Kind    string          `json:"kind"`
	Class   string          `json:"class"`
	Size    resource.Vector `json:"size"`
	SentMS  int64           `json:"sent_ms"`   // Unix milliseconds
	TTLMS   int64           `json:"expiry_ms"` // validity, counted from SentMS
	Payload []byte          `json:"payload,omitempty"`
}

// Decode converts the request to the domain type and returns the time when it was sent.
func (r StartRequest) Decode() (work.StartRequest, time.Time, error) {
	task, err := ident.ParseTaskID(r.Task)
	if err != nil {
		return work.StartRequest{}, time.Time{}, err
	}
	class, err := work.ParseClass(r.Class)
	if err != nil {
		return work.StartRequest{}, time.Time{}, err
	}
	if err := r.Size.Validate("size"); err != nil {
		return work.StartRequest{}, time.Time{}, err
	}
	return work.StartRequest{
		Epoch: ident.Epoch(r.Epoch), Task: task, Attempt: ident.Attempt(r.Attempt), Kind: r.Kind, Class: class,
		Size: r.Size, TTL: fromMillis(r.TTLMS), Payload: r.Payload,
	}, time.UnixMilli(r.SentMS), nil
}

// TaskRequest is the body of a stop, checkpoint or throttle request.
type TaskRequest struct {
	Epoch uint64          `json:"epoch"`
	Task  string          `json:"task"`
	Limit resource.Vector `json:"limit"` // throttle only
}

// TaskID returns the task id. It fails with Invalid if the id is malformed.
func (r TaskRequest) TaskID() (ident.TaskID, error) { return ident.ParseTaskID(r.Task) }

// ReleaseRequest is the body of a release request.
type ReleaseRequest struct {
	Epoch uint64 `json:"epoch"`
}

// CheckpointReply is the response to a checkpoint request.
type CheckpointReply struct {
	Checkpoint []byte `json:"saved"`
}

func fromMillis(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// EncodeInventory converts an inventory to its wire format.
func EncodeInventory(inv work.Inventory) Inventory {
	out := Inventory{
		Epoch: uint64(inv.Epoch), Holder: string(inv.Holder), Capacity: inv.Capacity, Zone: string(inv.Zone), Rack: string(inv.Rack),
		Draining: inv.Draining, Outcomes: encodeOutcomes(inv.Outcomes), LastOutcome: inv.LastOutcome,
	}
	for _, r := range inv.Running {
		out.Running = append(out.Running, RunningAttempt{
			Task: r.Task.String(), Attempt: uint64(r.Attempt), Kind: r.Kind, Class: r.Class.String(), Size: r.Size,
			RunningForMS: r.RunningFor.Milliseconds(),
		})
	}
	return out
}

func decodeInventory(in Inventory) (work.Inventory, error) {
	outcomes, err := decodeOutcomes(in.Outcomes)
	if err != nil {
		return work.Inventory{}, err
	}
	inv := work.Inventory{
		Epoch: ident.Epoch(in.Epoch), Holder: ident.ProcessID(in.Holder), Capacity: in.Capacity,
		Zone: ident.Zone(in.Zone), Rack: ident.Rack(in.Rack), Draining: in.Draining, Outcomes: outcomes,
		LastOutcome: in.LastOutcome,
	}
	for _, r := range in.Running {
		task, err := ident.ParseTaskID(r.Task)
		if err != nil {
			return work.Inventory{}, err
		}
		class, err := work.ParseClass(r.Class)
		if err != nil {
			return work.Inventory{}, err
		}
		inv.Running = append(inv.Running, work.RunningAttempt{
			Task: task, Attempt: ident.Attempt(r.Attempt), Kind: r.Kind, Class: class, Size: r.Size,
			RunningFor: fromMillis(r.RunningForMS),
		})
	}
	return inv, nil
}

func encodeOutcomes(outcomes []work.Outcome) []Outcome {
	var out []Outcome
	for _, o := range outcomes {
		out = append(out, Outcome{
			Task: o.Task.String(), Attempt: uint64(o.Attempt), OK: o.OK, Output: o.Output, Message: o.Message,
			RunTimeMS: o.RunTime.Milliseconds(),
		})
	}
	return out
}

func decodeOutcomes(outcomes []Outcome) ([]work.Outcome, error) {
	var out []work.Outcome
	for _, o := range outcomes {
		task, err := ident.ParseTaskID(o.Task)
		if err != nil {
			return nil, err
		}
		out = append(out, work.Outcome{
			Task: task, Attempt: ident.Attempt(o.Attempt), OK: o.OK, Output: o.Output, Message: o.Message,
			RunTime: fromMillis(o.RunTimeMS),
		})
	}
	return out, nil
}

// EncodeSyncReply converts a sync reply to its wire format.
func EncodeSyncReply(reply work.SyncReply) SyncReply {
	out := SyncReply{Outcomes: encodeOutcomes(reply.Outcomes), LastOutcome: reply.LastOutcome, Draining: reply.Draining}
	for _, u := range reply.Usage {
		out.Usage = append(out.Usage, Usage{Task: u.Task.String(), Used: u.Used})
	}
	return out
}

func decodeSyncReply(in SyncReply) (work.SyncReply, error) {
	outcomes, err := decodeOutcomes(in.Outcomes)
	if err != nil {
		return work.SyncReply{}, err
	}
	reply := work.SyncReply{Outcomes: outcomes, LastOutcome: in.LastOutcome, Draining: in.Draining}
	for _, u := range in.Usage {
		task, err := ident.ParseTaskID(u.Task)
		if err != nil {
			return work.SyncReply{}, err
		}
		reply.Usage = append(reply.Usage, work.Usage{Task: task, Used: u.Used})
	}
	return reply, nil
}

// Decode converts the request to the domain type. It fails with Invalid if a task id is malformed.
func (r SyncRequest) Decode() (work.SyncRequest, error) {
	sync := work.SyncRequest{Epoch: ident.Epoch(r.Epoch), AfterOutcome: r.AfterOutcome, MaxWait: fromMillis(r.MaxWaitMS)}
	for _, a := range r.Acknowledge {
		task, err := ident.ParseTaskID(a.Task)
		if err != nil {
			return work.SyncRequest{}, fault.Wrap(err, "acknowledged attempt")
		}
		sync.Acknowledge = append(sync.Acknowledge, work.AttemptID{Task: task, Attempt: ident.Attempt(a.Attempt)})
	}
	return sync, nil
}
