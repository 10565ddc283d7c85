// Package meter counts what passes through a process: it decorates the calls between processes and to the store, and
// hears the events of the time line. The services do not know of it, and no decision depends on it.
package meter

import (
	"sync"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/timeline"
	"skylarkstall/internal/domain/work"
	"skylarkstall/internal/fault"
)

// Sink takes single measurements.
type Sink interface {
	// RecordWait tells how long an attempt waited at its owner before it started.
	RecordWait(class work.Class, wait time.Duration)
}

// Discard is a sink that keeps nothing.
type Discard struct{}

// RecordWait implements Sink.
func (Discard) RecordWait(work.Class, time.Duration) {}

// QueueKey names the waiting tasks of a team and class.
type QueueKey struct {
	Class work.Class
	Team  ident.TeamID
}

// CallKey names calls by what was called and how they ended: ok or the kind of error.
type CallKey struct {
	Name    string
	Outcome string
}

// Snapshot is a copy of the counts since the start.
type Snapshot struct {
	WaitingTasks map[QueueKey]int // now
	Refusals     map[string]int64
	Retries      int64 // attempts that another attempt may follow
	Events       map[timeline.Kind]int64
	StoreCalls   map[CallKey]int64
	PeerCalls    map[CallKey]int64
}

// Meter holds the counts.
type Meter struct {
	sink Sink

	mu      sync.Mutex
	waiting map[string]placement // by task
	reading Snapshot
}

// placement is an attempt that has not started.
type placement struct {
	queue QueueKey
	since time.Time
}

// New returns a meter without counts.
func New(sink Sink) *Meter {
	return &Meter{
		sink: sink, waiting: map[string]placement{},
		reading: Snapshot{
			Refusals: map[string]int64{}, Events: map[timeline.Kind]int64{},
			StoreCalls: map[CallKey]int64{}, PeerCalls: map[CallKey]int64{},
		},
	}
}

// Snapshot returns the counts.
func (m *Meter) Snapshot() Snapshot {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := Snapshot{
		WaitingTasks: map[QueueKey]int{}, Refusals: clone(m.reading.Refusals), Retries: m.reading.Retries,
		Events: clone(m.reading.Events), StoreCalls: clone(m.reading.StoreCalls), PeerCalls: clone(m.reading.PeerCalls),
	}
	for _, p := range m.waiting {
		r.WaitingTasks[p.queue]++
	}
	return r
}

func clone[K comparable](counts map[K]int64) map[K]int64 {
	out := make(map[K]int64, len(counts))
	for k, n := range counts {
		out[k] = n
	}
	return out
}

// CountRefusal counts an answer to a caller that is an error.
func (m *Meter) CountRefusal(kind fault.Kind) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reading.Refusals[kind.String()]++
}

// RecordEvent counts an event of the time line. A start ends the wait of its task.
func (m *Meter) RecordEvent(now time.Time, e timeline.Event) {
	m.mu.Lock()
	m.reading.Events[e.Kind]++
	key := e.Work.String() + e.Task
	p, ok := m.waiting[key]
	ok = ok && e.Kind == timeline.Started
	if ok {
		delete(m.waiting, key)
	}
	m.mu.Unlock()
	if ok {
		m.sink.RecordWait(p.queue.Class, now.Sub(p.since))
	}
}

// key names a task as events do: they leave out the index of the first task.
func key(task ident.TaskID) string {
	if task.Index == 0 {
		return task.Work.String()
	}
	return task.String()
}

func (m *Meter) wait(now time.Time, spec work.Spec) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.waiting[key(spec.ID)] = placement{QueueKey{spec.Class, spec.ID.Work.Team}, now}
}

func (m *Meter) ended(task ident.TaskID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.waiting, key(task))
}

func (m *Meter) storeCall(name string, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reading.StoreCalls[CallKey{name, outcome(err)}]++
}

// peerCall counts a call; mayRepeat tells whether another attempt follows a refusal.
func (m *Meter) peerCall(name string, err error, mayRepeat bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reading.PeerCalls[CallKey{name, outcome(err)}]++
	if mayRepeat && err != nil && fault.KindOf(err).Response().Retryable {
		m.reading.Retries++
	}
}

func outcome(err error) string {
	if err == nil {
		return "ok"
	}
	return fault.KindOf(err).String()
}
