package journal

import (
	"time"

	"skylarkstall/internal/domain/ident"
)

// Sizes in bytes. A snapshot is one value of the key-value store, which accepts at most 1 MB.
const (
	// MaxSnapshotBytes is the maximum size of a snapshot.
	MaxSnapshotBytes = 1 << 20
	// MaxOutputBytes is the maximum size of a task output that is stored; larger outputs are dropped.
	MaxOutputBytes = 32 << 10
	// MaxSegmentBytes is the maximum size of the records in one segment.
	MaxSegmentBytes = 512 << 10

	newWorkLimit    = 768 << 10 // above this size intents and jobs are rejected, so that outcomes still fit
	outputLimit     = 960 << 10 // above this size outputs are dropped
	maxMessageBytes = 256       // longer messages are truncated
	recordOverhead  = 192       // encoded size of a record without its variable-length fields, with the longest varints
	outcomeReserve  = recordOverhead + maxMessageBytes + 2*ident.MaxIDLength
)

// Size returns an upper bound of the encoded size of the record in bytes.
func (r Record) Size() int {
	return recordOverhead + len(r.Work.Team) + len(r.Work.Request) + len(r.Job.Kind) + len(r.Job.Spread) +
		len(r.Job.Payload) + len(r.Result.Output) + len(r.Result.Message)
}

// reservedSize returns how many bytes of a snapshot the record uses. Intents and accepted jobs also reserve the size of
// an outcome.
func (r Record) reservedSize() int {
	if r.Kind == Intent || r.Kind == JobAccepted {
		return r.Size() + outcomeReserve
	}
	return r.Size()
}

// recordID identifies a record: a later record with the same id replaces the earlier one.
type recordID struct {
	kind  Kind
	work  ident.WorkID
	index uint32
}

func (r Record) id() recordID { return recordID{r.Kind, r.Work, r.Index} }

// recordSet is the set of records that a snapshot written now would contain.
type recordSet struct {
	records        map[recordID]Record
	insertionOrder []recordID // ids in the order of their first append; may contain removed records and duplicates
	size           int
}

func newRecordSet() recordSet { return recordSet{records: map[recordID]Record{}} }

func (s *recordSet) addAll(records []Record) {
	for _, r := range records {
		s.add(r)
	}
}

func (s *recordSet) add(r Record) {
	switch r.Kind {
	case Takeover:
		return // it only fences the previous writer
	case Canceled:
		if intent := (recordID{kind: Intent, work: r.Work}); s.has(intent) {
			s.remove(intent) // the intent was withdrawn before the work started
			return
		}
	}
	id := r.id()
	if s.has(id) {
		s.size -= s.records[id].reservedSize()
	} else {
		s.insertionOrder = append(s.insertionOrder, id)
	}
	s.records[id] = r
	s.size += r.reservedSize()
}

func (s *recordSet) has(id recordID) bool {
	_, ok := s.records[id]
	return ok
}

// remove deletes a record. Its id stays in insertionOrder, where list and removeExpired skip it.
func (s *recordSet) remove(id recordID) {
	s.size -= s.records[id].reservedSize()
	delete(s.records, id)
}

func (s *recordSet) removeExpired(now time.Time) {
	remaining := s.insertionOrder[:0]
	for _, id := range s.insertionOrder {
		r, ok := s.records[id]
		switch {
		case !ok:
		case now.After(r.Expires):
			s.remove(id)
		default:
			remaining = append(remaining, id)
		}
	}
	s.insertionOrder = remaining
}

func (s *recordSet) list() []Record {
	out := make([]Record, 0, len(s.records))
	listed := make(map[recordID]bool, len(s.records))
	for _, id := range s.insertionOrder {
		if r, ok := s.records[id]; ok && !listed[id] {
			out = append(out, r)
			listed[id] = true
		}
	}
	return out
}

// fits reports whether the records may be appended. Only new work is rejected: an outcome uses the space that was
// reserved for it when its work was recorded.
func (s *recordSet) fits(records []Record) bool {
	size := s.size
	for _, r := range records {
		if r.Kind == Intent || r.Kind == JobAccepted {
			size += r.reservedSize()
			if size > newWorkLimit {
				return false
			}
		}
	}
	return true
}

// truncate returns the records with long messages truncated and with outputs dropped that would make a snapshot too
// large.
func (s *recordSet) truncate(records []Record) []Record {
	out := make([]Record, len(records))
	size := s.size
	for i, r := range records {
		if len(r.Result.Message) > maxMessageBytes {
			r.Result.Message = r.Result.Message[:maxMessageBytes]
		}
		if n := len(r.Result.Output); n > MaxOutputBytes || n > 0 && size+n > outputLimit {
			r.Result.Output, r.Result.OutputLost = nil, true
		}
		size += r.Size()
		out[i] = r
	}
	return out
}
