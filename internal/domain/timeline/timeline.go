// Package timeline records events of one process, stamped so that the events of all processes can be put in one order
// in which a cause comes before its effect.
package timeline

import (
	"fmt"
	"math"
	"sync"
	"time"

	"skylarkstall/internal/domain/ident"
)

// Timestamp is a reading of a hybrid logical clock.
type Timestamp struct {
	Wall    int64  // nanoseconds since the Unix epoch
	Logical uint32 // orders stamps of the same wall time
}

// Before reports whether s orders before o.
func (s Timestamp) Before(o Timestamp) bool {
	return s.Wall < o.Wall || s.Wall == o.Wall && s.Logical < o.Logical
}

// Kind is a kind of event.
type Kind string

// Kinds of events.
const (
	Received           Kind = "received"
	Queued             Kind = "queued"
	Placed             Kind = "placed"
	Started            Kind = "started"
	Finished           Kind = "finished"
	Refused            Kind = "refused"
	Responded          Kind = "answered"
	JobAccepted        Kind = "job accepted"
	JobEnded           Kind = "job ended"
	CancelRequested    Kind = "cancel requested"
	Moved              Kind = "moved"
	Claimed            Kind = "claimed"
	TakenOver          Kind = "taken over"
	LeaseLost          Kind = "lease lost"
	LeaseReleased      Kind = "released"
	PartitionTakenOver Kind = "partition taken over"
	PartitionLost      Kind = "partition lost"
	RevisionActivated  Kind = "revision in force"
	PeerUp             Kind = "peer up"
	PeerDown           Kind = "peer down"
	ConnectionReplaced Kind = "connection replaced"
	WorkerDraining     Kind = "worker leaving"
	Mitigated          Kind = "relieved"
	Probation          Kind = "probation"
	KindStopped        Kind = "kind stopped"
	DrainStarted       Kind = "drain started"
	StoreFailed        Kind = "store failed"
	StoreRecovered     Kind = "store recovered"
	ProcessPaused      Kind = "process was paused"
)

// Event is one thing that happened in one process.
type Event struct {
	At      Timestamp
	Process ident.ProcessID
	Kind    Kind
	Work    ident.WorkID // zero when the event is not about work
	Task    string       // task index and attempt for people; empty when the event is not about a task
	Worker  ident.WorkerID
	Detail  string
}

// String returns one line for people.
func (e Event) String() string {
	line := fmt.Sprintf("%s %-10s %-20s", time.Unix(0, e.At.Wall).UTC().Format("15:04:05.000"), e.Process, e.Kind)
	if e.Work.Request != "" {
		line += " " + e.Work.String() + e.Task
	}
	if e.Worker != "" {
		line += " on " + string(e.Worker)
	}
	if e.Detail != "" {
		line += " (" + e.Detail + ")"
	}
	return line
}

// Recorder is the aggregate of one process's clock and ring of events.
type Recorder struct {
	mu      sync.Mutex
	process ident.ProcessID
	last    Timestamp
	ring    []Event
	next    int
	full    bool
	hear    func(time.Time, Event) // may be nil
}

// NewRecorder returns a recorder that keeps the last size events, at least 1.
func NewRecorder(process ident.ProcessID, size int) *Recorder {
	return &Recorder{process: process, ring: make([]Event, max(size, 1))}
}

// SetObserver makes the recorder tell each event that it records. Call it before the recorder is used.
func (r *Recorder) SetObserver(hear func(time.Time, Event)) { r.hear = hear }

// Now advances the clock and returns a stamp, for a message to a peer.
func (r *Recorder) Now(now time.Time) Timestamp {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.advance(now, Timestamp{})
}

// maxAhead is how far a peer's clock may be ahead. A stamp further ahead is ignored: one peer with a wrong clock would
// otherwise move the clocks of the whole cell there for good.
const maxAhead = time.Minute

// Observe moves the clock past the stamp of a received message.
func (r *Recorder) Observe(now time.Time, remote Timestamp) {
	if remote.Wall > now.Add(maxAhead).UnixNano() {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advance(now, remote)
}

func (r *Recorder) advance(now time.Time, remote Timestamp) Timestamp {
	next := Timestamp{Wall: max(now.UnixNano(), r.last.Wall, remote.Wall)}
	var before uint32
	if next.Wall == r.last.Wall {
		before = r.last.Logical
	}
	if next.Wall == remote.Wall {
		before = max(before, remote.Logical)
	}
	switch {
	case next.Wall != r.last.Wall && next.Wall != remote.Wall: // the wall clock moved on
	case before == math.MaxUint32:
		next.Wall++
	default:
		next.Logical = before + 1
	}
	r.last = next
	return next
}

// Record stamps the event and keeps it in place of the oldest.
func (r *Recorder) Record(now time.Time, event Event) {
	if r.hear != nil {
		r.hear(now, event)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	event.At = r.advance(now, Timestamp{})
	event.Process = r.process
	r.ring[r.next] = event
	r.next = (r.next + 1) % len(r.ring)
	r.full = r.full || r.next == 0
}

// Filter selects events; zero fields select all.
type Filter struct {
	Work   ident.WorkID
	Worker ident.WorkerID
	Since  time.Time
}

// Match reports whether the filter selects the event.
func (f Filter) Match(e Event) bool {
	return (f.Work == ident.WorkID{} || f.Work == e.Work) &&
		(f.Worker == "" || f.Worker == e.Worker) &&
		(f.Since.IsZero() || e.At.Wall >= f.Since.UnixNano())
}

// Select returns the kept events that match, oldest first.
func (r *Recorder) Select(filter Filter) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	start, count := 0, r.next
	if r.full {
		start, count = r.next, len(r.ring)
	}
	var events []Event
	for i := range count {
		if e := r.ring[(start+i)%len(r.ring)]; filter.Match(e) {
			events = append(events, e)
		}
	}
	return events
}
