package journalwriter

import (
	"context"
	"strconv"
	"strings"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/journal"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/pause"
	"skylarkstall/internal/port"
)

// readBacks is how often a slot is read back in one commit before its write counts as in doubt. A store that is down
// fails them all within half a second, so that callers are refused soon.
const readBacks = 3

// readBackPause is the mean pause between two of them.
const readBackPause = 100 * time.Millisecond

// KeyPrefix returns the prefix of the keys of a partition's journal.
func KeyPrefix(partition ident.PartitionID) string { return "journal/" + partition.Key() + "/" }

const snapshotName = "snapshot"

func (l *line) slotKey(slot int) string { return KeyPrefix(l.id) + strconv.Itoa(slot) }

func (l *line) snapshotKey() string { return KeyPrefix(l.id) + snapshotName }

// read lists the journal in one call.
func (l *line) read(ctx context.Context) (journal.Contents, error) {
	entries, _, err := l.service.Store.List(ctx, KeyPrefix(l.id))
	if err != nil {
		return journal.Contents{}, err
	}
	var contents journal.Contents
	for _, e := range entries {
		if err := l.decode(e, &contents); err != nil {
			return journal.Contents{}, fault.Wrap(err, "key %s", e.Key)
		}
	}
	return contents, nil
}

func (l *line) decode(e port.Entry, contents *journal.Contents) error {
	name := strings.TrimPrefix(e.Key, KeyPrefix(l.id))
	if name == snapshotName {
		snapshot, err := l.service.Codec.DecodeSnapshot(e.Value)
		contents.Snapshot, contents.SnapshotRevision = snapshot, e.Revision
		return err
	}
	slot, err := strconv.Atoi(name)
	if err != nil {
		return fault.New(fault.Internal, "is not a slot")
	}
	segment, err := l.service.Codec.DecodeSegment(e.Value)
	contents.Segments = append(contents.Segments, journal.StoredSegment{Slot: slot, Revision: e.Revision, Segment: segment})
	return err
}

// write carries a write out and settles it when its answer was lost. It fails with Interrupted when it could not find
// out whether the segment is stored, and with StoreUnavailable when it certainly is not.
func (l *line) write(ctx context.Context, j *journal.Journal, w journal.Write) (journal.ReadBackResult, error) {
	value, err := l.service.Codec.EncodeSegment(w.Segment)
	if err != nil {
		j.AbandonWrite()
		return 0, fault.WrapAs(fault.StoreUnavailable, err, "encode the segment")
	}
	for {
		revision, err := l.service.Store.Put(ctx, l.slotKey(w.Slot), value, w.ExpectedRevision, 0)
		switch {
		case err == nil:
			j.MarkStored(revision)
			return journal.Stored, nil
		case !fault.Is(err, fault.StoreUnavailable) && !fault.Is(err, fault.Conflict):
			j.AbandonWrite()
			return 0, fault.WrapAs(fault.StoreUnavailable, err, "the store refused the segment")
		}
		finding, err := l.readBack(ctx, j, w)
		if err != nil {
			j.AbandonWrite()
			return 0, fault.WrapAs(fault.Interrupted, err, "the commit is in doubt")
		}
		if finding != journal.Retry {
			return finding, nil
		}
		if !pause.For(ctx, pause.Jitter(readBackPause, string(l.service.Self)+l.id.Key())) {
			j.AbandonWrite()
			return 0, fault.New(fault.Interrupted, "the store did not confirm the commit in %s", commitTimeout)
		}
	}
}

// readBack finds out what became of a write. A conflict is no proof against the write either: an earlier copy of it may
// have taken effect.
func (l *line) readBack(ctx context.Context, j *journal.Journal, w journal.Write) (journal.ReadBackResult, error) {
	var last error
	for try := range readBacks {
		if try > 0 && !pause.For(ctx, pause.Jitter(readBackPause, string(l.service.Self)+l.id.Key())) {
			break
		}
		entry, err := l.service.Store.Get(ctx, l.slotKey(w.Slot))
		switch {
		case fault.Is(err, fault.NotFound):
			return j.ReadBack(0, journal.Segment{}), nil
		case err != nil:
			last = err
			continue
		}
		segment, err := l.service.Codec.DecodeSegment(entry.Value)
		if err != nil {
			return 0, err
		}
		return j.ReadBack(entry.Revision, segment), nil
	}
	return 0, last
}

// compact writes a snapshot when it is time for one. A failure is not final: a later commit tries again, and appends
// are refused when no slot is free. It returns whether a snapshot was written.
func (l *line) compact(j *journal.Journal, force bool) bool {
	ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
	defer cancel()
	w, ok := j.Compact(time.Now(), force)
	if !ok {
		return false
	}
	value, err := l.service.Codec.EncodeSnapshot(w.Snapshot)
	if err != nil {
		l.service.Log.Error("snapshot not encoded", "partition", l.id, "error", err)
		return false
	}
	revision, err := l.service.Store.Put(ctx, l.snapshotKey(), value, w.ExpectedRevision, 0)
	if err == nil {
		return j.MarkCompacted(revision, w.Snapshot.LastSequence)
	}
	l.service.Log.Warn("snapshot not confirmed", "partition", l.id, "error", err)
	entry, err := l.service.Store.Get(ctx, l.snapshotKey())
	if err != nil {
		return false
	}
	found, err := l.service.Codec.DecodeSnapshot(entry.Value)
	if err != nil {
		l.service.Log.Error("snapshot not decoded", "partition", l.id, "error", err)
		return false
	}
	return j.MarkCompacted(entry.Revision, found.LastSequence)
}
