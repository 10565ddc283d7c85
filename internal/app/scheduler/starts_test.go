package scheduler

import (
	"context"
	"fmt"
	"testing"
	"time"

	"skylarkstall/internal/domain/placement"
	"skylarkstall/internal/domain/workflow"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/port"
)

// Starts that a leader that keeps up may have in progress, and how many more with the highest priority.
const (
	maxStartsInProgress = placement.MaxStarts
	urgentStarts        = maxStartsInProgress / 2
)

// TestStartsAreLimited guards against a leader that places more tasks than it has the time to start, so that its leases are late, and
// against one that places none once starts have ended.
func TestStartsAreLimited(t *testing.T) {
	for name, c := range map[string]struct{ priority, limit int }{
		"highest priority": {0, maxStartsInProgress + urgentStarts},
		"others":           {1, maxStartsInProgress},
	} {
		t.Run(name, func(t *testing.T) { testStartsAreLimited(t, c.priority, c.limit) })
	}
}

func testStartsAreLimited(t *testing.T, priority, limit int) {
	t.Helper()
	const workers = 400
	s, now := newPermitLeader(t, workers), time.Now()
	for i := range workers {
		id := workflow.ID(fmt.Sprintf("j%03d", i))
		acceptNamed(s, id, workflow.Step{Count: 1})
		s.jobs[id].queue.Priority = priority
	}
	started := 0
	for range workers { // a pass has little time
		started += len(placeAt(s, now))
	}
	if started != limit {
		t.Fatalf("%d starts in progress, want %d", started, limit)
	}
	drainWake(s)
	s.startEnded(time.Time{})
	select {
	case <-s.wake:
	default:
		t.Error("the end of a start does not wake placement")
	}
	if more := placeAt(s, now); len(more) != 1 {
		t.Errorf("%d starts after the end of one, want 1", len(more))
	}
}

// TestFailedStartsDoNotCount guards against placement that stops for good, because starts that fail count as in progress.
func TestFailedStartsDoNotCount(t *testing.T) {
	s, now := newPermitLeader(t, 2*maxStartsInProgress), time.Now()
	s.ports.RunClient = refusingRunner{}
	for i := range maxStartsInProgress {
		acceptNamed(s, workflow.ID(fmt.Sprintf("j%03d", i)), workflow.Step{Count: 1})
	}
	launches := placeAt(s, now)
	if len(launches) == 0 {
		t.Fatal("nothing is placed")
	}
	for _, l := range launches {
		s.startRun(s.ctx, l)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.startsInProgress != 0 {
		t.Errorf("%d starts in progress after all requests have failed", s.startsInProgress)
	}
}

// refusingRunner refuses each start.
type refusingRunner struct{ port.RunClient }

func (refusingRunner) Start(context.Context, port.Target, port.StartRequest) (time.Duration, error) {
	return 0, fault.New(fault.Unavailable, "connection refused")
}

func drainWake(s *Scheduler) {
	select {
	case <-s.wake:
	default:
	}
}
