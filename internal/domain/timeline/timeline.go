// Package timeline records the events of one process with hybrid logical timestamps, which order the events of all
// processes so that a cause precedes its effect.
package timeline

import (
	"fmt"
	"math"
	"sync"
	"time"

	"skylarkstall/internal/domain/ident"
)

// Timestamp is a timestamp of a hybrid logical clock.
type Timestamp struct {
	Wall    int64  // nanoseconds since the Unix epoch
	Logical uint32 // orders timestamps with the same wall time
}

// Before compares by wall time, then by logical value.
func (s Timestamp) Before(o Timestamp) bool {
	return s.Wall < o.Wall || s.Wall == o.Wall && s.Logical < o.Logical
}

// Kind is the kind of an event.
type Kind string

// Event kinds. The texts are part of the timeline format.
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

// Event is an event in one process.
type Event struct {
	At      Timestamp
	Process ident.ProcessID
	Kind    Kind
	Work    ident.WorkID // zero if the event does not concern a request or job
	Task    string       // formatted task index and attempt; empty if the event does not concern a task
	Worker  ident.WorkerID
	Detail  string
}

// String formats the event as one line of text.
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

// Recorder holds the hybrid logical clock of one process and a ring buffer of its latest events.
type Recorder struct {
	mu      sync.Mutex
	process ident.ProcessID
	last    Timestamp
	buffer  []Event                // ring buffer
	next    int                    // index at which the next event is stored
	full    bool                   // every element of buffer holds an event
	observe func(time.Time, Event) // may be nil
}

// NewRecorder returns a recorder that keeps the latest size events, at least one.
func NewRecorder(process ident.ProcessID, size int) *Recorder {
	return &Recorder{process: process, buffer: make([]Event, max(size, 1))}
}

// SetObserver sets a function that is called with each recorded event. It must be called before the recorder is used.
func (r *Recorder) SetObserver(observe func(time.Time, Event)) { r.observe = observe }

// Now advances the clock and returns its new value, for use in a message to a peer.
func (r *Recorder) Now(now time.Time) Timestamp {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.advance(now, Timestamp{})
}

// maxClockSkew is the maximum time by which a peer's clock may be ahead. A timestamp that is further ahead is ignored:
// otherwise a single peer with a wrong clock would permanently advance the clocks of the whole cell.
const maxClockSkew = time.Minute

// Observe advances the clock past the timestamp of a received message.
func (r *Recorder) Observe(now time.Time, remote Timestamp) {
	if remote.Wall > now.Add(maxClockSkew).UnixNano() {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advance(now, remote)
}

func (r *Recorder) advance(now time.Time, remote Timestamp) Timestamp {
	next := Timestamp{Wall: max(now.UnixNano(), r.last.Wall, remote.Wall)}
	var logical uint32
	if next.Wall == r.last.Wall {
		logical = r.last.Logical
	}
	if next.Wall == remote.Wall {
		logical = max(logical, remote.Logical)
	}
	switch {
	case next.Wall != r.last.Wall && next.Wall != remote.Wall: // the local wall clock is the latest
	case logical == math.MaxUint32:
		next.Wall++
	default:
		next.Logical = logical + 1
	}
	r.last = next
	return next
}

// Record sets the event's timestamp and process and stores it, overwriting the oldest event if the buffer is full.
func (r *Recorder) Record(now time.Time, event Event) {
	if r.observe != nil {
		r.observe(now, event)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	event.At = r.advance(now, Timestamp{})
	event.Process = r.process
	r.buffer[r.next] = event
	r.next = (r.next + 1) % len(r.buffer)
	r.full = r.full || r.next == 0
}

// Filter selects events. A zero field matches all events.
type Filter struct {
	Work   ident.WorkID
	Worker ident.WorkerID
	Since  time.Time
}

// Match reports whether the event matches all nonzero fields of the filter.
func (f Filter) Match(e Event) bool {
	return (f.Work == ident.WorkID{} || f.Work == e.Work) &&
		(f.Worker == "" || f.Worker == e.Worker) &&
		(f.Since.IsZero() || e.At.Wall >= f.Since.UnixNano())
}

// Select returns the stored events that match the filter, oldest first.
func (r *Recorder) Select(filter Filter) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	start, count := 0, r.next
	if r.full {
		start, count = r.next, len(r.buffer)
	}
	var events []Event
	for i := range count {
		if e := r.buffer[(start+i)%len(r.buffer)]; filter.Match(e) {
			events = append(events, e)
		}
	}
	return events
}
