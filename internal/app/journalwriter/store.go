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

// maxReadBacks is the maximum number of attempts to read a slot back before the result of its write counts as unknown.
// If the store is down, all of them fail within half a second, so that callers get an error soon.
const maxReadBacks = 3

// readBackPause is the mean pause between two attempts to read a slot back.
const readBackPause = 100 * time.Millisecond

// KeyPrefix returns the prefix of the store keys of a partition's journal.
func KeyPrefix(partition ident.PartitionID) string { return "journal/" + partition.Key() + "/" }

const snapshotName = "snapshot"

func (w *partitionWriter) slotKey(slot int) string {
	return KeyPrefix(w.partition) + strconv.Itoa(slot)
}

func (w *partitionWriter) snapshotKey() string { return KeyPrefix(w.partition) + snapshotName }

// readJournal reads the segments and the snapshot in one call of the store.
func (w *partitionWriter) readJournal(ctx context.Context) (journal.Contents, error) {
	entries, _, err := w.service.Store.List(ctx, KeyPrefix(w.partition))
	if err != nil {
		return journal.Contents{}, err
	}
	var contents journal.Contents
	for _, e := range entries {
		if err := w.decode(e, &contents); err != nil {
			return journal.Contents{}, fault.Wrap(err, "key %s", e.Key)
		}
	}
	return contents, nil
}

func (w *partitionWriter) decode(e port.Entry, contents *journal.Contents) error {
	name := strings.TrimPrefix(e.Key, KeyPrefix(w.partition))
	if name == snapshotName {
		snapshot, err := w.service.Codec.DecodeSnapshot(e.Value)
		contents.Snapshot, contents.SnapshotRevision = snapshot, e.Revision
		return err
	}
	slot, err := strconv.Atoi(name)
	if err != nil {
		return fault.New(fault.Internal, "key is neither a journal slot nor a snapshot")
	}
	segment, err := w.service.Codec.DecodeSegment(e.Value)
	contents.Segments = append(contents.Segments, journal.StoredSegment{
		Slot: slot, Revision: e.Revision, Segment: segment,
	})
	return err
}

// writeSegment performs a write and, if its response was lost, finds out whether it took effect. It fails with
// Interrupted if it cannot find out whether the segment is stored, and with StoreUnavailable if it certainly is not.
func (w *partitionWriter) writeSegment(
	ctx context.Context, j *journal.Journal, write journal.Write,
) (journal.ReadBackResult, error) {
	value, err := w.service.Codec.EncodeSegment(write.Segment)
	if err != nil {
		j.AbandonWrite()
		return 0, fault.WrapAs(fault.StoreUnavailable, err, "encode journal segment")
	}
	for {
		revision, err := w.service.Store.Put(ctx, w.slotKey(write.Slot), value, write.ExpectedRevision, 0)
		switch {
		case err == nil:
			j.MarkStored(revision)
			return journal.Stored, nil
		case !fault.Is(err, fault.StoreUnavailable) && !fault.Is(err, fault.Conflict):
			j.AbandonWrite()
			return 0, fault.WrapAs(fault.StoreUnavailable, err, "store rejected the journal segment")
		}
		result, err := w.readBack(ctx, j, write)
		if err != nil {
			j.AbandonWrite()
			return 0, fault.WrapAs(fault.Interrupted, err, "journal commit may or may not have taken effect")
		}
		if result != journal.Retry {
			return result, nil
		}
		if !pause.For(ctx, pause.Jitter(readBackPause, string(w.service.Self)+w.partition.Key())) {
			j.AbandonWrite()
			return 0, fault.New(fault.Interrupted, "store did not confirm the journal commit within %s", commitTimeout)
		}
	}
}

// readBack reads the slot to find out whether a write took effect. This is also needed after a conflict, because an
// earlier copy of the same write may have taken effect.
func (w *partitionWriter) readBack(
	ctx context.Context, j *journal.Journal, write journal.Write,
) (journal.ReadBackResult, error) {
	var lastErr error
	for attempt := range maxReadBacks {
		if attempt > 0 && !pause.For(ctx, pause.Jitter(readBackPause, string(w.service.Self)+w.partition.Key())) {
			break
		}
		entry, err := w.service.Store.Get(ctx, w.slotKey(write.Slot))
		switch {
		case fault.Is(err, fault.NotFound):
			return j.ReadBack(0, journal.Segment{}), nil
		case err != nil:
			lastErr = err
			continue
		}
		segment, err := w.service.Codec.DecodeSegment(entry.Value)
		if err != nil {
			return 0, err
		}
		return j.ReadBack(entry.Revision, segment), nil
	}
	return 0, lastErr
}

// compact writes a snapshot if one is due and reports whether a snapshot is stored. A failure is not final: a later
// commit tries again, and appends are rejected while no slot is free.
func (w *partitionWriter) compact(j *journal.Journal, force bool) bool {
	ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
	defer cancel()
	write, ok := j.Compact(time.Now(), force)
	if !ok {
		return false
	}
	value, err := w.service.Codec.EncodeSnapshot(write.Snapshot)
	if err != nil {
		w.service.Log.Error("could not encode journal snapshot", "partition", w.partition, "error", err)
		return false
	}
	revision, err := w.service.Store.Put(ctx, w.snapshotKey(), value, write.ExpectedRevision, 0)
	if err == nil {
		return j.MarkCompacted(revision, write.Snapshot.LastSequence)
	}
	w.service.Log.Warn("journal snapshot write not confirmed", "partition", w.partition, "error", err)
	entry, err := w.service.Store.Get(ctx, w.snapshotKey())
	if err != nil {
		return false
	}
	found, err := w.service.Codec.DecodeSnapshot(entry.Value)
	if err != nil {
		w.service.Log.Error("could not decode journal snapshot", "partition", w.partition, "error", err)
		return false
	}
	return j.MarkCompacted(entry.Revision, found.LastSequence)
}
