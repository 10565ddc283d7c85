package scheduler

import (
	"testing"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/workflow"
	"skylarkstall/internal/port"
)

// TestNoCopyOfGangMember guards against a member of a gang that its job no longer counts while it still runs, because its worker
// was silent for a moment: a copy would not work with the others, and cancelling the job would not stop the member.
func TestNoCopyOfGangMember(t *testing.T) {
	for _, gang := range []bool{true, false} {
		s := newLeader(t)
		e := acceptTestJob(s, workflow.Step{Count: 2, Gang: gang, Speculative: true})
		launches, _ := s.place(time.Now())
		if len(launches) != 2 {
			t.Fatalf("%d tasks start, want 2", len(launches))
		}
		s.mu.Lock()
		s.speculate(launches[0].monitor)
		s.mu.Unlock()
		want := 1
		if gang {
			want = 2
		}
		if n := len(e.workflow.Active()); n != want {
			t.Errorf("%d runs count after the worker of one was silent (gang: %v), want %d", n, gang, want)
		}
	}
}

// TestCancelStopsCopiedRun guards against a run that goes on although its job was cancelled: while its worker was silent, the run had
// made way for a copy, so the cancelling did not find it among the active ones.
func TestCancelStopsCopiedRun(t *testing.T) {
	s, recorder := newLeader(t), &stopRecorder{stopped: map[workflow.RunRef]ident.WorkerID{}}
	s.ports.RunClient = recorder
	e := acceptTestJob(s, workflow.Step{Count: 1, Speculative: true})
	launches, _ := s.place(time.Now())
	if len(launches) != 1 {
		t.Fatalf("%d tasks start, want 1", len(launches))
	}
	m, run := launches[0].monitor, launches[0].request.RunRef
	s.startAcked(launches[0], 2*time.Second, time.Now())
	s.mu.Lock()
	s.speculate(m)
	e.workflow.Cancel()
	s.mu.Unlock()
	now := time.Now()
	s.applyReply(m, s.term.Token, port.SyncReply{Incarnation: 1, WorkerClock: 3 * time.Second, Running: []port.RunningRun{{RunRef: run}}}, now, now)
	s.wg.Wait()
	if recorder.stopped[run] == "" {
		t.Error("the run of the cancelled job goes on")
	}
}
