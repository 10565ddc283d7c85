package scheduler

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/pool"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/pause"
	"skylarkstall/internal/port"
)

// slowDialer is the process of a leader with a small share of a processor: opening a connection takes dialCost of it, also for a caller that
// has given up meanwhile. Syncs on open connections take nothing.
type slowDialer struct {
	port.RunClient
	dials chan chan struct{}
	began time.Time
}

const dialCost = 7 * time.Millisecond

// run opens connections, one after the other.
func (d *slowDialer) run(ctx context.Context) {
	for {
		select {
		case done := <-d.dials:
			time.Sleep(dialCost)
			close(done)
		case <-ctx.Done():
			return
		}
	}
}

func (d *slowDialer) Sync(ctx context.Context, _ port.Target, request port.SyncRequest) (port.SyncReply, error) {
	if request.Wait > 0 { // on an open connection
		pause.For(ctx, request.Wait)
		return port.SyncReply{WorkerClock: time.Since(d.began), Incarnation: 1}, ctx.Err()
	}
	done := make(chan struct{})
	d.dials <- done
	select {
	case <-done:
		return port.SyncReply{WorkerClock: time.Since(d.began), Incarnation: 1}, nil
	case <-ctx.Done():
		return port.SyncReply{}, fault.New(fault.Unavailable, "i/o timeout")
	}
}

// TestNewLeaderOnSlowProcessor guards against a new leader that opens connections to all workers at once and reaches hardly any, because
// each attempt has ended by the time that the process gets to it, and is made again.
func TestNewLeaderOnSlowProcessor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const workers = 200
		s, d := newLeaderFor(t), &slowDialer{dials: make(chan chan struct{}, 100*workers), began: time.Now().Add(-time.Minute)}
		s.ports.RunClient, s.reconnects = d, newReconnectSlots(0.1)
		s.goTask(func() { d.run(s.ctx) })
		s.mu.Lock()
		for i := range workers {
			s.addWorker(pool.WorkerInfo{ID: ident.WorkerID(fmt.Sprintf("w%03d", i)), Service: "desk", Incarnation: 1})
		}
		s.mu.Unlock()
		time.Sleep(2 * workers * dialCost)
		reached := 0
		s.mu.Lock()
		for _, m := range s.monitors {
			if !m.unreachable {
				reached++
			}
		}
		s.mu.Unlock()
		if reached < workers {
			t.Errorf("%d of %d workers are reached in twice the time that their connections take", reached, workers)
		}
		s.cancel()
		s.wg.Wait()
	})
}
