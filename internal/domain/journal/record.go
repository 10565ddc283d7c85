// Package journal implements the durable write-ahead journal of a partition. It records accepted jobs, intents to start
// work that is not repeatable, task outcomes and cancellations in a ring of segments and a snapshot.
package journal

import (
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/resource"
	"skylarkstall/internal/domain/work"
)

// Kind is the kind of a record.
type Kind uint8

// Kinds of records. The numbers are stored in the journal: only append new kinds.
const (
	Takeover    Kind = iota + 1 // a new home writes the journal from this segment on
	JobAccepted                 // a job; stored before its caller is told that the job is accepted
	Intent                      // work that is not repeatable; stored before its first start
	Outcome                     // the result of a task
	Canceled                    // a job or request was canceled
)

// Record is one entry of a journal. Which fields are set depends on the kind.
type Record struct {
	Kind    Kind
	Work    ident.WorkID
	Digest  uint64    // digest of the caller's content; JobAccepted, Intent
	Expires time.Time // when the record may be removed
	Job     JobSpec   // JobAccepted
	Index   uint32    // task of the job, 0 for a request; Intent, Outcome
	Attempt ident.Attempt
	Result  Result // Outcome
}

// JobSpec is the specification of an accepted job: what a new home needs to continue it.
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

// Result is the result of a task.
type Result struct {
	OK         bool
	Unknown    bool // the task was started and its outcome was lost
	OutputLost bool // the output was too large to store
	Output     []byte
	Message    string
	RunTime    time.Duration
}

// Segment is the value of one slot of the ring: the records of one commit.
type Segment struct {
	Sequence uint64
	Writer   ident.ProcessID
	Nonce    uint64 // distinguishes the writes of one writer
	Records  []Record
}

// Snapshot holds the records that remain of the segments up to and including a sequence number.
type Snapshot struct {
	LastSequence uint64 // sequence number of the last segment included
	Records      []Record
}
