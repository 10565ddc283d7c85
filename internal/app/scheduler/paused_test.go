package scheduler

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"skylarkstall/internal/app/leadership"
	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/permit"
	"skylarkstall/internal/domain/pool"
	"skylarkstall/internal/domain/workflow"
	"skylarkstall/internal/port"
)

// countingRunner counts the requests that reach workers.
type countingRunner struct {
	port.RunClient
	requests atomic.Int64
}

func (c *countingRunner) Start(context.Context, port.Target, port.StartRequest) (time.Duration, error) {
	c.requests.Add(1)
	return time.Minute, nil
}

func (c *countingRunner) Stop(context.Context, port.Target, workflow.RunRef, ident.Epoch) error {
	c.requests.Add(1)
	return nil
}

func (c *countingRunner) Throttle(context.Context, port.Target, pool.Throttle, ident.Epoch) error {
	c.requests.Add(1)
	return nil
}

func (c *countingRunner) Sync(context.Context, port.Target, port.SyncRequest) (port.SyncReply, error) {
	c.requests.Add(1)
	return port.SyncReply{WorkerClock: time.Minute, Incarnation: 1}, nil
}

// TestPausedLeader guards against a leader that was paused for longer than its lease allows and then starts, stops or renews
// runs, while another process leads and has started the same tasks elsewhere. A worker that the new leader does not reach
// has not seen the higher fencing token and cannot refuse.
func TestPausedLeader(t *testing.T) {
	for name, request := range map[string]func(*Scheduler, launch){
		"start": func(s *Scheduler, l launch) { s.startRun(s.ctx, l) },
		"stop":  func(s *Scheduler, l launch) { s.stopRun(s.ctx, l.monitor, l.request.RunRef) },
		"sync":  func(s *Scheduler, l launch) { _ = s.sync(s.ctx, l.monitor, 0) },
		"pace": func(s *Scheduler, l launch) {
			s.throttleRun(l.monitor, pool.Throttle{RunRef: l.request.RunRef, Percent: 50})
		},
	} {
		for _, paused := range []bool{false, true} {
			s, runner := newLeader(t), &countingRunner{}
			s.ports.RunClient = runner
			s.term.Renewal = &leadership.Renewal{}
			s.term.Renewal.Mark(time.Now())
			acceptTestJob(s, workflow.Step{Count: 1})
			launches, _ := s.place(time.Now())
			if len(launches) != 1 {
				t.Fatalf("%d starts, want 1", len(launches))
			}
			if paused {
				s.term.Renewal.Mark(time.Now().Add(-leadership.MaxRenewalGap - time.Millisecond))
			}
			request(s, launches[0])
			if sent := runner.requests.Load() > 0; sent == paused {
				t.Errorf("%s: request sent: %v, after a pause: %v", name, sent, paused)
			}
			if ended := s.ctx.Err() != nil; ended != paused {
				t.Errorf("%s: term ended: %v, after a pause: %v", name, ended, paused)
			}
		}
	}
}

// TestOldOrder guards against a start that is sent long after it was decided, because the process was paused or the worker
// had other requests to answer.
func TestOldOrder(t *testing.T) {
	s, runner := newLeader(t), &countingRunner{}
	s.ports.RunClient = runner
	e := acceptTestJob(s, workflow.Step{Count: 1})
	launches, _ := s.place(time.Now())
	launches[0].decided = time.Now().Add(-maxOrderAge - time.Millisecond)
	s.startRun(s.ctx, launches[0])
	if n := runner.requests.Load(); n != 0 {
		t.Errorf("%d requests sent for an old decision", n)
	}
	if waiting := e.workflow.Waiting(firstRun(0).Task.StepRef); len(waiting) != 1 {
		t.Error("the task of the withdrawn start does not wait for another one")
	}
}

// TestExpiredTicket guards against a start with a ticket that has run out, or that was for an earlier life of the worker, while the start
// waited for its turn or the process was paused.
func TestExpiredTicket(t *testing.T) {
	for name, c := range map[string]struct {
		left     time.Duration // validity of the ticket when the start leaves
		restart  bool          // of the worker after the placement
		wantSent bool
	}{
		"valid":            {left: time.Second, wantSent: true},
		"expired":          {left: -time.Millisecond},
		"worker restarted": {left: time.Second, restart: true},
	} {
		s, runner := newLeader(t), &countingRunner{}
		s.ports.RunClient, s.ports.PeerPermitClients = runner, peers{}
		e := acceptTestJob(s, workflow.Step{Count: 1})
		e.queue.PermitPolicy = testPermitPolicy()
		_, calls := s.place(time.Now())
		if len(calls) != 1 {
			t.Fatalf("%d calls for permits, want 1", len(calls))
		}
		permits := calls[0].permits
		s.mu.Lock()
		permits.EndCall(calls[0].Call)
		permits.ApplyResponse(calls[0].Workers, map[ident.WorkerID]permit.Ticket{"w1": {Value: "t", Expires: time.Now().Add(time.Minute)}})
		s.retryStep(e, firstRun(0).Task.StepRef)
		s.mu.Unlock()
		launches, _ := s.place(time.Now())
		if len(launches) != 1 || launches[0].request.Ticket != "t" {
			t.Fatalf("%d starts, want one with a ticket", len(launches))
		}
		s.mu.Lock()
		permits.ApplyResponse(calls[0].Workers, map[ident.WorkerID]permit.Ticket{"w1": {Value: "t", Expires: time.Now().Add(c.left)}})
		if c.restart {
			s.monitors["w1"].worker.ResetAfterRestart(2, time.Minute)
		}
		s.mu.Unlock()
		s.startRun(s.ctx, launches[0])
		if sent := runner.requests.Load() > 0; sent != c.wantSent {
			t.Errorf("%s: start sent: %v, want %v", name, sent, c.wantSent)
		}
		if waiting := e.workflow.Waiting(firstRun(0).Task.StepRef); !c.wantSent && len(waiting) != 1 {
			t.Errorf("%s: the task of the withdrawn start does not wait for another one", name)
		}
		if s.ctx.Err() != nil {
			t.Errorf("%s: the term has ended", name)
		}
	}
}
