// Package journal holds what must last of a partition: accepted jobs, intents to start work that is not repeatable,
// outcomes and cancellations.
package journal

import (
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/resource"
	"skylarkstall/internal/domain/work"
)

// Kind is a kind of record.
type Kind uint8

// Kinds of records. Their numbers are stored: append only.
const (
	Takeover    Kind = iota + 1 // a new home writes the journal from here on
	JobAccepted                 // a job, before its caller is told that it is accepted
	Intent                      // work that is not repeatable, before its first start
	Outcome                     // the end of a task
	Canceled                    // a job or request was canceled
)

// Record is one entry of a journal. Each kind uses the fields that it needs.
type Record struct {
	Kind    Kind
	Work    ident.WorkID
	Digest  uint64    // of the caller's content: JobAccepted, Intent
	Expires time.Time // when the record may be dropped
	Job     JobSpec   // JobAccepted
	Index   uint32    // task of the job: Outcome
	Attempt ident.Attempt
	Result  Result // Outcome
}

// JobSpec is what a home needs to go on with an accepted job.
type JobSpec struct {
	Kind       string
	Class      work.Class
	Tasks      uint32
	Repeatable bool
	Size       resource.Vector
	Expected   time.Duration
	Deadline   time.Time
	Retries    int
	Spread     string
	Weight     int
	Payload    []byte
}

// Result is the end of a task.
type Result struct {
	OK         bool
	Unknown    bool // the task was started and its outcome was lost
	OutputLost bool // the output was too large to keep
	Output     []byte
	Message    string
	RunTime    time.Duration
}

// Segment is what one slot of the ring holds.
type Segment struct {
	Sequence uint64
	Writer   ident.ProcessID
	Nonce    uint64 // tells the writer's own writes apart
	Records  []Record
}

// Snapshot replaces the segments up to and including a sequence number.
type Snapshot struct {
	LastSequence uint64
	Records      []Record
}
