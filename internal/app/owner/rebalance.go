package owner

import (
	"context"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/work"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/port"
)

// rebalanceInterval is how often queued tasks are compared with the free capacity of other processes. It equals the
// heartbeat interval, because the reported capacity is not updated more often.
const rebalanceInterval = time.Second

// rebalance returns queued tasks to their homes when another process has free capacity for them. Homes choose owners by
// digests that are up to a second old, so a burst may queue at some owners while workers of another are idle.
func (s *Service) rebalance(ctx context.Context) {
	ticker := time.NewTicker(rebalanceInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ticker.C:
			s.offloadQueued()
		case <-ctx.Done():
		}
	}
}

func (s *Service) offloadQueued() {
	heartbeats := s.Heartbeats()
	for _, heartbeat := range heartbeats {
		if heartbeat.Peer.ID == s.Self || heartbeat.Peer.Draining || hasQueuedTasks(heartbeat) {
			continue
		}
		// All other processes see the same free capacity, so each uses only its share of it.
		share := heartbeat.Digest.Free.Prorate(1, int64(len(heartbeats)))
		for _, task := range s.fleet.Offload(share, heartbeat.Digest.LargestFree) {
			s.returnToHome(task, heartbeat.Peer.ID)
		}
	}
}

func hasQueuedTasks(heartbeat port.Heartbeat) bool {
	for _, n := range heartbeat.Digest.Queued {
		if n > 0 {
			return true
		}
	}
	return false
}

// returnToHome ends an attempt that has not started, so that its home places the task where capacity is free.
func (s *Service) returnToHome(task ident.TaskID, target ident.ProcessID) {
	if a := s.findAttempt(task); a != nil {
		s.finish(a, work.Outcome{}, fault.New(fault.NoCapacity, "process %s has free capacity for %s", target, task))
	}
}
