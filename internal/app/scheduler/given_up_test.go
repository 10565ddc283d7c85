package scheduler

import (
	"bytes"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"skylarkstall/internal/domain/workflow"
	"skylarkstall/internal/port"
)

// logged lets a scheduler write its log to a buffer.
func logged(s *Scheduler) *bytes.Buffer {
	var out bytes.Buffer
	s.log = slog.New(slog.NewTextHandler(&out, nil))
	return &out
}

// TestEvidenceOfGivenUpRun guards against a run that is given up without a line that tells by what evidence, and against one that
// is done nevertheless without a line that names both runs.
func TestEvidenceOfGivenUpRun(t *testing.T) {
	for evidence, giveUp := range map[string]func(s *Scheduler, m *workerMonitor){
		evidenceLapsed:   func(s *Scheduler, m *workerMonitor) { s.dropRuns(m, workflow.LeaseExpired) },
		evidenceReplaced: func(s *Scheduler, m *workerMonitor) { s.dropRuns(m, workflow.Lost) },
		evidenceSilent:   func(s *Scheduler, m *workerMonitor) { s.speculate(m) },
		evidenceUnlisted: func(s *Scheduler, m *workerMonitor) { s.releaseVanished(m, nil, time.Now().Add(time.Second)) },
		evidenceRestart: func(s *Scheduler, m *workerMonitor) {
			s.detectRestart(m, port.SyncReply{Incarnation: 2}, time.Now().Add(time.Second))
		},
	} {
		s := newLeader(t)
		out := logged(s)
		e := acceptTestJob(s, workflow.Step{Count: 1, Speculative: evidence == evidenceSilent})
		run, m := startOnly(t, s)
		s.mu.Lock()
		giveUp(s, m)
		s.mu.Unlock()
		lines := strings.Count(out.String(), `msg="run given up" task=job.0.0.0 run=1001 worker=`+string(m.worker.Info().ID))
		if lines != 1 || !strings.Contains(out.String(), fmt.Sprintf("evidence=%q", evidence)) {
			t.Errorf("%s: %d lines on the run, want 1 with the evidence:\n%s", evidence, lines, out)
		}
		if evidence == evidenceSilent {
			continue // a copy may end as done beside the run
		}
		out.Reset()
		other := workflow.Placement{RunRef: workflow.RunRef{Task: run.Task, Run: run.Run + 1}, Worker: "w9"}
		s.mu.Lock()
		e.workflow.Start(other)
		s.applyEnd(m, workflow.End{Run: run, Outcome: workflow.Done})
		s.mu.Unlock()
		want := `msg="run done beside another run" task=job.0.0.0 run=1001 worker=` + string(m.worker.Info().ID) +
			" kind=given_up other_run=1002 other_worker=w9"
		if !strings.Contains(out.String(), want) {
			t.Errorf("%s: no line %s:\n%s", evidence, want, out)
		}
	}
}

// TestDoneTwice guards against a task that two runs complete without a line that names both, and against such a line for an end
// that is listed again.
func TestDoneTwice(t *testing.T) {
	s := newLeader(t)
	out := logged(s)
	acceptTestJob(s, workflow.Step{Count: 2})
	run, m := firstRun(0), s.monitors["w1"]
	s.mu.Lock()
	defer s.mu.Unlock()
	for range 2 {
		s.applyEnd(m, workflow.End{Run: run, Outcome: workflow.Done})
	}
	if strings.Contains(out.String(), "beside") {
		t.Errorf("a line about an end that is listed twice:\n%s", out)
	}
	run.Run = 2
	s.applyEnd(s.monitors["w2"], workflow.End{Run: run, Outcome: workflow.Done})
	if !strings.Contains(out.String(), "run=2 worker=w2 kind=other_done other_run=1 other_worker=w1") {
		t.Errorf("no line about both runs:\n%s", out)
	}
}
