package scheduler

import (
	"time"

	"skylarkstall/internal/domain/fitness"
	"skylarkstall/internal/domain/placement"
	"skylarkstall/internal/port"
)

// observePass reports a pass of placement that tried some of the steps that could start tasks, and logs when placement falls behind
// or has caught up. The lock is held.
func (s *Scheduler) observePass(now, started time.Time, tried, ready int) {
	pass := port.PlacementPass{Took: time.Since(started), Tried: tried, Left: ready - tried}
	if s.ports.ObservePass != nil {
		s.ports.ObservePass(pass)
	}
	if s.progress.Behind() {
		s.term.Lateness.Note(fitness.PassesBehind, now)
	}
	behindFor := s.progress.BehindFor(now)
	switch s.progress.Observe(now, pass.Left) {
	case placement.FellBehind:
		s.log.Warn("placement falls behind", "behind_ms", s.progress.BehindFor(now).Milliseconds(), "ready_steps", ready, "tried", tried,
			"pass_ms", pass.Took.Milliseconds())
	case placement.CaughtUp:
		s.log.Info("placement has caught up", "took_ms", behindFor.Milliseconds(), "ready_steps", ready)
	case placement.NoChange:
	}
}
