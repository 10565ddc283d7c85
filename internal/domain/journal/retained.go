package journal

import (
	"time"

	"skylarkstall/internal/domain/ident"
)

// Sizes in bytes. A snapshot is one value of the store, which takes at most 1 MB.
const (
	// MaxSnapshotBytes is the largest snapshot.
	MaxSnapshotBytes = 1 << 20
	// MaxOutputBytes is the largest output that a journal keeps.
	MaxOutputBytes = 32 << 10
	// MaxSegmentBytes is how many bytes of records one segment takes.
	MaxSegmentBytes = 512 << 10

	workLimit    = 768 << 10 // intents and jobs are refused above this size, so that outcomes still fit
	outputLimit  = 960 << 10 // outputs are dropped above this size
	maxMessage   = 256       // longer messages are cut
	recordSize   = 192       // of a record without its texts and contents, with room for the longest varints
	outcomeSpace = recordSize + maxMessage + 2*ident.MaxLen
)

// Size returns an upper bound of the encoded size of the record in bytes.
func (r Record) Size() int {
	return recordSize + len(r.Work.Team) + len(r.Work.Request) + len(r.Job.Kind) + len(r.Job.Spread) +
		len(r.Job.Payload) + len(r.Result.Output) + len(r.Result.Message)
}

// space is what a record takes of a snapshot; work that was begun reserves the space of its outcome.
func (r Record) space() int {
	if r.Kind == Intent || r.Kind == JobAccepted {
		return r.Size() + outcomeSpace
	}
	return r.Size()
}

// recordID tells records apart: a later record with the same id replaces the earlier one.
type recordID struct {
	kind  Kind
	work  ident.WorkID
	index uint32
}

func (r Record) id() recordID { return recordID{r.Kind, r.Work, r.Index} }

// retained is the records that a snapshot would hold.
type retained struct {
	records map[recordID]Record
	order   []recordID // of the first append
	size    int
}

func newRetained() retained { return retained{records: map[recordID]Record{}} }

func (l *retained) addAll(records []Record) {
	for _, r := range records {
		l.add(r)
	}
}

func (l *retained) add(r Record) {
	switch r.Kind {
	case Takeover:
		return // it only fences
	case Canceled:
		if intent := (recordID{kind: Intent, work: r.Work}); l.has(intent) {
			l.remove(intent) // withdrawn before it was started
			return
		}
	}
	id := r.id()
	if l.has(id) {
		l.size -= l.records[id].space()
	} else {
		l.order = append(l.order, id)
	}
	l.records[id] = r
	l.size += r.space()
}

func (l *retained) has(id recordID) bool {
	_, ok := l.records[id]
	return ok
}

// remove drops the record; list and expire pass over what remains of it in the order.
func (l *retained) remove(id recordID) {
	l.size -= l.records[id].space()
	delete(l.records, id)
}

func (l *retained) expire(now time.Time) {
	kept := l.order[:0]
	for _, id := range l.order {
		r, ok := l.records[id]
		switch {
		case !ok:
		case now.After(r.Expires):
			l.remove(id)
		default:
			kept = append(kept, id)
		}
	}
	l.order = kept
}

func (l *retained) list() []Record {
	out := make([]Record, 0, len(l.records))
	listed := make(map[recordID]bool, len(l.records))
	for _, id := range l.order {
		if r, ok := l.records[id]; ok && !listed[id] {
			out = append(out, r)
			listed[id] = true
		}
	}
	return out
}

// fits reports whether the records may be appended. Only new work is refused: an outcome uses the space that its work
// reserved.
func (l *retained) fits(records []Record) bool {
	size := l.size
	for _, r := range records {
		if r.Kind == Intent || r.Kind == JobAccepted {
			size += r.space()
			if size > workLimit {
				return false
			}
		}
	}
	return true
}

// trim cuts what would make a snapshot too large: long messages and outputs.
func (l *retained) trim(records []Record) []Record {
	out := make([]Record, len(records))
	size := l.size
	for i, r := range records {
		if len(r.Result.Message) > maxMessage {
			r.Result.Message = r.Result.Message[:maxMessage]
		}
		if n := len(r.Result.Output); n > MaxOutputBytes || n > 0 && size+n > outputLimit {
			r.Result.Output, r.Result.OutputLost = nil, true
		}
		size += r.Size()
		out[i] = r
	}
	return out
}
