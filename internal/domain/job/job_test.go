package job_test

import (
	"testing"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/job"
	"skylarkstall/internal/domain/journal"
	"skylarkstall/internal/domain/work"
	"skylarkstall/internal/fault"
)

var start = time.Unix(1_000_000, 0)

var id = ident.WorkID{Team: "vembanad", Request: "job-1"}

func newSpec(class work.Class, tasks uint32) journal.JobSpec {
	return journal.JobSpec{
		Kind: "k", Class: class, Tasks: tasks, Repeatable: true, Retries: 1, Deadline: start.Add(time.Hour),
	}
}

func ok(spec work.Spec) job.AttemptResult {
	return job.AttemptResult{Outcome: work.Outcome{Task: spec.ID, Attempt: spec.Attempt, OK: true}}
}

var (
	failed  = job.AttemptResult{Outcome: work.Outcome{Message: "exit 1"}}
	stopped = job.AttemptResult{Outcome: work.Outcome{Message: work.StoppedMessage}}
	refused = job.AttemptResult{Err: fault.New(fault.NoCapacity, "full")}
	late    = job.AttemptResult{Err: fault.New(fault.DeadlineExceeded, "late")}
	lost    = job.AttemptResult{Err: fault.New(fault.NoCapacity, "owner lost"), Lost: true}
)

// markRecorded reports every record of the decision as stored.
func markRecorded(j *job.Job, d job.Decision) {
	for _, r := range d.Records {
		j.MarkRecorded(r.Index)
	}
}

// TestEndOfAttempt guards against a task that is retried beyond its limit, a task that is not retried after the system
// ended it, and a task that is started twice although it is not repeatable.
func TestEndOfAttempt(t *testing.T) {
	tests := []struct {
		name       string
		class      work.Class
		repeatable bool
		ends       []job.AttemptResult
		attempts   int
		state      job.State
	}{
		{"success", work.Batch, true, []job.AttemptResult{{Outcome: work.Outcome{OK: true}}}, 1, job.Succeeded},
		{
			"failure within retries", work.Batch, true,
			[]job.AttemptResult{failed, {Outcome: work.Outcome{OK: true}}},
			2, job.Succeeded,
		},
		{"failure beyond retries", work.Batch, true, []job.AttemptResult{failed, failed}, 2, job.Failed},
		{
			"system ends not counted", work.Batch, true,
			[]job.AttemptResult{lost, stopped, refused, failed, failed},
			5, job.Failed,
		},
		{"past its deadline", work.Batch, true, []job.AttemptResult{refused, late}, 2, job.Failed},
		{"not repeatable failure", work.Batch, false, []job.AttemptResult{failed}, 1, job.Failed},
		{"not repeatable stopped", work.Batch, false, []job.AttemptResult{stopped}, 1, job.Failed},
		{"not repeatable lost", work.Batch, false, []job.AttemptResult{lost}, 1, job.Unknown},
		{"not repeatable refused", work.Batch, false, []job.AttemptResult{refused, lost}, 2, job.Unknown},
		{
			"standing task restarts", work.Standing, true,
			[]job.AttemptResult{failed, failed, lost, {Outcome: work.Outcome{OK: true}}},
			5, job.Running,
		},
		{
			"gang counts rounds that its tasks failed", work.Gang, true,
			[]job.AttemptResult{lost, refused, refused, failed, failed},
			5, job.Failed,
		},
		{"gang past its deadline", work.Gang, true, []job.AttemptResult{refused, late, late}, 3, job.Failed},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := newSpec(test.class, 1)
			p.Repeatable = test.repeatable
			j := job.New(id, 1, p, 1)
			now := start
			for i := 0; ; i++ {
				now = now.Add(time.Minute)
				action := j.Next(now)
				if action.Complete || i == len(test.ends) {
					break
				}
				if len(action.Start) != 1 {
					t.Fatalf("attempt %d: %d starts", i+1, len(action.Start))
				}
				markRecorded(j, j.AttemptEnded(now, 1, action.Start[0].Attempt, test.ends[i]))
			}
			status := j.Status(0)
			if status.State() != test.state || int(status.Attempts) != test.attempts {
				t.Errorf("state %v after %d attempts; want %v after %d", status.State(), status.Attempts, test.state, test.attempts)
			}
		})
	}
}

// TestStragglerHoldsNothing guards against a window of tasks in flight that advances only when its oldest task has
// ended, so that one slow task keeps others from starting.
func TestStragglerHoldsNothing(t *testing.T) {
	j := job.New(id, 1, newSpec(work.Batch, 3*job.MaxInFlight), 1)
	var straggler work.Spec
	for done := 0; done < 3*job.MaxInFlight-1; {
		specs := j.Next(start).Start
		if len(specs) == 0 {
			t.Fatalf("no task starts after %d tasks ended", done)
		}
		for _, spec := range specs {
			if straggler.Attempt == 0 {
				straggler = spec
				continue
			}
			markRecorded(j, j.AttemptEnded(start, spec.ID.Index, spec.Attempt, ok(spec)))
			done++
		}
	}
	if j.Next(start).Complete {
		t.Error("complete while the straggler is running")
	}
	markRecorded(j, j.AttemptEnded(start, straggler.ID.Index, straggler.Attempt, ok(straggler)))
	if !j.Next(start).Complete {
		t.Error("not complete after the last task")
	}
}

// TestEndCountsOnceRecorded guards against reporting a result to a caller before it is stored in the journal, because a
// new home would not know of it.
func TestEndCountsOnceRecorded(t *testing.T) {
	j := job.New(id, 1, newSpec(work.Batch, 1), 1)
	spec := j.Next(start).Start[0]
	d := j.AttemptEnded(start, 1, spec.Attempt, ok(spec))
	if s := j.Status(1); s.Succeeded != 0 || len(s.Results) != 0 || s.Complete {
		t.Errorf("result reported before it was recorded: %+v", s)
	}
	markRecorded(j, d)
	if s := j.Status(1); s.Succeeded != 1 || len(s.Results) != 1 || !s.Complete {
		t.Errorf("result not reported after it was recorded: %+v", s)
	}
}

// TestGangAllOrNone guards against a gang of which some tasks keep running after another one did not start, and against
// a round that begins while a task of the previous round is running.
func TestGangAllOrNone(t *testing.T) {
	j := job.New(id, 1, newSpec(work.Gang, 3), 1)
	specs := j.Next(start).Start
	if len(specs) != 3 {
		t.Fatalf("%d starts; want 3", len(specs))
	}
	d := j.AttemptEnded(start, 1, specs[0].Attempt, refused)
	if len(d.Stop) != 2 {
		t.Fatalf("%d tasks to stop; want 2", len(d.Stop))
	}
	j.AttemptEnded(start, 2, specs[1].Attempt, stopped)
	if action := j.Next(start.Add(time.Minute)); len(action.Start) != 0 {
		t.Fatal("a round began while a task of the previous round was running")
	}
	j.AttemptEnded(start, 3, specs[2].Attempt, stopped)
	now := start.Add(time.Minute)
	specs = j.Next(now).Start
	if len(specs) != 3 {
		t.Fatalf("%d starts in the second round; want 3", len(specs))
	}
	var last job.Decision
	for _, spec := range specs {
		last = j.AttemptEnded(now, spec.ID.Index, spec.Attempt, ok(spec))
	}
	if len(last.Records) != 3 {
		t.Errorf("%d records at the end; want all 3 in one append", len(last.Records))
	}
}

// TestUnreservedIsFree guards against counting failed reservations against the retries: a gang must not end because
// other gangs held the capacity for some time.
func TestUnreservedIsFree(t *testing.T) {
	j := job.New(id, 1, newSpec(work.Gang, 2), 1)
	now := start
	for range 20 {
		if n := len(j.Next(now).Start); n != 2 {
			t.Fatalf("%d starts; want 2", n)
		}
		if d := j.ReservationFailed(now, refused.Err); len(d.Records) != 0 {
			t.Fatal("the gang ended after a failed reservation")
		}
		now = now.Add(time.Minute)
	}
	j.Next(now)
	if d := j.ReservationFailed(start.Add(2*time.Hour), refused.Err); len(d.Records) != 2 {
		t.Error("the gang did not end after its deadline")
	}
}

// TestCancel guards against canceled tasks that start, and against running tasks that are not stopped.
func TestCancel(t *testing.T) {
	j := job.New(id, 1, newSpec(work.Batch, job.MaxInFlight+10), 1)
	specs := j.Next(start).Start
	if stop := j.Cancel(); len(stop) != job.MaxInFlight {
		t.Fatalf("%d tasks to stop; want %d", len(stop), job.MaxInFlight)
	}
	if s := j.Status(0); s.Canceled != 10 {
		t.Errorf("%d tasks canceled; want the 10 waiting ones", s.Canceled)
	}
	for i, spec := range specs {
		end := []job.AttemptResult{stopped, refused, lost, ok(spec)}[i%4]
		markRecorded(j, j.AttemptEnded(start, spec.ID.Index, spec.Attempt, end))
	}
	s := j.Status(0)
	if !s.Complete || s.Succeeded != job.MaxInFlight/4 || s.State() != job.Canceled {
		t.Errorf("after all tasks ended: %+v", s)
	}
}

// TestRestore guards against a new home that runs a task again which has ended or which may run only once.
func TestRestore(t *testing.T) {
	tests := []struct {
		name       string
		class      work.Class
		repeatable bool
		canceled   bool
		intents    []uint32
		ended      []uint32
		held       map[uint32]ident.Attempt
		follow     int
		stop       int
		unknown    int
		starts     int // tasks that start after the followed attempts were stopped
	}{
		{"repeatable", work.Batch, true, false, nil, []uint32{1}, map[uint32]ident.Attempt{2: 7}, 1, 0, 0, 3},
		{"not repeatable", work.Batch, false, false, []uint32{1, 2, 3}, []uint32{1}, map[uint32]ident.Attempt{2: 7}, 1, 0, 1, 1},
		{"canceled", work.Batch, true, true, nil, []uint32{1}, map[uint32]ident.Attempt{2: 7}, 1, 1, 0, 0},
		{"whole gang", work.Gang, true, false, nil, nil, map[uint32]ident.Attempt{1: 7, 2: 7, 3: 7, 4: 7}, 4, 0, 0, 4},
		{"part of a gang", work.Gang, true, false, nil, nil, map[uint32]ident.Attempt{1: 7}, 1, 1, 0, 4},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := newSpec(test.class, 4)
			p.Repeatable = test.repeatable
			j := job.New(id, 1, p, 1)
			for _, i := range test.intents {
				j.Restore(journal.Record{Kind: journal.Intent, Index: i, Attempt: 7})
			}
			for _, i := range test.ended {
				j.Restore(journal.Record{Kind: journal.Outcome, Index: i, Result: journal.Result{OK: true}})
			}
			if test.canceled {
				j.Restore(journal.Record{Kind: journal.Canceled})
			}
			a := j.Reattach(test.held)
			if len(a.Follow) != test.follow || len(a.Stop) != test.stop || len(a.Records) != test.unknown {
				t.Errorf("%d to follow, %d to stop, %d unknown; want %d, %d, %d",
					len(a.Follow), len(a.Stop), len(a.Records), test.follow, test.stop, test.unknown)
			}
			markRecorded(j, a.Decision)
			for _, spec := range a.Follow {
				markRecorded(j, j.AttemptEnded(start, spec.ID.Index, spec.Attempt, stopped))
			}
			if action := j.Next(start.Add(time.Minute)); len(action.Start) != test.starts {
				t.Errorf("%d starts; want %d", len(action.Start), test.starts)
			}
		})
	}
}
