package journal

import (
	"sync"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/fault"
)

// The ring of segments.
const (
	// Slots is the number of slots of a partition's ring.
	Slots = 64
	// CompactAfter is how many segments are written between two snapshots. The remaining slots take appends while a
	// snapshot is delayed.
	CompactAfter = 48
)

// Write is the decision to put a segment into a slot, if the slot still has the expected revision.
type Write struct {
	Slot             int
	ExpectedRevision ident.Revision // 0: the slot must be absent
	Segment          Segment
}

// SnapshotWrite is the decision to replace the snapshot, if it still has the expected revision.
type SnapshotWrite struct {
	ExpectedRevision ident.Revision // 0: there must be no snapshot
	Snapshot         Snapshot
}

// StoredSegment is a slot as it was read.
type StoredSegment struct {
	Slot     int
	Revision ident.Revision
	Segment  Segment
}

// Contents is a partition's journal as it was read in one call.
type Contents struct {
	Segments         []StoredSegment
	Snapshot         Snapshot
	SnapshotRevision ident.Revision // 0: there is no snapshot
}

// ReadBackResult tells what a slot that was read back means for the write in doubt.
type ReadBackResult uint8

// Findings.
const (
	Stored    ReadBackResult = iota + 1 // the write took effect
	Retry                               // it did not yet: send the same write again
	SlotTaken                           // an abandoned write of the same writer took the slot: write the records into the next one
	Conflict                            // another process writes the journal: step down
)

// Journal is the aggregate of one partition's journal as one writer sees it. It decides what to write where; a caller
// carries the writes out one at a time and tells how each ended.
type Journal struct {
	mu       sync.Mutex
	writer   ident.ProcessID
	first    uint64 // nonce of the first write of this writer
	nonce    uint64 // of the last write
	slots    [Slots]ident.Revision
	sequence uint64 // highest stored
	covers   uint64 // highest sequence number that the snapshot covers
	snapshot ident.Revision
	pending  *Segment // sent, and neither stored nor abandoned
	writing  bool     // the takeover segment is stored and no conflict was seen
	live     retained
}

// Open returns the journal with the contents, for a writer that has not taken it over yet. The nonce must be random:
// two terms of one process tell their writes apart by it. It fails with Internal when a segment is missing.
func Open(writer ident.ProcessID, nonce uint64, contents Contents) (*Journal, error) {
	j := &Journal{
		writer: writer, first: nonce, nonce: nonce,
		covers: contents.Snapshot.LastSequence, snapshot: contents.SnapshotRevision, sequence: contents.Snapshot.LastSequence,
		live: newRetained(),
	}
	bySequence := map[uint64]Segment{}
	for _, s := range contents.Segments {
		if s.Slot < 0 || s.Slot >= Slots || int(s.Segment.Sequence%Slots) != s.Slot {
			return nil, fault.New(fault.Internal, "segment %d is in slot %d", s.Segment.Sequence, s.Slot)
		}
		j.slots[s.Slot] = s.Revision
		bySequence[s.Segment.Sequence] = s.Segment
		j.sequence = max(j.sequence, s.Segment.Sequence)
	}
	for _, r := range contents.Snapshot.Records {
		j.live.add(r)
	}
	for n := j.covers + 1; n <= j.sequence; n++ {
		segment, ok := bySequence[n]
		if !ok {
			return nil, fault.New(fault.Internal, "segment %d is missing; the snapshot covers up to %d", n, j.covers)
		}
		j.live.addAll(segment.Records)
	}
	return j, nil
}

// TakeOver decides the write that fences the former writer. It fails with StoreUnavailable when no slot is free; a
// snapshot must be written first.
func (j *Journal) TakeOver(now time.Time) (Write, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.write([]Record{{Kind: Takeover, Expires: now}})
}

// Append decides the write of further records. It fails with StaleEpoch when this process does not write the journal,
// and with StoreUnavailable when no slot is free or the records would not fit into a snapshot.
func (j *Journal) Append(records []Record) (Write, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if !j.writing {
		return Write{}, fault.New(fault.StaleEpoch, "process %s does not write this journal", j.writer)
	}
	if !j.live.fits(records) {
		return Write{}, fault.New(fault.StoreUnavailable, "the journal is full: %d bytes are in use", j.live.size)
	}
	return j.write(j.live.trim(records))
}

// Fits reports whether the records may be appended: whether a snapshot has room for the work that they begin.
func (j *Journal) Fits(records []Record) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.live.fits(records)
}

// write is the next write. A write that was abandoned is replaced: both expect the same revision of the same slot, so
// that the store takes at most one of them.
func (j *Journal) write(records []Record) (Write, error) {
	next := j.sequence + 1
	if next > Slots && next-Slots > j.covers {
		return Write{}, fault.New(fault.StoreUnavailable, "no slot is free: the snapshot covers up to %d of %d",
			j.covers, j.sequence)
	}
	j.nonce++
	j.pending = &Segment{Sequence: next, Writer: j.writer, Nonce: j.nonce, Records: records}
	slot := int(next % Slots)
	return Write{Slot: slot, ExpectedRevision: j.slots[slot], Segment: *j.pending}, nil
}

// MarkStored notes that the write took effect with the revision.
func (j *Journal) MarkStored(revision ident.Revision) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.stored(revision)
}

func (j *Journal) stored(revision ident.Revision) {
	j.live.addAll(j.pending.Records)
	j.advance(revision)
	j.writing = true
	j.pending = nil
}

func (j *Journal) advance(revision ident.Revision) {
	j.sequence++
	j.slots[j.sequence%Slots] = revision
}

// ReadBack decides about a write whose answer was lost or was a refusal, from the slot as it is now; revision 0 means
// that the slot is absent. After Moved the records must be appended again.
func (j *Journal) ReadBack(revision ident.Revision, found Segment) ReadBackResult {
	j.mu.Lock()
	defer j.mu.Unlock()
	own := found.Writer == j.writer && found.Sequence == j.pending.Sequence
	switch {
	case revision == j.slots[j.pending.Sequence%Slots]:
		return Retry
	case own && found.Nonce == j.nonce:
		j.stored(revision)
		return Stored
	case own && found.Nonce > j.first && found.Nonce < j.nonce:
		j.advance(revision) // its records count as not stored: their callers were told so or do not know
		j.pending = nil
		return SlotTaken
	default:
		j.writing, j.pending = false, nil
		return Conflict
	}
}

// AbandonWrite gives up a write whose effect could not be found out. The next write goes to the same slot.
func (j *Journal) AbandonWrite() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.pending = nil
}

// Compact returns the snapshot to write, when it is time for one or when force is set.
func (j *Journal) Compact(now time.Time, force bool) (SnapshotWrite, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.sequence == j.covers || !force && j.sequence-j.covers < CompactAfter {
		return SnapshotWrite{}, false
	}
	j.live.expire(now)
	return SnapshotWrite{ExpectedRevision: j.snapshot, Snapshot: Snapshot{LastSequence: j.sequence, Records: j.live.list()}}, true
}

// MarkCompacted notes the snapshot as it was written or read back. It returns false when the snapshot covers segments that
// this writer has not seen: another process writes the journal.
func (j *Journal) MarkCompacted(revision ident.Revision, covers uint64) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if covers > j.sequence {
		j.writing = false
		return false
	}
	j.snapshot, j.covers = revision, max(covers, j.covers)
	return true
}

// Records returns the records that have not expired, in the order of their first append.
func (j *Journal) Records(now time.Time) []Record {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.live.expire(now)
	return j.live.list()
}

// Sequence returns the highest sequence number stored.
func (j *Journal) Sequence() uint64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.sequence
}
