package scheduler

import (
	"context"
	"fmt"
	"testing"
	"time"

	"skylarkstall/internal/domain/admission"
	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/objective"
	"skylarkstall/internal/domain/placement"
	"skylarkstall/internal/domain/resource"
	"skylarkstall/internal/domain/route"
	"skylarkstall/internal/domain/workflow"
	"skylarkstall/internal/port"
)

// slowLeaderKind is a kind of jobs of two steps, with as many tasks a second in proportion as on the large cell of the users.
type slowLeaderKind struct {
	queue    route.Queue
	jobs     float64 // per second
	tasks    int     // of each step
	duration time.Duration
}

var slowLeaderKinds = []slowLeaderKind{
	{
		queue: route.Queue{Name: "urgent", Priority: 0, Objective: route.Objective{Stretch: 1.5, Slack: 250 * time.Millisecond}},
		jobs:  8, tasks: 10, duration: 850 * time.Millisecond,
	},
	{
		queue: route.Queue{Name: "wide", Priority: 2, Objective: route.Objective{Stretch: 2.2, Slack: 1200 * time.Millisecond}},
		jobs:  1.2, tasks: 40, duration: 3200 * time.Millisecond,
	},
}

// slowLeader is a leader that sends a number of starts a second, however much room its workers have, and the processes that take in jobs for
// it. It is driven by steps of time.
type slowLeader struct {
	*Scheduler
	now       time.Time
	perSecond float64 // starts that it sends
	credit    float64
	unsent    []launch
	running   []endingRun
	gate      admission.Gate
	due       []float64
	jobs      []*slowLeaderJob
}

type endingRun struct {
	launch
	duration time.Duration
	at       time.Time
}

// slowLeaderJob is a job that was submitted.
type slowLeaderJob struct {
	kind      int
	submitted time.Time
	entry     *jobEntry // nil if it was refused
	starts    int
	completed time.Time
}

func newSlowLeader(t *testing.T, perSecond float64) *slowLeader {
	t.Helper()
	l := &slowLeader{Scheduler: newLeaderFor(t), now: time.Now(), perSecond: perSecond, due: make([]float64, len(slowLeaderKinds))}
	l.starts = placement.NewStartLimit(0.1)
	for i := range 100 {
		addTestWorker(l.Scheduler, ident.WorkerID(fmt.Sprintf("x%03d", i)), 1_000_000, l.now)
	}
	config := route.Config{Version: 1}
	for _, k := range slowLeaderKinds {
		k.queue.Service, k.queue.MaxAttempts = "desk", 3
		config.Queues = append(config.Queues, k.queue)
	}
	l.table.Apply(config)
	return l
}

// run submits jobs at a multiple of their rates for some time.
func (l *slowLeader) run(length time.Duration, load float64) {
	const tick = 20 * time.Millisecond
	for elapsed := time.Duration(0); elapsed < length; elapsed += tick {
		for i, k := range slowLeaderKinds {
			for l.due[i] += load * k.jobs * tick.Seconds(); l.due[i] >= 1; l.due[i]-- {
				l.submit(i)
			}
		}
		l.unsent = append(l.unsent, placeAt(l.Scheduler, l.now)...)
		l.send(l.perSecond * tick.Seconds())
		l.endRuns()
		l.now = l.now.Add(tick)
		if elapsed%roomInterval < tick {
			l.mu.Lock()
			l.observeStarts(l.now)
			l.observeRoom(l.now)
			l.mu.Unlock()
		}
		if elapsed%(2*roomInterval) < tick {
			l.gate.Observe(l.Room(), l.now)
		}
	}
}

// submit submits a job to a process, which refuses it if the leader has stated so.
func (l *slowLeader) submit(kind int) {
	k, job := slowLeaderKinds[kind], &slowLeaderJob{kind: kind, submitted: l.now}
	l.jobs = append(l.jobs, job)
	spec := workflow.Spec{ID: workflow.ID(fmt.Sprintf("j%d", len(l.jobs)))}
	for i := range 2 {
		step := workflow.Step{Count: k.tasks, Size: resource.Vector{MilliCores: 100}, Estimate: k.duration}
		if i > 0 {
			step.DependsOn = []int{i - 1}
		}
		spec.Steps = append(spec.Steps, step)
	}
	queue := l.table.Current(route.Queue{Name: k.queue.Name})
	chain := admission.LongestChain(&spec)
	request := admission.Request{
		Job: spec.ID, Level: admission.Level{Service: "desk", Priority: queue.Priority}, LatestStart: chain.LatestStart(queue.Objective, 0),
	}
	if verdict := l.gate.Shed(request, l.now); verdict.Refused() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.acceptJob(port.AcceptedJob{Spec: spec, Queue: queue, AcceptedAt: l.now}, 0)
	job.entry = l.Scheduler.jobs[spec.ID]
}

// send sends some of the starts that were decided.
func (l *slowLeader) send(count float64) {
	l.credit = min(l.credit, 1) + count
	for ; l.credit >= 1 && len(l.unsent) > 0; l.credit-- {
		start := l.unsent[0]
		l.unsent = l.unsent[1:]
		l.startEnded(time.Now())
		l.mu.Lock()
		start.entry.workflow.MarkStarted()
		l.mu.Unlock()
		for _, job := range l.jobs {
			if job.entry == start.entry {
				job.starts++
			}
		}
		duration := slowLeaderKinds[0].duration
		if start.entry.queue.Priority > 0 {
			duration = slowLeaderKinds[1].duration
		}
		l.running = append(l.running, endingRun{start, duration, l.now.Add(duration)})
	}
}

// endRuns ends the runs whose time is over.
func (l *slowLeader) endRuns() {
	l.mu.Lock()
	defer l.mu.Unlock()
	left := l.running[:0]
	for _, r := range l.running {
		if r.at.After(l.now) {
			left = append(left, r)
			continue
		}
		r.monitor.worker.Release(r.request.RunRef)
		l.history(r.entry.queue.Name).Observe(r.duration)
		l.applyEnd(r.monitor, workflow.End{Run: r.request.RunRef, Outcome: workflow.Done})
	}
	l.running = left
	for _, job := range l.jobs {
		if job.entry != nil && job.completed.IsZero() && job.entry.workflow.State() == workflow.Completed {
			job.completed = l.now
		}
	}
}

// slowLeaderResult counts the jobs of a kind.
type slowLeaderResult struct{ submitted, refused, inTime, starts, usefulStarts int }

// results counts the jobs that were submitted in a period.
func (l *slowLeader) results(from, to time.Time) []slowLeaderResult {
	results := make([]slowLeaderResult, len(slowLeaderKinds))
	for _, job := range l.jobs {
		if job.submitted.Before(from) || job.submitted.After(to) {
			continue
		}
		k, result := slowLeaderKinds[job.kind], &results[job.kind]
		result.submitted++
		result.starts += job.starts
		limits := objective.LimitsOf(k.queue.Objective, job.submitted, 2*k.duration)
		switch {
		case job.entry == nil:
			result.refused++
		case !job.completed.IsZero() && !job.completed.After(limits.InTime):
			result.inTime++
			result.usefulStarts += job.starts
		}
	}
	return results
}

// TestSlowLeaderStarvesLowestPriority guards against a leader that starts half of what is asked and takes in everything: all jobs are late, and those of
// the lowest priority get nothing.
func TestSlowLeaderStarvesLowestPriority(t *testing.T) {
	const part = 0.5
	l := newSlowLeader(t, part*(8*20+1.2*80))
	l.run(10*time.Second, 1) // to learn how long tasks take, and that starts do not suffice
	from := l.now
	l.run(90*time.Second, 1)
	to := l.now
	l.run(20*time.Second, 0.3)
	starts, useful := 0, 0
	for i, r := range l.results(from, to) {
		t.Logf("%s: %+v", slowLeaderKinds[i].queue.Name, r)
		starts, useful = starts+r.starts, useful+r.usefulStarts
		if served := float64(r.inTime) / float64(r.submitted); served < 0.8*part {
			t.Errorf("%s: %.2f of the jobs are in time, want four fifths of the part that the leader can start, %.2f", slowLeaderKinds[i].queue.Name, served, part)
		}
	}
	if 10*useful < 8*starts {
		t.Errorf("%d of %d starts are of jobs that are in time, want four fifths", useful, starts)
	}
	for i, r := range l.results(to.Add(10*time.Second), l.now.Add(-10*time.Second)) {
		if r.refused > 0 || r.inTime < r.submitted {
			t.Errorf("%s, 10 s after the overload: %+v, want all in time", slowLeaderKinds[i].queue.Name, r)
		}
	}
}

// TestSlowLeaderRecordsRefusals guards against jobs that are stored while the leader starts less than is asked, because their process does not reach
// the store and asks the leader to record the refusal.
func TestSlowLeaderRecordsRefusals(t *testing.T) {
	s := newSharedLeader(t)
	s.ports.Store = recordStore{}
	s.room.records = port.NewRefusalRecorder(grantingStore{})
	level := admission.Level{Service: "desk", Priority: 2}
	s.room.stated.SetShedding(level, admission.Shedding{Refused: 1, Wait: 2 * time.Second})
	r := heavyRequest("new", "")
	r.Record, r.Chain = true, admission.Chain{Estimate: time.Second, Tasks: 1}
	if v := admitAt(t, s, r); v.Reason != admission.LeaderBehind || v.RetryAfter < 2*time.Second {
		t.Errorf("verdict %+v, want a refusal for 2 s or more", v)
	}
}

// grantingStore grants leases, and every write succeeds.
type grantingStore struct{ recordStore }

func (grantingStore) Grant(context.Context, time.Duration) (port.LeaseID, error) { return 1, nil }

// TestNothingIsShedBeforeRunsAreKnown replays a leader that refuses jobs, and to which runs of an earlier term are not known. It guards against refusals
// by what waits for these.
func TestNothingIsShedBeforeRunsAreKnown(t *testing.T) {
	l := newSlowLeader(t, 128)
	l.run(10*time.Second, 1)
	if stated := l.Room(); stated.IsZero() || !l.demand.shedder.Active() {
		t.Fatal("nothing is refused although twice the starts are asked for")
	}
	l.accounted = false
	observeRoomAt(l.Scheduler, l.now)
	if stated := l.Room(); !stated.IsZero() {
		t.Errorf("statement %+v", stated)
	}
}
