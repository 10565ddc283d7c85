// Package journalwire encodes segments and snapshots of a partition's journal for the store, as protobuf messages
// with a header that holds a version and a checksum.
package journalwire

import (
	"encoding/binary"
	"math"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"skylarkstall/internal/adapter/journalwire/journalpb"
	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/journal"
	"skylarkstall/internal/domain/resource"
	"skylarkstall/internal/domain/work"
	"skylarkstall/internal/fault"
)

// Every value starts with a header: one byte for the version of the format, and the xxhash64 checksum of the message
// that follows, in little-endian order.
const (
	version    = 1
	headerSize = 1 + 8
)

// Codec encodes and decodes segments and snapshots.
type Codec struct{}

// EncodeSegment returns the value of a journal slot. It fails with Invalid if a string is not valid UTF-8.
func (Codec) EncodeSegment(s journal.Segment) ([]byte, error) {
	return encodeValue(&journalpb.Segment{
		Sequence: s.Sequence, Writer: string(s.Writer), Nonce: s.Nonce, Records: encodeRecords(s.Records),
	})
}

// DecodeSegment is the inverse of EncodeSegment. It fails with Internal if the value is corrupt.
func (Codec) DecodeSegment(value []byte) (journal.Segment, error) {
	var in journalpb.Segment
	if err := decodeValue(value, &in); err != nil {
		return journal.Segment{}, err
	}
	records, err := decodeRecords(in.GetRecords())
	return journal.Segment{
		Sequence: in.GetSequence(), Writer: ident.ProcessID(in.GetWriter()), Nonce: in.GetNonce(), Records: records,
	}, err
}

// EncodeSnapshot returns the value of a snapshot. It fails with Invalid if a string is not valid UTF-8.
func (Codec) EncodeSnapshot(s journal.Snapshot) ([]byte, error) {
	return encodeValue(&journalpb.Snapshot{Covers: s.LastSequence, Records: encodeRecords(s.Records)})
}

// DecodeSnapshot is the inverse of EncodeSnapshot. It fails with Internal if the value is corrupt.
func (Codec) DecodeSnapshot(value []byte) (journal.Snapshot, error) {
	var in journalpb.Snapshot
	if err := decodeValue(value, &in); err != nil {
		return journal.Snapshot{}, err
	}
	records, err := decodeRecords(in.GetRecords())
	return journal.Snapshot{LastSequence: in.GetCovers(), Records: records}, err
}

func encodeValue(message proto.Message) ([]byte, error) {
	value := make([]byte, headerSize)
	value, err := proto.MarshalOptions{Deterministic: true}.MarshalAppend(value, message)
	if err != nil {
		return nil, fault.WrapAs(fault.Invalid, err, "encode a journal value")
	}
	value[0] = version
	binary.LittleEndian.PutUint64(value[1:], xxhash.Sum64(value[headerSize:]))
	return value, nil
}

func decodeValue(value []byte, message proto.Message) error {
	if len(value) < headerSize {
		return fault.New(fault.Internal, "journal value truncated: got %d bytes, the header alone has %d", len(value), headerSize)
	}
	if value[0] != version {
		return fault.New(fault.Internal, "journal value has unsupported version %d, want %d", value[0], version)
	}
	if sum := xxhash.Sum64(value[headerSize:]); sum != binary.LittleEndian.Uint64(value[1:]) {
		return fault.New(fault.Internal, "journal value does not match its checksum")
	}
	if err := proto.Unmarshal(value[headerSize:], message); err != nil {
		return fault.WrapAs(fault.Internal, err, "decode a journal value")
	}
	return nil
}

func encodeRecords(records []journal.Record) []*journalpb.Record {
	out := make([]*journalpb.Record, len(records))
	for i, r := range records {
		out[i] = encodeRecord(r)
	}
	return out
}

func encodeRecord(r journal.Record) *journalpb.Record {
	out := &journalpb.Record{
		Kind: uint32(r.Kind), Team: string(r.Work.Team), Request: string(r.Work.Request), Digest: r.Digest,
		ExpiresMs: r.Expires.UnixMilli(), Index: r.Index, Attempt: uint64(r.Attempt),
	}
	switch r.Kind {
	case journal.JobAccepted:
		out.Job = encodeJobSpec(r.Job)
	case journal.Outcome:
		out.Result = encodeResult(r.Result)
	}
	return out
}

func encodeJobSpec(j journal.JobSpec) *journalpb.Job {
	return &journalpb.Job{
		Kind: j.Kind, Class: uint32(j.Class), Tasks: j.Tasks, Repeatable: j.Repeatable,
		MilliCores: j.Size.MilliCores, MemoryBytes: j.Size.MemoryBytes, Accelerators: j.Size.Accelerators,
		Slots: j.Size.Slots, ExpectedMs: j.Expected.Milliseconds(), DeadlineMs: j.Deadline.UnixMilli(),
		Retries: int64(j.Retries), Spread: j.Spread, Weight: int64(j.Weight), Payload: j.Payload,
	}
}

func encodeResult(r journal.Result) *journalpb.Result {
	return &journalpb.Result{
		Ok: r.OK, Unknown: r.Unknown, OutputLost: r.OutputLost, Output: r.Output,
		Message: strings.ToValidUTF8(r.Message, ""), RunMs: r.RunTime.Milliseconds(),
	}
}

func decodeRecords(in []*journalpb.Record) ([]journal.Record, error) {
	records := make([]journal.Record, len(in))
	for i, r := range in {
		if err := validateRecord(r); err != nil {
			return nil, err
		}
		records[i] = decodeRecord(r)
	}
	return records, nil
}

// maxDurationMs is the longest duration in milliseconds that fits into a time.Duration.
const maxDurationMs = math.MaxInt64 / int64(time.Millisecond)

// validateRecord rejects a record that no version of this package has written.
func validateRecord(r *journalpb.Record) error {
	kind := journal.Kind(min(r.GetKind(), math.MaxUint8))
	switch {
	case kind < journal.Takeover || kind > journal.Canceled:
		return fault.New(fault.Internal, "journal record has unknown kind %d", r.GetKind())
	case (kind == journal.JobAccepted) != (r.GetJob() != nil), (kind == journal.Outcome) != (r.GetResult() != nil):
		return fault.New(fault.Internal, "journal record of kind %d has the content of another kind", kind)
	case r.GetJob().GetClass() >= uint32(work.ClassCount):
		return fault.New(fault.Internal, "journal record has unknown class %d", r.GetJob().GetClass())
	}
	for _, ms := range []int64{r.GetJob().GetExpectedMs(), r.GetResult().GetRunMs()} {
		if ms > maxDurationMs || ms < -maxDurationMs {
			return fault.New(fault.Internal, "journal record has an out-of-range duration of %d ms", ms)
		}
	}
	return nil
}

func decodeRecord(r *journalpb.Record) journal.Record {
	return journal.Record{
		Kind:   journal.Kind(r.GetKind()),
		Work:   ident.WorkID{Team: ident.TeamID(r.GetTeam()), Request: ident.RequestID(r.GetRequest())},
		Digest: r.GetDigest(), Expires: time.UnixMilli(r.GetExpiresMs()), Job: decodeJobSpec(r.GetJob()),
		Index: r.GetIndex(), Attempt: ident.Attempt(r.GetAttempt()), Result: decodeResult(r.GetResult()),
	}
}

func decodeJobSpec(j *journalpb.Job) journal.JobSpec {
	if j == nil {
		return journal.JobSpec{}
	}
	return journal.JobSpec{
		Kind: j.GetKind(), Class: work.Class(j.GetClass()), Tasks: j.GetTasks(), Repeatable: j.GetRepeatable(),
		Size: resource.Vector{
			MilliCores: j.GetMilliCores(), MemoryBytes: j.GetMemoryBytes(), Accelerators: j.GetAccelerators(),
			Slots: j.GetSlots(),
		},
		Expected: time.Duration(j.GetExpectedMs()) * time.Millisecond, Deadline: time.UnixMilli(j.GetDeadlineMs()),
		Retries: int(j.GetRetries()), Spread: j.GetSpread(), Weight: int(j.GetWeight()), Payload: j.GetPayload(),
	}
}

func decodeResult(r *journalpb.Result) journal.Result {
	return journal.Result{
		OK: r.GetOk(), Unknown: r.GetUnknown(), OutputLost: r.GetOutputLost(), Output: r.GetOutput(),
		Message: r.GetMessage(), RunTime: time.Duration(r.GetRunMs()) * time.Millisecond,
	}
}
