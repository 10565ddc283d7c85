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
	// Waited tells how long an attempt waited at its owner before it started.
	Waited(class work.Class, wait time.Duration)
}

// Discard is a sink that keeps nothing.
type Discard struct{}

// Waited implements Sink.
func (Discard) Waited(work.Class, time.Duration) {}

// Queue names the waiting tasks of a team and class.
type Queue struct {
	Class work.Class
	Team  ident.TeamID
}

// Call names calls by what was called and how they ended: ok or the kind of error.
type Call struct {
	Name    string
	Outcome string
}

// Reading is a copy of the counts since the start.
type Reading struct {
	Waiting  map[Queue]int // now
	Refusals map[string]int64
	Retries  int64 // attempts that another attempt may follow
	Events   map[timeline.Kind]int64
	Store    map[Call]int64
	Peers    map[Call]int64
}

// Meter holds the counts.
type Meter struct {
	sink Sink

	mu      sync.Mutex
	waiting map[string]placement // by task
	reading Reading
}

// placement is an attempt that has not started.
type placement struct {
	queue Queue
	since time.Time
}

// New returns a meter without counts.
func New(sink Sink) *Meter {
	return &Meter{
		sink: sink, waiting: map[string]placement{},
		reading: Reading{
			Refusals: map[string]int64{}, Events: map[timeline.Kind]int64{},
			Store: map[Call]int64{}, Peers: map[Call]int64{},
		},
	}
}

// Reading returns the counts.
func (m *Meter) Reading() Reading {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := Reading{
		Waiting: map[Queue]int{}, Refusals: clone(m.reading.Refusals), Retries: m.reading.Retries,
		Events: clone(m.reading.Events), Store: clone(m.reading.Store), Peers: clone(m.reading.Peers),
	}
	for _, p := range m.waiting {
		r.Waiting[p.queue]++
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

// Refused counts an answer to a caller that is an error.
func (m *Meter) Refused(kind fault.Kind) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reading.Refusals[kind.String()]++
}

// Event counts an event of the time line. A start ends the wait of its task.
func (m *Meter) Event(now time.Time, e timeline.Event) {
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
		m.sink.Waited(p.queue.Class, now.Sub(p.since))
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
	m.waiting[key(spec.ID)] = placement{Queue{spec.Class, spec.ID.Work.Team}, now}
}

func (m *Meter) ended(task ident.TaskID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.waiting, key(task))
}

func (m *Meter) storeCall(name string, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reading.Store[Call{name, outcome(err)}]++
}

// peerCall counts a call; mayRepeat tells whether another attempt follows a refusal.
func (m *Meter) peerCall(name string, err error, mayRepeat bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reading.Peers[Call{name, outcome(err)}]++
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
