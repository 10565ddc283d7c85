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

// largestRecords returns a job record and an outcome record in which every field has its longest encoding.
func largestRecords() []journal.Record {
	maxTime := time.UnixMilli(math.MaxInt64)
	id := ident.WorkID{
		Team:    ident.TeamID(strings.Repeat("t", ident.MaxIDLength)),
		Request: ident.RequestID(strings.Repeat("r", ident.MaxIDLength)),
	}
	base := journal.Record{
		Work: id, Digest: math.MaxUint64, Expires: maxTime, Index: math.MaxUint32, Attempt: math.MaxUint64,
	}
	job, outcome := base, base
	job.Kind, outcome.Kind = journal.JobAccepted, journal.Outcome
	job.Job = journal.JobSpec{
		Kind: strings.Repeat("k", 200), Class: work.Standing, Tasks: math.MaxUint32, Repeatable: true,
		Size: resource.Vector{MilliCores: -1, MemoryBytes: -1, Accelerators: -1, Slots: -1}, Deadline: maxTime,
		Expected: -time.Hour, Retries: -1, Spread: "zone", Weight: -1, Payload: bytes.Repeat([]byte{1}, 1000),
	}
	outcome.Result = journal.Result{
		OK: true, Unknown: true, OutputLost: true, Output: bytes.Repeat([]byte{2}, 70_000), Message: "failed",
		RunTime: -time.Millisecond,
	}
	return []journal.Record{job, outcome}
}

// TestRoundTrip checks that a record is decoded as it was encoded, and that its encoding is not longer than
// journal.Record.Size says: the store refuses values over 1 MB, and the journal limits its values by that estimate.
func TestRoundTrip(t *testing.T) {
	for _, r := range largestRecords() {
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
			t.Errorf("kind %d: encoded in %d bytes; Size returns %d", r.Kind, n, r.Size())
		}
	}
}

// TestDamage checks that a truncated value, or one with any single bit flipped, is refused instead of decoded as other
// records.
func TestDamage(t *testing.T) {
	snapshot := journal.Snapshot{LastSequence: 48, Records: []journal.Record{{
		Kind: journal.Intent, Work: ident.WorkID{Team: "vembanad", Request: "order-1"}, Expires: time.UnixMilli(1),
	}}}
	value, err := codec.EncodeSnapshot(snapshot)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := codec.DecodeSnapshot(value); err != nil || !reflect.DeepEqual(got, snapshot) {
		t.Fatalf("intact value: %+v, error %v", got, err)
	}
	for i := range value {
		if _, err := codec.DecodeSnapshot(value[:i]); !fault.Is(err, fault.Internal) {
			t.Errorf("truncated to %d bytes: %v; want Internal", i, err)
		}
		for bit := range 8 {
			corrupt := bytes.Clone(value)
			corrupt[i] ^= 1 << bit
			if _, err := codec.DecodeSnapshot(corrupt); !fault.Is(err, fault.Internal) {
				t.Errorf("byte %d, bit %d flipped: %v; want Internal", i, bit, err)
			}
		}
	}
}

// FuzzDecodeSegment checks that no stored value crashes a process, and that a decoded segment is unchanged after it is
// encoded and decoded again.
func FuzzDecodeSegment(f *testing.F) {
	f.Fuzz(func(t *testing.T, value []byte, addHeader bool) {
		if addHeader { // without a valid checksum the rest of the decoder is not reached
			value = journalwire.AddHeader(value)
		}
		segment, err := codec.DecodeSegment(value)
		if err != nil {
			if !fault.Is(err, fault.Internal) {
				t.Errorf("refused with %s: %v; want Internal", fault.KindOf(err), err)
			}
			return
		}
		again, err := codec.EncodeSegment(segment)
		if err != nil {
			t.Fatal(err)
		}
		if reread, err := codec.DecodeSegment(again); err != nil || !reflect.DeepEqual(reread, segment) {
			t.Errorf("decoded %+v, after another round trip %+v, error %v", segment, reread, err)
		}
	})
}
