// Package meter collects counters for metrics. It wraps the interfaces for calls between processes and to the store,
// and observes the events of the timeline. The services do not depend on it, and it influences no decision.
package meter

import (
	"sync"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/timeline"
	"skylarkstall/internal/domain/work"
	"skylarkstall/internal/fault"
)

// Sink receives individual measurements.
type Sink interface {
	// RecordWait records how long an attempt waited at its owner before it started.
	RecordWait(class work.Class, wait time.Duration)
}

// Discard is a sink that discards all measurements.
type Discard struct{}

// RecordWait implements Sink.
func (Discard) RecordWait(work.Class, time.Duration) {}

// QueueKey identifies the waiting tasks of a team and class.
type QueueKey struct {
	Class work.Class
	Team  ident.TeamID
}

// CallKey identifies calls by name and outcome.
type CallKey struct {
	Name    string
	Outcome string // ok or the kind of the error
}

// Snapshot is a copy of the counters since the start of the process.
type Snapshot struct {
	WaitingTasks map[QueueKey]int // number of tasks that wait at present
	Refusals     map[string]int64 // error responses to callers by kind of error
	Retries      int64            // failed calls with a retryable error
	Events       map[timeline.Kind]int64
	StoreCalls   map[CallKey]int64
	PeerCalls    map[CallKey]int64
}

// Meter holds the counters. It is safe for concurrent use.
type Meter struct {
	sink Sink

	mu       sync.Mutex
	waiting  map[string]waitingTask // by taskKey
	counters Snapshot               // WaitingTasks is not used
}

// waitingTask is a task of which an attempt waits for its start.
type waitingTask struct {
	queue QueueKey
	since time.Time
}

// New returns a meter with all counters at zero.
func New(sink Sink) *Meter {
	return &Meter{
		sink: sink, waiting: map[string]waitingTask{},
		counters: Snapshot{
			Refusals: map[string]int64{}, Events: map[timeline.Kind]int64{},
			StoreCalls: map[CallKey]int64{}, PeerCalls: map[CallKey]int64{},
		},
	}
}

// Snapshot returns a copy of the counters.
func (m *Meter) Snapshot() Snapshot {
	m.mu.Lock()
	defer m.mu.Unlock()
	snapshot := Snapshot{
		WaitingTasks: map[QueueKey]int{}, Refusals: clone(m.counters.Refusals), Retries: m.counters.Retries,
		Events: clone(m.counters.Events), StoreCalls: clone(m.counters.StoreCalls), PeerCalls: clone(m.counters.PeerCalls),
	}
	for _, task := range m.waiting {
		snapshot.WaitingTasks[task.queue]++
	}
	return snapshot
}

func clone[K comparable](counts map[K]int64) map[K]int64 {
	copied := make(map[K]int64, len(counts))
	for k, n := range counts {
		copied[k] = n
	}
	return copied
}

// CountRefusal counts an error response to a caller.
func (m *Meter) CountRefusal(kind fault.Kind) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counters.Refusals[kind.String()]++
}

// RecordEvent counts an event of the timeline. The start of a task ends its wait.
func (m *Meter) RecordEvent(now time.Time, e timeline.Event) {
	m.mu.Lock()
	m.counters.Events[e.Kind]++
	key := e.Work.String() + e.Task
	task, started := m.waiting[key]
	started = started && e.Kind == timeline.Started
	if started {
		delete(m.waiting, key)
	}
	m.mu.Unlock()
	if started {
		m.sink.RecordWait(task.queue.Class, now.Sub(task.since))
	}
}

// taskKey returns the key of a task in Meter.waiting. As in events, the index of the first task is omitted.
func taskKey(task ident.TaskID) string {
	if task.Index == 0 {
		return task.Work.String()
	}
	return task.String()
}

// beginWait records that a task waits for its start.
func (m *Meter) beginWait(now time.Time, spec work.Spec) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.waiting[taskKey(spec.ID)] = waitingTask{QueueKey{spec.Class, spec.ID.Work.Team}, now}
}

// endWait records that a task does not wait any more, whether it started or not.
func (m *Meter) endWait(task ident.TaskID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.waiting, taskKey(task))
}

func (m *Meter) countStoreCall(name string, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counters.StoreCalls[CallKey{name, outcomeLabel(err)}]++
}

// countPeerCall counts a call to another process. If mayRetry is set, a retryable error counts as a retry.
func (m *Meter) countPeerCall(name string, err error, mayRetry bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counters.PeerCalls[CallKey{name, outcomeLabel(err)}]++
	if mayRetry && err != nil && fault.KindOf(err).Response().Retryable {
		m.counters.Retries++
	}
}

// outcomeLabel returns the value of CallKey.Outcome for the error of a call.
func outcomeLabel(err error) string {
	if err == nil {
		return "ok"
	}
	return fault.KindOf(err).String()
}
