package journalwire_test

import (
	"bytes"
	"math"
	"reflect"
	"strings"
	"testing"
	"time"

	"skylarkstall/internal/adapter/journalwire"
	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/journal"
	"skylarkstall/internal/domain/resource"
	"skylarkstall/internal/domain/work"
	"skylarkstall/internal/fault"
)

var codec journalwire.Codec

// largest is a record of each kind with every field as long as its encoding can be.
func largest() []journal.Record {
	far := time.UnixMilli(math.MaxInt64)
	id := ident.WorkID{
		Team:    ident.TeamID(strings.Repeat("t", ident.MaxIDLength)),
		Request: ident.RequestID(strings.Repeat("r", ident.MaxIDLength)),
	}
	base := journal.Record{
		Work: id, Digest: math.MaxUint64, Expires: far, Index: math.MaxUint32, Attempt: math.MaxUint64,
	}
	job, outcome := base, base
	job.Kind, outcome.Kind = journal.JobAccepted, journal.Outcome
	job.Job = journal.JobSpec{
		Kind: strings.Repeat("k", 200), Class: work.Standing, Tasks: math.MaxUint32, Repeatable: true,
		Size: resource.Vector{MilliCores: -1, MemoryBytes: -1, Accelerators: -1, Slots: -1}, Deadline: far,
		Expected: -time.Hour, Retries: -1, Spread: "zone", Weight: -1, Payload: bytes.Repeat([]byte{1}, 1000),
	}
	outcome.Result = journal.Result{
		OK: true, Unknown: true, OutputLost: true, Output: bytes.Repeat([]byte{2}, 70_000), Message: "failed",
		RunTime: -time.Millisecond,
	}
	return []journal.Record{job, outcome}
}

// TestRoundTrip guards that a stored record is read as it was written, and that no record is larger than the aggregate
// reckons, since the store refuses values over 1 MB.
func TestRoundTrip(t *testing.T) {
	for _, r := range largest() {
		want := journal.Segment{Sequence: math.MaxUint64, Writer: "entry-1", Nonce: 7, Records: []journal.Record{r}}
		value, err := codec.EncodeSegment(want)
		if err != nil {
			t.Fatal(err)
		}
		got, err := codec.DecodeSegment(value)
		if err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("kind %d: got %+v, error %v", r.Kind, got, err)
		}
		empty, err := codec.EncodeSegment(journal.Segment{Sequence: math.MaxUint64, Writer: "entry-1", Nonce: 7})
		if err != nil {
			t.Fatal(err)
		}
		if n := len(value) - len(empty); n > r.Size() {
			t.Errorf("kind %d: %d bytes; Size tells %d", r.Kind, n, r.Size())
		}
	}
}

// TestDamage guards that a value with any flipped bit or missing end is refused instead of read as another journal.
func TestDamage(t *testing.T) {
	snapshot := journal.Snapshot{LastSequence: 48, Records: []journal.Record{{
		Kind: journal.Intent, Work: ident.WorkID{Team: "vembanad", Request: "order-1"}, Expires: time.UnixMilli(1),
	}}}
	value, err := codec.EncodeSnapshot(snapshot)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := codec.DecodeSnapshot(value); err != nil || !reflect.DeepEqual(got, snapshot) {
		t.Fatalf("undamaged: %+v, error %v", got, err)
	}
	for i := range value {
		if _, err := codec.DecodeSnapshot(value[:i]); !fault.Is(err, fault.Internal) {
			t.Errorf("cut to %d bytes: %v", i, err)
		}
		for bit := range 8 {
			damaged := bytes.Clone(value)
			damaged[i] ^= 1 << bit
			if _, err := codec.DecodeSnapshot(damaged); !fault.Is(err, fault.Internal) {
				t.Errorf("byte %d, bit %d: %v", i, bit, err)
			}
		}
	}
}

// FuzzDecodeSegment guards that no value of the store crashes a process, and that what is accepted encodes to itself.
func FuzzDecodeSegment(f *testing.F) {
	f.Fuzz(func(t *testing.T, value []byte, seal bool) {
		if seal { // otherwise the checksum hides the rest of the decoder
			value = journalwire.Seal(value)
		}
		segment, err := codec.DecodeSegment(value)
		if err != nil {
			if !fault.Is(err, fault.Internal) {
				t.Errorf("kind %s", fault.KindOf(err))
			}
			return
		}
		again, err := codec.EncodeSegment(segment)
		if err != nil {
			t.Fatal(err)
		}
		if reread, err := codec.DecodeSegment(again); err != nil || !reflect.DeepEqual(reread, segment) {
			t.Errorf("read %+v, then %+v, error %v", segment, reread, err)
		}
	})
}
