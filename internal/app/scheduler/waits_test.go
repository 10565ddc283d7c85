package scheduler

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"skylarkstall/internal/domain/account"
	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/pool"
	"skylarkstall/internal/domain/resource"
	"skylarkstall/internal/domain/workflow"
	"skylarkstall/internal/port"
)

// reserveAll fills a worker with a run of another job.
func reserveAll(t *testing.T, s *Scheduler, worker ident.WorkerID) {
	t.Helper()
	full := workflow.Step{Count: 1, Size: resource.Vector{MilliCores: 4000}}
	ref := workflow.RunRef{Task: workflow.TaskRef{StepRef: workflow.StepRef{Job: "full"}}, Run: 1}
	if err := s.monitors[worker].worker.Reserve(ref, &full); err != nil {
		t.Fatal(err)
	}
}

// confirmLeader lets the recorded workers confirm the leader at the given time.
func confirmLeader(s *Scheduler, now time.Time) {
	s.authority.confirmedUntil = now.Add(time.Minute)
}

// TestReasonOfWait guards against a task that does not start and of which no line tells why.
func TestReasonOfWait(t *testing.T) {
	task := firstRun(0).Task
	for name, c := range map[string]struct {
		step    workflow.Step
		change  func(t *testing.T, s *Scheduler, e *jobEntry)
		untried bool
		want    waitReason
		detail  string
	}{
		"worker of an earlier leader": {
			change: func(_ *testing.T, s *Scheduler, e *jobEntry) {
				e.workflow.MarkUnknownRuns()
				s.addWorker(pool.WorkerInfo{ID: "w9", Service: "desk"})
				s.unsynced["w9"] = port.WorkerRecord{WorkerInfo: pool.WorkerInfo{ID: "w9"}}
			},
			want: waitUnsynced, detail: "worker=w9",
		},
		"leader not confirmed": {
			change: func(_ *testing.T, s *Scheduler, _ *jobEntry) { s.authority.doubtful = true }, untried: true,
			want: waitUnconfirmed,
		},
		"not tried": {untried: true, want: waitUntried, detail: "untried_ms=1000"},
		"permits": {
			change: func(_ *testing.T, s *Scheduler, e *jobEntry) {
				e.queue.PermitPolicy = testPermitPolicy()
				s.ports.PeerPermitClients = noPeers{}
			},
			want: waitNoPermit, detail: "asked:2",
		},
		"not recorded, or cordoned": {
			change: func(_ *testing.T, s *Scheduler, _ *jobEntry) {
				s.unrecord("w1")
				s.setRecorded("w2", false)
			},
			want: waitNoWorker, detail: "not_recorded:2",
		},
		"full and failed": {
			change: func(t *testing.T, s *Scheduler, e *jobEntry) {
				reserveAll(t, s, "w2")
				e.avoidWorker(task, "w1")
			},
			want: waitNoWorker, detail: "capacity:1 failures:1",
		},
		"crash not recorded": {
			change: func(_ *testing.T, s *Scheduler, e *jobEntry) {
				e.workflow.RecordCrash(firstRun(0))
				s.markSuspected(e)
			},
			want: waitCrashRecord,
		},
		"runs in doubt": {
			change: func(_ *testing.T, s *Scheduler, e *jobEntry) {
				s.accounted = true
				for n := range workflow.RunNumber(workflow.MaxCrashes) {
					e.workflow.Doubt(workflow.RunRef{Task: task, Run: n + 1})
				}
			},
			want: waitDoubts,
		},
		"account at its limit": {
			change: func(t *testing.T, s *Scheduler, e *jobEntry) {
				e.account = "a"
				s.limits.usage.Add("a", account.Run{Size: resource.Vector{MilliCores: 500}})
				setLimits(t, s, map[account.ID]int64{"a": 2000})
			},
			want: waitAccountLimit, detail: "account=a used=500m cores",
		},
		"gang member": {
			step: workflow.Step{Count: 2, Gang: true},
			change: func(_ *testing.T, _ *Scheduler, e *jobEntry) {
				e.workflow.Start(workflow.Placement{RunRef: firstRun(1), Worker: "w1"})
			},
			want: waitGangMember, detail: "worker=w1",
		},
		"gang too wide": {
			step: workflow.Step{Count: 3, Gang: true}, want: waitNoRoomForGang, detail: "eligible:2",
		},
	} {
		t.Run(name, func(t *testing.T) {
			s, now := newLeader(t), time.Now()
			step := c.step
			step.Count = max(step.Count, 1)
			e := acceptTestJob(s, step)
			if c.change != nil {
				c.change(t, s, e)
			}
			s.dueWaitReports(now)
			for waited := time.Duration(0); !c.untried && waited < reportWaitAfter; waited += placeInterval {
				confirmLeader(s, now.Add(waited))
				if n := len(placeAt(s, now.Add(waited))); n > 0 {
					t.Fatalf("%d tasks start", n)
				}
			}
			respond(s, now.Add(reportWaitAfter))
			reports := s.dueWaitReports(now.Add(reportWaitAfter))
			if len(reports) != 1 || reports[0].reason != c.want || reports[0].waited != reportWaitAfter {
				t.Fatalf("reports %+v, want one with reason %s after %v", reports, c.want, reportWaitAfter)
			}
			if detail := fmt.Sprint(reports[0].attrs); !strings.Contains(detail, c.detail) {
				t.Errorf("details %s, want %s", detail, c.detail)
			}
		})
	}
}

// TestReportsOfWaitAreBounded guards against a log that is filled by the lines on one waiting step or on a long queue, and against
// a long-running step of which no line is written because of the queue.
func TestReportsOfWaitAreBounded(t *testing.T) {
	s, now := newLeaderFor(t), time.Now()
	acceptTestJob(s, workflow.Step{Count: 1})
	var at []time.Duration
	for waited := time.Duration(0); waited < 30*time.Second; waited += waitReportInterval {
		if len(s.dueWaitReports(now.Add(waited))) > 0 {
			at = append(at, waited)
		}
	}
	if got := fmt.Sprint(at); got != "[1s 2s 4s 8s 16s]" {
		t.Errorf("reports after %s, want one after 1 s and after twice the time each", got)
	}
	s = newLeaderFor(t)
	for i := range 5 * maxWaitReports {
		acceptNamed(s, workflow.ID(fmt.Sprintf("j%02d", i)), workflow.Step{Count: 1})
	}
	acceptNamed(s, "z", workflow.Step{Count: 1, LongRunning: true})
	s.dueWaitReports(now)
	reports := s.dueWaitReports(now.Add(reportWaitAfter))
	if len(reports) == 0 || len(reports) > maxWaitReports || reports[0].ref.Job != "z" {
		t.Errorf("%d reports in one interval, want 1 to %d, the first about the long-running step", len(reports), maxWaitReports)
	}
}

func acceptNamed(s *Scheduler, id workflow.ID, step workflow.Step) {
	s.mu.Lock()
	defer s.mu.Unlock()
	job := port.AcceptedJob{Spec: workflow.Spec{ID: id, Steps: []workflow.Step{step}}, AcceptedAt: time.Now()}
	job.Queue.Name, job.Queue.Service, job.Queue.MaxAttempts = "q", "desk", 3
	s.acceptJob(job, 0)
}

// TestWaitEndsWithStart guards against a wait that is counted from an earlier one of the same step.
func TestWaitEndsWithStart(t *testing.T) {
	s, now := newLeader(t), time.Now()
	e := acceptTestJob(s, workflow.Step{Count: 1, LongRunning: true})
	launches := placeAt(s, now)
	if len(launches) != 1 {
		t.Fatalf("%d starts, want 1", len(launches))
	}
	if since := e.step(firstRun(0).Task.StepRef).wait.since; !since.IsZero() {
		t.Errorf("the step waits since %v although its only task has started", since)
	}
	reserveAll(t, s, "w2")
	fail(s, launches[0])
	failed := now.Add(time.Minute)
	placeAt(s, failed)
	respond(s, failed.Add(reportWaitAfter))
	reports := s.dueWaitReports(failed.Add(reportWaitAfter))
	if len(reports) != 1 || reports[0].waited != reportWaitAfter {
		t.Errorf("reports %+v, want one of a wait of %v since the end of the run", reports, reportWaitAfter)
	}
}
