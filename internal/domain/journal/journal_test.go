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
	now   = time.Unix(1_800_000_000, 0)
	later = now.Add(time.Hour)
)

// memory is a store of one journal.
type memory struct {
	revision ident.Revision
	slots    map[int]journal.StoredSegment
	snapshot journal.Snapshot
	snapRev  ident.Revision
}

func newMemory() *memory { return &memory{slots: map[int]journal.StoredSegment{}} }

func (m *memory) contents() journal.Contents {
	c := journal.Contents{Snapshot: m.snapshot, SnapshotRevision: m.snapRev}
	for _, s := range m.slots {
		c.Segments = append(c.Segments, s)
	}
	return c
}

// put returns false when the slot does not have the expected revision.
func (m *memory) put(w journal.Write) (ident.Revision, bool) {
	if m.slots[w.Slot].Revision != w.ExpectedRevision {
		return 0, false
	}
	m.revision++
	m.slots[w.Slot] = journal.StoredSegment{Slot: w.Slot, Revision: m.revision, Segment: w.Segment}
	return m.revision, true
}

func (m *memory) putSnapshot(w journal.SnapshotWrite) (ident.Revision, bool) {
	if m.snapRev != w.ExpectedRevision {
		return 0, false
	}
	m.revision++
	m.snapshot, m.snapRev = w.Snapshot, m.revision
	return m.revision, true
}

// take opens the journal and takes it over.
func take(t *testing.T, m *memory, writer ident.ProcessID, nonce uint64) *journal.Journal {
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
		t.Fatalf("takeover by %s refused", writer)
	}
	j.MarkStored(revision)
	return j
}

func intent(id string) journal.Record {
	return journal.Record{
		Kind: journal.Intent, Work: ident.WorkID{Team: "vembanad", Request: ident.RequestID(id)}, Digest: 1, Expires: later,
	}
}

func outcome(id string, output []byte) journal.Record {
	r := intent(id)
	r.Kind, r.Result = journal.Outcome, journal.Result{OK: true, Output: output}
	return r
}

// store appends records and stores them, with a snapshot whenever one is due.
func store(t *testing.T, m *memory, j *journal.Journal, records ...journal.Record) {
	t.Helper()
	w, err := j.Append(records)
	if err != nil {
		t.Fatal(err)
	}
	revision, ok := m.put(w)
	if !ok {
		t.Fatalf("append of segment %d refused", w.Segment.Sequence)
	}
	j.MarkStored(revision)
	if s, due := j.Compact(now, false); due {
		revision, _ := m.putSnapshot(s)
		j.MarkCompacted(revision, s.Snapshot.LastSequence)
	}
}

// TestFormerWriterIsFenced guards guarantee 5: a former writer that slept while its successor wrote any number of
// segments, up to several turns of the ring, can append nothing more.
func TestFormerWriterIsFenced(t *testing.T) {
	for _, segments := range []int{0, 1, journal.Slots - 1, journal.Slots, journal.Slots + 1, 3 * journal.Slots} {
		m := newMemory()
		former := take(t, m, "entry-1", 100)
		store(t, m, former, intent("first"))
		successor := take(t, m, "entry-2", 200)
		for i := range segments {
			store(t, m, successor, intent(fmt.Sprintf("order-%d", i)))
		}
		w, err := former.Append([]journal.Record{intent("late")})
		if err != nil {
			t.Fatal(err)
		}
		if _, ok := m.put(w); ok {
			t.Errorf("after %d segments: the former writer's append was stored", segments)
		}
		found := m.slots[w.Slot]
		if finding := former.ReadBack(found.Revision, found.Segment); finding != journal.Conflict {
			t.Errorf("after %d segments: finding %d", segments, finding)
		}
		if _, err := former.Append([]journal.Record{intent("later")}); !fault.Is(err, fault.StaleEpoch) {
			t.Errorf("after %d segments: the former writer goes on: %v", segments, err)
		}
	}
}

// TestRingWithoutSnapshot guards that no segment is overwritten before a snapshot covers it, and that appends go on
// once one does.
func TestRingWithoutSnapshot(t *testing.T) {
	m := newMemory()
	j := take(t, m, "entry-1", 100)
	for i := 1; i < journal.Slots; i++ {
		w, err := j.Append([]journal.Record{intent(fmt.Sprintf("order-%d", i))})
		if err != nil {
			t.Fatalf("segment %d: %v", i+1, err)
		}
		revision, _ := m.put(w)
		j.MarkStored(revision)
	}
	if _, err := j.Append([]journal.Record{intent("over")}); !fault.Is(err, fault.StoreUnavailable) {
		t.Fatalf("no slot is free: %v", err)
	}
	s, due := j.Compact(now, false)
	if !due {
		t.Fatal("no snapshot is due")
	}
	revision, _ := m.putSnapshot(s)
	j.MarkCompacted(revision, s.Snapshot.LastSequence)
	store(t, m, j, outcome("order-1", []byte("printed")))
	reread, err := journal.Open("entry-2", 200, m.contents())
	if err != nil {
		t.Fatal(err)
	}
	if n := len(reread.Records(now)); n != journal.Slots {
		t.Errorf("%d records were read; want %d intents and an outcome", n, journal.Slots-1)
	}
}

// TestRetention guards that a snapshot drops expired and withdrawn records and keeps the others.
func TestRetention(t *testing.T) {
	m := newMemory()
	j := take(t, m, "entry-1", 100)
	expired := intent("expired")
	expired.Expires = now.Add(-time.Second)
	withdrawn := intent("withdrawn")
	withdrawn.Kind = journal.Canceled
	again := intent("withdrawn")
	again.Digest = 2
	store(t, m, j, expired, intent("kept"), intent("withdrawn"), withdrawn)
	store(t, m, j, outcome("kept", []byte("old")), outcome("kept", []byte("new")), again)
	var got []string
	for _, r := range j.Records(now) {
		got = append(got, fmt.Sprintf("%s %d %s", r.Work.Request, r.Kind, r.Result.Output))
	}
	want := []string{"kept 3 ", "withdrawn 3 ", "kept 4 new"}
	if strings.Join(got, ";") != strings.Join(want, ";") {
		t.Errorf("records %q; want %q", got, want)
	}
}

// TestSnapshotFits guards the store's limit of 1 MB: new work is refused before a snapshot would be larger, and the
// outcomes of admitted work are always taken, if need be without their outputs.
func TestSnapshotFits(t *testing.T) {
	m := newMemory()
	j := take(t, m, "entry-1", 100)
	output := make([]byte, journal.MaxOutputBytes)
	n := 0
	for ; j.Fits([]journal.Record{intent("next")}); n++ {
		store(t, m, j, intent(fmt.Sprintf("order-%d", n)))
	}
	for i := range n {
		store(t, m, j, outcome(fmt.Sprintf("order-%d", i), output))
	}
	size, kept := 0, 0
	for _, r := range j.Records(now) {
		size += r.Size()
		if len(r.Result.Output) > 0 {
			kept++
		}
	}
	if size > journal.MaxSnapshotBytes {
		t.Errorf("%d requests need a snapshot of %d bytes; the limit is %d", n, size, journal.MaxSnapshotBytes)
	}
	if n < 500 || kept == 0 {
		t.Errorf("%d requests were admitted and %d outputs kept", n, kept)
	}
}

// TestMissingSegment guards that a journal with a hole is refused instead of read without the records in it.
func TestMissingSegment(t *testing.T) {
	m := newMemory()
	j := take(t, m, "entry-1", 100)
	for range 3 {
		store(t, m, j, intent("order"))
	}
	delete(m.slots, 2)
	if _, err := journal.Open("entry-2", 200, m.contents()); !fault.Is(err, fault.Internal) {
		t.Errorf("error %v; want internal", err)
	}
}

// TestTraces replays traces of the transitions of spec/journal.pml against the aggregate, and guards that both decide
// alike. A line is a writer, a transition and what the aggregate decides.
func TestTraces(t *testing.T) {
	files, err := filepath.Glob("testdata/*.trace")
	if err != nil || len(files) == 0 {
		t.Fatalf("%d traces, error %v", len(files), err)
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
	defer func() { _ = f.Close() }() // it was only read
	r := &replayed{store: newMemory(), writers: map[string]*writer{}}
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
	late    []journal.Write
	terms   uint64
}

type replayed struct {
	store   *memory
	writers map[string]*writer
}

// step carries out one transition and returns what the aggregate decided.
func (r *replayed) step(t *testing.T, name, transition string) string {
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
		return word(stored)
	case "put-lost": // the store carries it out, and the answer is lost
		_, stored := r.store.put(w.write)
		return word(stored)
	case "put-late": // it is under way when its caller gives it up
		w.late = append(w.late, w.write)
		return "sent"
	case "arrives":
		_, stored := r.store.put(w.late[0])
		w.late = w.late[1:]
		return word(stored)
	case "read-back":
		found := r.store.slots[w.write.Slot]
		return [...]string{"", "stored", "retry", "moved", "conflict"}[w.journal.ReadBack(found.Revision, found.Segment)]
	case "abandon":
		w.journal.AbandonWrite()
		return "abandoned"
	case "compact":
		return r.compact(w.journal)
	default:
		t.Fatalf("transition %q", transition)
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

func (r *replayed) compact(j *journal.Journal) string {
	s, due := j.Compact(now, true)
	if !due {
		return "none"
	}
	if revision, ok := r.store.putSnapshot(s); ok {
		return word(j.MarkCompacted(revision, s.Snapshot.LastSequence))
	}
	return "found " + word(j.MarkCompacted(r.store.snapRev, r.store.snapshot.LastSequence))
}

func word(ok bool) string {
	if ok {
		return "stored"
	}
	return "refused"
}
