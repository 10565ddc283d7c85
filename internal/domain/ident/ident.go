// Package ident defines typed identifiers, fencing epochs and revisions, and validates ids that come from outside.
package ident

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"skylarkstall/internal/fault"
)

// PartitionCount is the number of partitions of request ids. It cannot change during the lifetime of a cell, because
// the journal of a partition is stored under the partition's number. 32 leaves at least one partition for each of 17
// processes and limits the journal to 128 writes/s.
const PartitionCount = 32

// MaxIDLength is the maximum length of a team, request, worker or process id in bytes.
const MaxIDLength = 128

// TeamID identifies the team that owns a document.
type TeamID string

// RequestID identifies a request or job within a team; the caller chooses it.
type RequestID string

// WorkerID identifies a worker by its id in the VM list.
type WorkerID string

// ProcessID identifies an entry process by its id in the VM list.
type ProcessID string

// Zone is the name of an availability zone.
type Zone string

// Rack is the name of a rack within a zone.
type Rack string

// Epoch is the fencing token of a worker's control lease.
type Epoch uint64

// Attempt numbers the attempts of a task in increasing order; see NextAttempt.
type Attempt uint64

// Revision is a modification revision of a key in the store.
type Revision uint64

// PartitionID is the number of a partition of request ids, less than PartitionCount.
type PartitionID uint16

// HomeEpoch is the fencing token of a partition's home: owners reject placements with a lower epoch than the highest
// that they have seen.
type HomeEpoch struct {
	Counter uint64
	Process ProcessID // breaks ties between homes that chose the same counter
}

// Less compares by counter, then by process id.
func (h HomeEpoch) Less(o HomeEpoch) bool {
	return h.Counter < o.Counter || h.Counter == o.Counter && h.Process < o.Process
}

// WorkID identifies a request or job by its team and the id that the caller chose.
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

// TaskID identifies one task of a request or job.
type TaskID struct {
	Work  WorkID
	Index uint32 // index of the task in the job; 0 for a request
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

// attemptBits is the number of low bits of an attempt number that count attempts within one millisecond.
const attemptBits = 4

// NextAttempt returns an attempt number greater than prev. The number is derived from the time, so that a home that has
// lost its state does not reuse a number of its predecessor: a worker treats a repeated number as an attempt that it
// has already started.
func NextAttempt(now time.Time, prev Attempt) Attempt {
	return max(Attempt(now.UnixMilli())<<attemptBits, prev+1)
}

// Validate returns an error that names the field if the id is empty, is longer than MaxIDLength or contains a character
// other than letters, digits, '.', '_' and '-'.
func Validate(field, id string) error {
	if id == "" {
		return fault.New(fault.Invalid, "%s is empty", field)
	}
	if len(id) > MaxIDLength {
		return fault.New(fault.Invalid, "%s is %d bytes long; the limit is %d", field, len(id), MaxIDLength)
	}
	for _, r := range id {
		if !isIDChar(r) {
			return fault.New(fault.Invalid, "%s contains the character %q; allowed are letters, digits, '.', '_' and '-'", field, r)
		}
	}
	return nil
}

func isIDChar(r rune) bool {
	switch {
	case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9':
		return true
	default:
		return r == '.' || r == '_' || r == '-'
	}
}

// Key returns the partition number with a fixed width for use in store keys, so that keys sort by number.
func (p PartitionID) Key() string { return fmt.Sprintf("%02d", p) }
