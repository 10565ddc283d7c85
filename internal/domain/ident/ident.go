// Package ident holds the typed identifiers that aggregates use to name one another.
package ident

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"skylarkstall/internal/fault"
)

// PartitionCount is the number of partitions of request ids. It is fixed for the life of a cell, because a partition's
// journal is found by its number. 32 keeps at least one partition for each of 17 processes and bounds the journal
// to 128 writes/s.
const PartitionCount = 32

// MaxIDLength is the longest team, request, worker or process id in bytes.
const MaxIDLength = 128

// TeamID names the team that owns a document.
type TeamID string

// RequestID is chosen by the caller and unique within a team.
type RequestID string

// WorkerID names a worker, as the VM list does.
type WorkerID string

// ProcessID names an entry process, as the VM list does.
type ProcessID string

// Zone names an availability zone.
type Zone string

// Rack names a rack within a zone.
type Rack string

// Epoch is the fencing token of a worker's control lease.
type Epoch uint64

// Attempt orders the starts of a task; see NextAttempt.
type Attempt uint64

// Revision is a modification revision of the store.
type Revision uint64

// PartitionID names a partition of request ids; it is below Partitions.
type PartitionID uint16

// HomeEpoch is the fencing token of a partition's home: owners refuse placements with a lower one than they have seen.
type HomeEpoch struct {
	Counter uint64
	Process ProcessID // decides between homes that chose the same counter
}

// Less reports whether h is lower than o.
func (h HomeEpoch) Less(o HomeEpoch) bool {
	return h.Counter < o.Counter || h.Counter == o.Counter && h.Process < o.Process
}

// WorkID names a request or job: a caller-chosen id within a team.
type WorkID struct {
	Team    TeamID
	Request RequestID
}

// String returns team/request.
func (w WorkID) String() string { return string(w.Team) + "/" + string(w.Request) }

// Partition returns the partition that the id hashes to.
func (w WorkID) Partition() PartitionID {
	return PartitionID(xxhash.Sum64String(w.String()) % PartitionCount)
}

// TaskID names one task of a request or job.
type TaskID struct {
	Work  WorkID
	Index uint32 // position in the job; 0 for a request
}

// String returns team/request#index.
func (t TaskID) String() string {
	return t.Work.String() + "#" + strconv.FormatUint(uint64(t.Index), 10)
}

// ParseTaskID is the inverse of TaskID.String. It fails with Invalid.
func ParseTaskID(s string) (TaskID, error) {
	head, tail, ok := cutLast(s, "#")
	team, request, ok2 := strings.Cut(head, "/")
	index, err := strconv.ParseUint(tail, 10, 32)
	if !ok || !ok2 || err != nil {
		return TaskID{}, fault.New(fault.Invalid, "task id %q: want team/request#index", s)
	}
	return TaskID{Work: WorkID{TeamID(team), RequestID(request)}, Index: uint32(index)}, nil
}

func cutLast(s, sep string) (before, after string, found bool) {
	i := strings.LastIndex(s, sep)
	if i < 0 {
		return s, "", false
	}
	return s[:i], s[i+len(sep):], true
}

// attemptBits is how many attempts of one task can start within a millisecond.
const attemptBits = 4

// NextAttempt returns an attempt above prev. It grows with the time, so that a home that lost its memory does not use
// an attempt that its predecessor used; a worker takes a repeated attempt for one that it has started.
func NextAttempt(now time.Time, prev Attempt) Attempt {
	return max(Attempt(now.UnixMilli())<<attemptBits, prev+1)
}

// Validate refuses an id that is empty, longer than MaxLen or holds a character outside letters, digits, '.', '_' and '-'.
// The error names the field.
func Validate(field, id string) error {
	if id == "" {
		return fault.New(fault.Invalid, "%s is empty", field)
	}
	if len(id) > MaxIDLength {
		return fault.New(fault.Invalid, "%s is %d bytes long; the limit is %d", field, len(id), MaxIDLength)
	}
	for _, r := range id {
		if !allowed(r) {
			return fault.New(fault.Invalid, "%s has the character %q; use letters, digits, '.', '_' and '-'", field, r)
		}
	}
	return nil
}

func allowed(r rune) bool {
	switch {
	case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9':
		return true
	default:
		return r == '.' || r == '_' || r == '-'
	}
}

// Key returns the partition as a fixed-width path element, so that keys sort by number.
func (p PartitionID) Key() string { return fmt.Sprintf("%02d", p) }
