package scheduler

import (
	"testing"
	"time"

	"skylarkstall/internal/domain/workflow"
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
