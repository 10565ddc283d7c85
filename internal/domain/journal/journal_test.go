package journal_test

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/journal"
	"skylarkstall/internal/fault"
)

var (
	now     = time.Unix(1_800_000_000, 0)
	expires = now.Add(time.Hour)
)

// memoryStore is an in-memory store that holds one journal.
type memoryStore struct {
	revision         ident.Revision
	slots            map[int]journal.StoredSegment
	snapshot         journal.Snapshot
	snapshotRevision ident.Revision
}

func newMemoryStore() *memoryStore { return &memoryStore{slots: map[int]journal.StoredSegment{}} }

func (m *memoryStore) contents() journal.Contents {
	c := journal.Contents{Snapshot: m.snapshot, SnapshotRevision: m.snapshotRevision}
	for _, s := range m.slots {
		c.Segments = append(c.Segments, s)
	}
	return c
}

// put performs a conditional write. It returns false if the slot does not have the expected revision.
func (m *memoryStore) put(w journal.Write) (ident.Revision, bool) {
	if m.slots[w.Slot].Revision != w.ExpectedRevision {
		return 0, false
	}
	m.revision++
	m.slots[w.Slot] = journal.StoredSegment{Slot: w.Slot, Revision: m.revision, Segment: w.Segment}
	return m.revision, true
}

func (m *memoryStore) putSnapshot(w journal.SnapshotWrite) (ident.Revision, bool) {
	if m.snapshotRevision != w.ExpectedRevision {
		return 0, false
	}
	m.revision++
	m.snapshot, m.snapshotRevision = w.Snapshot, m.revision
	return m.revision, true
}

// takeOver opens the journal and takes it over.
func takeOver(t *testing.T, m *memoryStore, writer ident.ProcessID, nonce uint64) *journal.Journal {
	t.Helper()
	j, err := journal.Open(writer, nonce, m.contents())
	if err != nil {
		t.Fatal(err)
	}
	w, err := j.TakeOver(now)
	if err != nil {
		t.Fatal(err)
	}
	revision, ok := m.put(w)
	if !ok {
		t.Fatalf("takeover by %s was rejected by the store", writer)
	}
	j.MarkStored(revision)
	return j
}

func intent(id string) journal.Record {
	return journal.Record{
		Kind: journal.Intent, Work: ident.WorkID{Team: "vembanad", Request: ident.RequestID(id)}, Digest: 1, Expires: expires,
	}
}

func outcome(id string, output []byte) journal.Record {
	r := intent(id)
	r.Kind, r.Result = journal.Outcome, journal.Result{OK: true, Output: output}
	return r
}

// appendRecords appends records, stores the segment, and stores a snapshot if one is due.
func appendRecords(t *testing.T, m *memoryStore, j *journal.Journal, records ...journal.Record) {
	t.Helper()
	w, err := j.Append(records)
	if err != nil {
		t.Fatal(err)
	}
	revision, ok := m.put(w)
	if !ok {
		t.Fatalf("append of segment %d was rejected by the store", w.Segment.Sequence)
	}
	j.MarkStored(revision)
	if s, due := j.Compact(now, false); due {
		revision, _ := m.putSnapshot(s)
		j.MarkCompacted(revision, s.Snapshot.LastSequence)
	}
}

// TestFormerWriterIsFenced guards guarantee 5: a previous writer that was paused while its successor wrote any number
// of segments, up to several rounds of the ring, must not be able to append.
func TestFormerWriterIsFenced(t *testing.T) {
	for _, segments := range []int{0, 1, journal.SlotCount - 1, journal.SlotCount, journal.SlotCount + 1, 3 * journal.SlotCount} {
		m := newMemoryStore()
		previous := takeOver(t, m, "entry-1", 100)
		appendRecords(t, m, previous, intent("first"))
		successor := takeOver(t, m, "entry-2", 200)
		for i := range segments {
			appendRecords(t, m, successor, intent(fmt.Sprintf("order-%d", i)))
		}
		w, err := previous.Append([]journal.Record{intent("late")})
		if err != nil {
			t.Fatal(err)
		}
		if _, ok := m.put(w); ok {
			t.Errorf("after %d segments: the previous writer's append was stored", segments)
		}
		found := m.slots[w.Slot]
		if result := previous.ReadBack(found.Revision, found.Segment); result != journal.Conflict {
			t.Errorf("after %d segments: read-back result %d; want conflict", segments, result)
		}
		if _, err := previous.Append([]journal.Record{intent("later")}); !fault.Is(err, fault.StaleEpoch) {
			t.Errorf("after %d segments: error %v from a further append by the previous writer; want stale_epoch", segments, err)
		}
	}
}

// TestRingWithoutSnapshot guards against overwriting a segment that no snapshot includes, and against appends that stay
// blocked after a snapshot was written.
func TestRingWithoutSnapshot(t *testing.T) {
	m := newMemoryStore()
	j := takeOver(t, m, "entry-1", 100)
	for i := 1; i < journal.SlotCount; i++ {
		w, err := j.Append([]journal.Record{intent(fmt.Sprintf("order-%d", i))})
		if err != nil {
			t.Fatalf("segment %d: %v", i+1, err)
		}
		revision, _ := m.put(w)
		j.MarkStored(revision)
	}
	if _, err := j.Append([]journal.Record{intent("over")}); !fault.Is(err, fault.StoreUnavailable) {
		t.Fatalf("append without a free slot: error %v; want store_unavailable", err)
	}
	s, due := j.Compact(now, false)
	if !due {
		t.Fatal("no snapshot is due although every slot is in use")
	}
	revision, _ := m.putSnapshot(s)
	j.MarkCompacted(revision, s.Snapshot.LastSequence)
	appendRecords(t, m, j, outcome("order-1", []byte("printed")))
	reread, err := journal.Open("entry-2", 200, m.contents())
	if err != nil {
		t.Fatal(err)
	}
	if n := len(reread.Records(now)); n != journal.SlotCount {
		t.Errorf("%d records read; want %d intents and one outcome", n, journal.SlotCount-1)
	}
}

// TestRetention guards against a snapshot that keeps expired or withdrawn records or loses other ones.
func TestRetention(t *testing.T) {
	m := newMemoryStore()
	j := takeOver(t, m, "entry-1", 100)
	expired := intent("expired")
	expired.Expires = now.Add(-time.Second)
	withdrawn := intent("withdrawn")
	withdrawn.Kind = journal.Canceled
	again := intent("withdrawn")
	again.Digest = 2
	appendRecords(t, m, j, expired, intent("kept"), intent("withdrawn"), withdrawn)
	appendRecords(t, m, j, outcome("kept", []byte("old")), outcome("kept", []byte("new")), again)
	var got []string
	for _, r := range j.Records(now) {
		got = append(got, fmt.Sprintf("%s %d %s", r.Work.Request, r.Kind, r.Result.Output))
	}
	want := []string{"kept 3 ", "withdrawn 3 ", "kept 4 new"}
	if strings.Join(got, ";") != strings.Join(want, ";") {
		t.Errorf("records %q; want %q", got, want)
	}
}

// TestSnapshotFits guards the store's limit of 1 MB per value: new work must be rejected before a snapshot would exceed
// it, and the outcomes of admitted work must always be accepted, if necessary without their outputs.
func TestSnapshotFits(t *testing.T) {
	m := newMemoryStore()
	j := takeOver(t, m, "entry-1", 100)
	output := make([]byte, journal.MaxOutputBytes)
	n := 0
	for ; j.Fits([]journal.Record{intent("next")}); n++ {
		appendRecords(t, m, j, intent(fmt.Sprintf("order-%d", n)))
	}
	for i := range n {
		appendRecords(t, m, j, outcome(fmt.Sprintf("order-%d", i), output))
	}
	size, outputs := 0, 0
	for _, r := range j.Records(now) {
		size += r.Size()
		if len(r.Result.Output) > 0 {
			outputs++
		}
	}
	if size > journal.MaxSnapshotBytes {
		t.Errorf("%d requests need a snapshot of %d bytes; the limit is %d", n, size, journal.MaxSnapshotBytes)
	}
	if n < 500 || outputs == 0 {
		t.Errorf("%d requests were admitted and %d outputs stored; want at least 500 and 1", n, outputs)
	}
}

// TestMissingSegment guards against opening a journal with a missing segment as if its records did not exist.
func TestMissingSegment(t *testing.T) {
	m := newMemoryStore()
	j := takeOver(t, m, "entry-1", 100)
	for range 3 {
		appendRecords(t, m, j, intent("order"))
	}
	delete(m.slots, 2)
	if _, err := journal.Open("entry-2", 200, m.contents()); !fault.Is(err, fault.Internal) {
		t.Errorf("error %v; want internal", err)
	}
}

// TestTraces replays traces of the transitions of the model spec/journal.pml, and guards against a Journal that decides
// differently from the model. A line consists of a writer, a transition and the expected decision.
func TestTraces(t *testing.T) {
	files, err := filepath.Glob("testdata/*.trace")
	if err != nil || len(files) == 0 {
		t.Fatalf("found %d trace files, error %v", len(files), err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".trace"), func(t *testing.T) { replay(t, file) })
	}
}

func replay(t *testing.T, file string) {
	f, err := os.Open(file)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = f.Close() }() // read only; a close error has no consequence
	r := &replayer{store: newMemoryStore(), writers: map[string]*writer{}}
	lines := bufio.NewScanner(f)
	for n := 1; lines.Scan(); n++ {
		fields := strings.Fields(lines.Text())
		if len(fields) == 0 || strings.HasPrefix(fields[0], "#") {
			continue
		}
		if got, want := r.step(t, fields[0], fields[1]), strings.Join(fields[2:], " "); got != want {
			t.Fatalf("line %d, %s: got %q", n, lines.Text(), got)
		}
	}
	if err := lines.Err(); err != nil {
		t.Fatal(err)
	}
}

type writer struct {
	journal *journal.Journal
	write   journal.Write
	delayed []journal.Write
	terms   uint64
}

type replayer struct {
	store   *memoryStore
	writers map[string]*writer
}

// step performs one transition and returns the decision of the Journal.
func (r *replayer) step(t *testing.T, name, transition string) string {
	w, ok := r.writers[name]
	if !ok {
		w = &writer{}
		r.writers[name] = w
	}
	switch transition {
	case "read":
		w.terms++
		j, err := journal.Open(ident.ProcessID(name), w.terms<<32, r.store.contents())
		if err != nil {
			t.Fatal(err)
		}
		w.journal = j
		return fmt.Sprintf("%d %d", j.Sequence(), len(j.Records(now)))
	case "takeover", "append", "append-again":
		return w.next(transition)
	case "put":
		revision, stored := r.store.put(w.write)
		if stored {
			w.journal.MarkStored(revision)
		}
		return storeResult(stored)
	case "put-lost": // the store performs the write, but the response is lost
		_, stored := r.store.put(w.write)
		return storeResult(stored)
	case "put-late": // the write is delayed and its caller times out
		w.delayed = append(w.delayed, w.write)
		return "sent"
	case "arrives":
		_, stored := r.store.put(w.delayed[0])
		w.delayed = w.delayed[1:]
		return storeResult(stored)
	case "read-back":
		found := r.store.slots[w.write.Slot]
		return [...]string{"", "stored", "retry", "moved", "conflict"}[w.journal.ReadBack(found.Revision, found.Segment)]
	case "abandon":
		w.journal.AbandonWrite()
		return "abandoned"
	case "compact":
		return r.compact(w.journal)
	default:
		t.Fatalf("unknown transition %q", transition)
		return ""
	}
}

func (w *writer) next(transition string) string {
	var err error
	if transition == "takeover" {
		w.write, err = w.journal.TakeOver(now)
	} else {
		w.write, err = w.journal.Append([]journal.Record{intent(fmt.Sprintf("order-%d", w.journal.Sequence()))})
	}
	if err != nil {
		return fault.KindOf(err).String()
	}
	return fmt.Sprintf("%d", w.write.Segment.Sequence)
}

func (r *replayer) compact(j *journal.Journal) string {
	s, due := j.Compact(now, true)
	if !due {
		return "none"
	}
	if revision, ok := r.store.putSnapshot(s); ok {
		return storeResult(j.MarkCompacted(revision, s.Snapshot.LastSequence))
	}
	return "found " + storeResult(j.MarkCompacted(r.store.snapshotRevision, r.store.snapshot.LastSequence))
}

func storeResult(ok bool) string {
	if ok {
		return "stored"
	}
	return "refused"
}
