package journal

import (
	"sync"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/fault"
)

// Dimensions of the ring of segments.
const (
	// SlotCount is the number of slots in a partition's ring.
	SlotCount = 64
	// CompactAfter is the number of segments between two snapshots. The remaining slots accept appends while a
	// snapshot is delayed.
	CompactAfter = 48
)

// Write is a conditional write of a segment: it takes effect only if the slot still has the expected revision.
type Write struct {
	Slot             int
	ExpectedRevision ident.Revision // 0: the slot must not exist
	Segment          Segment
}

// SnapshotWrite is a conditional write of the snapshot: it takes effect only if the snapshot still has the expected
// revision.
type SnapshotWrite struct {
	ExpectedRevision ident.Revision // 0: the snapshot must not exist
	Snapshot         Snapshot
}

// StoredSegment is a slot as read from the store.
type StoredSegment struct {
	Slot     int
	Revision ident.Revision
	Segment  Segment
}

// Contents is a partition's journal as read from the store in one call.
type Contents struct {
	Segments         []StoredSegment
	Snapshot         Snapshot
	SnapshotRevision ident.Revision // 0: no snapshot exists
}

// ReadBackResult is the result of reading back the slot of a write whose result is unknown.
type ReadBackResult uint8

// Results of reading back a slot.
const (
	Stored    ReadBackResult = iota + 1 // the write took effect
	Retry                               // the write has not taken effect yet: send the same write again
	SlotTaken                           // an abandoned write of the same writer took the slot: append the records again
	Conflict                            // another process writes the journal: step down
)

// Journal is the state of one partition's journal as one writer knows it. It decides what to write to which slot; the
// caller performs one write at a time and reports its result. Journal does no I/O and is safe for concurrent use.
type Journal struct {
	mu               sync.Mutex
	writer           ident.ProcessID
	firstNonce       uint64 // nonce given to Open; the writes of this writer use higher ones
	lastNonce        uint64 // nonce of the last write
	slotRevisions    [SlotCount]ident.Revision
	lastSequence     uint64 // highest sequence number stored
	snapshotSequence uint64 // highest sequence number included in the snapshot
	snapshotRevision ident.Revision
	pending          *Segment // segment being written, neither stored nor abandoned yet
	isWriter         bool     // the takeover segment is stored and no conflict has been detected
	retained         recordSet
}

// Open returns a journal with the given contents for a writer that has not taken it over yet. The nonce must be random,
// because it distinguishes the writes of two terms of the same process. Open fails with Internal if a segment is
// missing or in the wrong slot.
func Open(writer ident.ProcessID, nonce uint64, contents Contents) (*Journal, error) {
	j := &Journal{
		writer: writer, firstNonce: nonce, lastNonce: nonce,
		snapshotSequence: contents.Snapshot.LastSequence, snapshotRevision: contents.SnapshotRevision,
		lastSequence: contents.Snapshot.LastSequence, retained: newRecordSet(),
	}
	bySequence := map[uint64]Segment{}
	for _, s := range contents.Segments {
		if s.Slot < 0 || s.Slot >= SlotCount || int(s.Segment.Sequence%SlotCount) != s.Slot {
			return nil, fault.New(fault.Internal, "journal segment %d found in slot %d", s.Segment.Sequence, s.Slot)
		}
		j.slotRevisions[s.Slot] = s.Revision
		bySequence[s.Segment.Sequence] = s.Segment
		j.lastSequence = max(j.lastSequence, s.Segment.Sequence)
	}
	for _, r := range contents.Snapshot.Records {
		j.retained.add(r)
	}
	for n := j.snapshotSequence + 1; n <= j.lastSequence; n++ {
		segment, ok := bySequence[n]
		if !ok {
			return nil, fault.New(fault.Internal, "journal segment %d is missing; the snapshot includes segments up to %d",
				n, j.snapshotSequence)
		}
		j.retained.addAll(segment.Records)
	}
	return j, nil
}

// TakeOver returns the write that fences the previous writer. It fails with StoreUnavailable if no slot is free; then a
// snapshot must be written first.
func (j *Journal) TakeOver(now time.Time) (Write, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.nextWrite([]Record{{Kind: Takeover, Expires: now}})
}

// Append returns the write that stores the records. It fails with StaleEpoch if this process is not the writer of the
// journal, and with StoreUnavailable if no slot is free or the records would not fit into a snapshot.
func (j *Journal) Append(records []Record) (Write, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if !j.isWriter {
		return Write{}, fault.New(fault.StaleEpoch, "process %s is not the writer of the journal", j.writer)
	}
	if !j.retained.fits(records) {
		return Write{}, fault.New(fault.StoreUnavailable, "journal is full: %d bytes in use", j.retained.size)
	}
	return j.nextWrite(j.retained.truncate(records))
}

// Fits reports whether the records may be appended: whether a snapshot has room for the new work in them.
func (j *Journal) Fits(records []Record) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.retained.fits(records)
}

// nextWrite returns the write of the next segment. It replaces an abandoned write: both expect the same revision of the
// same slot, so that the store accepts at most one of them.
func (j *Journal) nextWrite(records []Record) (Write, error) {
	next := j.lastSequence + 1
	if next > SlotCount && next-SlotCount > j.snapshotSequence {
		return Write{}, fault.New(fault.StoreUnavailable,
			"no free journal slot: the snapshot includes segments up to %d of %d", j.snapshotSequence, j.lastSequence)
	}
	j.lastNonce++
	j.pending = &Segment{Sequence: next, Writer: j.writer, Nonce: j.lastNonce, Records: records}
	slot := int(next % SlotCount)
	return Write{Slot: slot, ExpectedRevision: j.slotRevisions[slot], Segment: *j.pending}, nil
}

// MarkStored records that the pending write took effect with the given revision.
func (j *Journal) MarkStored(revision ident.Revision) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.markStored(revision)
}

func (j *Journal) markStored(revision ident.Revision) {
	j.retained.addAll(j.pending.Records)
	j.advance(revision)
	j.isWriter = true
	j.pending = nil
}

func (j *Journal) advance(revision ident.Revision) {
	j.lastSequence++
	j.slotRevisions[j.lastSequence%SlotCount] = revision
}

// ReadBack decides, from the present value of its slot, what became of the pending write after its response was lost or
// it was rejected. Revision 0 means that the slot does not exist. After SlotTaken the records must be appended again.
func (j *Journal) ReadBack(revision ident.Revision, found Segment) ReadBackResult {
	j.mu.Lock()
	defer j.mu.Unlock()
	own := found.Writer == j.writer && found.Sequence == j.pending.Sequence
	switch {
	case revision == j.slotRevisions[j.pending.Sequence%SlotCount]:
		return Retry
	case own && found.Nonce == j.lastNonce:
		j.markStored(revision)
		return Stored
	case own && found.Nonce > j.firstNonce && found.Nonce < j.lastNonce:
		j.advance(revision) // its records count as not stored: their callers got an error or an unknown result
		j.pending = nil
		return SlotTaken
	default:
		j.isWriter, j.pending = false, nil
		return Conflict
	}
}

// AbandonWrite gives up the pending write, which may still take effect. The next write goes to the same slot.
func (j *Journal) AbandonWrite() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.pending = nil
}

// Compact returns the snapshot to write and true if one is due. With force, one is due whenever there are segments that
// the last snapshot does not include.
func (j *Journal) Compact(now time.Time, force bool) (SnapshotWrite, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.lastSequence == j.snapshotSequence || !force && j.lastSequence-j.snapshotSequence < CompactAfter {
		return SnapshotWrite{}, false
	}
	j.retained.removeExpired(now)
	return SnapshotWrite{
		ExpectedRevision: j.snapshotRevision, Snapshot: Snapshot{LastSequence: j.lastSequence, Records: j.retained.list()},
	}, true
}

// MarkCompacted records the snapshot that was written or read back, and the sequence number of the last segment that it
// includes. It returns false if the snapshot includes segments that this writer has not seen, because then another
// process writes the journal.
func (j *Journal) MarkCompacted(revision ident.Revision, lastIncluded uint64) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if lastIncluded > j.lastSequence {
		j.isWriter = false
		return false
	}
	j.snapshotRevision, j.snapshotSequence = revision, max(lastIncluded, j.snapshotSequence)
	return true
}

// Records returns the records that have not expired, in the order of their first append.
func (j *Journal) Records(now time.Time) []Record {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.retained.removeExpired(now)
	return j.retained.list()
}

// Sequence returns the sequence number of the last stored segment.
func (j *Journal) Sequence() uint64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.lastSequence
}
