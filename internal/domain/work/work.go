// Package work defines the value types that describe a task, its attempts and outcomes, and the messages between an
// owner and a worker.
package work

import (
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/resource"
	"skylarkstall/internal/fault"
)

// Class is the scheduling class of work. A lower class is more urgent.
type Class uint8

// Classes, most urgent first.
const (
	Request  Class = iota // short; the caller waits for the result
	Gang                  // all tasks start together
	Batch                 // many independent tasks
	Standing              // long-running, for example for a work shift or a season
	ClassCount
)

var classNames = [ClassCount]string{"request", "gang", "batch", "standing"}

// String returns the name of the class as used in documents.
func (c Class) String() string {
	if c >= ClassCount {
		return "unknown"
	}
	return classNames[c]
}

// ParseClass is the inverse of Class.String. It fails with Invalid.
func ParseClass(name string) (Class, error) {
	for i, n := range classNames {
		if n == name {
			return Class(i), nil
		}
	}
	return 0, fault.New(fault.Invalid, "class %q: want request, gang, batch or standing", name)
}

// Spec describes one attempt of a task to the process that assigns it to a worker.
type Spec struct {
	ID         ident.TaskID
	Attempt    ident.Attempt
	Kind       string // kind of work in the team's document
	Class      Class
	Repeatable bool
	Size       resource.Vector
	Expected   time.Duration // declared run time; zero when unknown
	Deadline   time.Time     // latest start of batch, gang and standing work; latest response to a request
	Payload    []byte
	Weight     int             // weight of the team, at least 1
	Quota      resource.Vector // share of the team's quota for the owning process; zero for none; not sent to peers
}

// Outcome is the result of one attempt.
type Outcome struct {
	Task    ident.TaskID
	Attempt ident.Attempt
	OK      bool
	Output  []byte
	Message string // reason for a failure; empty when OK
	RunTime time.Duration
}

// Messages of outcomes for attempts that the worker itself stopped.
const (
	StoppedMessage      = "stopped on request"
	LeaseExpiredMessage = "stopped: no process renewed the control lease"
)

// EvictedMessage is the message of an outcome for an attempt that the owner stopped because the worker drains or
// because the task exceeded its size while the worker was full.
const EvictedMessage = "stopped: its worker was needed or is leaving"

// ID returns the id of the attempt.
func (o Outcome) ID() AttemptID { return AttemptID{o.Task, o.Attempt} }

// Evicted reports whether the scheduler or the worker stopped the attempt, rather than the task itself or its caller. A
// repeatable task may be started again.
func (o Outcome) Evicted() bool {
	return !o.OK && (o.Message == EvictedMessage || o.Message == LeaseExpiredMessage)
}

// RunningAttempt is a running attempt in a worker's inventory.
type RunningAttempt struct {
	Task       ident.TaskID
	Attempt    ident.Attempt
	Kind       string
	Class      Class
	Size       resource.Vector
	RunningFor time.Duration // time since the start
}

// Usage is the resource usage that a worker measured for a running task. It lags behind the actual usage.
type Usage struct {
	Task ident.TaskID
	Used resource.Vector
}

// ClaimRequest asks a worker for its control lease.
type ClaimRequest struct {
	Process   ident.ProcessID
	Epoch     ident.Epoch
	Supersede bool          // the current holder counts as dead in the membership view
	Lease     time.Duration // control lease
	TaskLease time.Duration // tasks are stopped when no process has renewed the control lease for this long
}

// Inventory is a worker's reply to a claim. The reply to a rejected claim contains only the epoch and the holder.
type Inventory struct {
	Epoch       ident.Epoch
	Holder      ident.ProcessID // holder of the control lease; empty when there is none
	Capacity    resource.Vector
	Zone        ident.Zone
	Rack        ident.Rack
	Running     []RunningAttempt
	Outcomes    []Outcome // of finished attempts, not yet acknowledged
	LastOutcome uint64    // sequence number of the last of Outcomes
	Draining    bool
}

// AttemptID identifies one attempt of a task.
type AttemptID struct {
	Task    ident.TaskID
	Attempt ident.Attempt
}

// SyncRequest renews the control lease of a worker, acknowledges outcomes and asks for new ones.
type SyncRequest struct {
	Epoch        ident.Epoch
	AfterOutcome uint64        // sequence number of the last outcome received; 0 for none
	Acknowledge  []AttemptID   // outcomes that the worker may drop
	MaxWait      time.Duration // maximum time to wait for an outcome
}

// SyncReply is the response to a SyncRequest.
type SyncReply struct {
	Outcomes    []Outcome
	LastOutcome uint64 // sequence number of the last outcome returned
	Draining    bool
	Usage       []Usage
}

// StartRequest asks a worker to start one attempt of a task.
type StartRequest struct {
	Epoch   ident.Epoch
	Task    ident.TaskID
	Attempt ident.Attempt
	Kind    string
	Class   Class
	Size    resource.Vector
	TTL     time.Duration // the worker rejects the start when more than this has passed since it was sent
	Payload []byte
}
