// Package work holds the value types that describe a task to every aggregate that handles it.
package work

import (
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/resource"
	"skylarkstall/internal/fault"
)

// Class orders work by how soon it must start.
type Class uint8

// Classes, most urgent first.
const (
	Request  Class = iota // short; the caller waits
	Gang                  // all tasks at once
	Batch                 // many independent tasks
	Standing              // runs for a shift or a season
	ClassCount
)

var classNames = [ClassCount]string{"request", "gang", "batch", "standing"}

// String returns the name used in documents.
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

// Spec describes one attempt of a task to the process that places it.
type Spec struct {
	ID         ident.TaskID
	Attempt    ident.Attempt
	Kind       string // kind of work within the team's document
	Class      Class
	Repeatable bool
	Size       resource.Vector
	Expected   time.Duration // declared run time; zero when unknown
	Deadline   time.Time     // latest start for batch, gang and standing; latest answer for requests
	Payload    []byte
	Weight     int             // the team's share, at least 1
	Quota      resource.Vector // what falls to the placing process of the team's quota; zero for none; not sent to peers
}

// Outcome is the end of one attempt.
type Outcome struct {
	Task    ident.TaskID
	Attempt ident.Attempt
	OK      bool
	Output  []byte
	Message string // why it failed; empty when OK
	RunTime time.Duration
}

// Messages of outcomes that the worker itself decides.
const (
	StoppedMessage      = "stopped on request"
	LeaseExpiredMessage = "stopped: no process renewed the control lease"
)

// EvictedMessage is the message of an outcome that the owner caused, because the worker leaves or the task used more
// than its size while the worker was full.
const EvictedMessage = "stopped: its worker was needed or is leaving"

// ID returns the attempt that the outcome is of.
func (o Outcome) ID() AttemptID { return AttemptID{o.Task, o.Attempt} }

// Evicted reports whether the system ended the attempt, not the task itself or its caller. A repeatable task may start
// again.
func (o Outcome) Evicted() bool {
	return !o.OK && (o.Message == EvictedMessage || o.Message == LeaseExpiredMessage)
}

// RunningAttempt is one attempt in a worker's inventory.
type RunningAttempt struct {
	Task       ident.TaskID
	Attempt    ident.Attempt
	Kind       string
	Class      Class
	Size       resource.Vector
	RunningFor time.Duration // how long ago it started
}

// Usage is what a worker measured for a running task, with a lag.
type Usage struct {
	Task ident.TaskID
	Used resource.Vector
}

// ClaimRequest asks a worker for its control lease.
type ClaimRequest struct {
	Process   ident.ProcessID
	Epoch     ident.Epoch
	Supersede bool          // membership declared the holder dead
	Lease     time.Duration // control lease
	TaskLease time.Duration // tasks stop when no claimant renews for this long
}

// Inventory is what a worker tells its new claimant. A refusal has only the epoch and the holder.
type Inventory struct {
	Epoch       ident.Epoch
	Holder      ident.ProcessID // holder of the control lease; empty when there is none
	Capacity    resource.Vector
	Zone        ident.Zone
	Rack        ident.Rack
	Running     []RunningAttempt
	Outcomes    []Outcome // finished and not acknowledged
	LastOutcome uint64    // sequence of the last of them
	Draining    bool
}

// AttemptID names one attempt of a task.
type AttemptID struct {
	Task    ident.TaskID
	Attempt ident.Attempt
}

// SyncRequest renews the control lease of a worker.
type SyncRequest struct {
	Epoch        ident.Epoch
	AfterOutcome uint64        // sequence of the last outcome received; 0 for none
	Acknowledge  []AttemptID   // outcomes that the worker may forget
	MaxWait      time.Duration // how long to wait for an outcome
}

// SyncReply is the answer to a Sync.
type SyncReply struct {
	Outcomes    []Outcome
	LastOutcome uint64 // sequence of the last outcome returned
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
	TTL     time.Duration // the worker refuses the start this long after it was sent
	Payload []byte
}
