package owner

import (
	"context"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/work"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/port"
)

// rebalanceInterval is how often waiting tasks are compared with the room of other processes. It is the interval of
// heartbeats: the room that they tell of is not newer.
const rebalanceInterval = time.Second

// rebalance sends waiting tasks back to their homes when another process has room for them. Homes choose by digests
// that are up to a second old, so a burst may queue at some owners while the workers of another are idle.
func (s *Service) rebalance(ctx context.Context) {
	ticker := time.NewTicker(rebalanceInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ticker.C:
			s.returnSurplus()
		case <-ctx.Done():
		}
	}
}

func (s *Service) returnSurplus() {
	beats := s.Heartbeats()
	for _, beat := range beats {
		if beat.Peer.ID == s.Self || beat.Peer.Draining || queued(beat) {
			continue
		}
		// Every other process sees the same room, so each takes only its share of it.
		share := beat.Digest.Free.Prorate(1, int64(len(beats)))
		for _, task := range s.fleet.Offload(share, beat.Digest.LargestFree) {
			s.sendBack(task, beat.Peer.ID)
		}
	}
}

func queued(beat port.Heartbeat) bool {
	for _, n := range beat.Digest.Queued {
		if n > 0 {
			return true
		}
	}
	return false
}

// sendBack ends an attempt that has not started, so that its home places the task where there is room.
func (s *Service) sendBack(task ident.TaskID, roomAt ident.ProcessID) {
	if a := s.held(task); a != nil {
		s.finish(a, work.Outcome{}, fault.New(fault.NoCapacity, "process %s has room for %s", roomAt, task))
	}
}
