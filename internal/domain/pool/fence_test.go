package pool_test

import (
	"testing"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/pool"
	"skylarkstall/internal/domain/workflow"
)

const (
	usualLease   = 3500 * time.Millisecond
	longestLease = 6 * time.Second
)

// TestFence guards against starts on a restarted worker while requests to its earlier life may still take effect, and against a worker that
// gets no starts for good after a restart.
func TestFence(t *testing.T) {
	w, s := worker(), step(100)
	rejection := func() pool.Rejection {
		return w.Rejection(&pool.Request{Ref: workflow.StepRef{Job: "j"}, Step: &s, Service: "desk", Now: now})
	}
	w.SetToken(5)
	w.CloseFence(5, time.Minute, longestLease, now)
	if r := rejection(); r != pool.NotRejected {
		t.Fatalf("rejected for %q before the restart", r)
	}
	w.ResetAfterRestart(2, longestLease)
	w.ObserveClock(time.Second, now, now)
	for _, c := range []struct {
		name   string
		change func()
		want   pool.Rejection
	}{
		{"restarted", func() {}, pool.NotFenced},
		{"answered with the token of its earlier life", func() { w.CloseFence(5, time.Second, longestLease, now) }, pool.NotFenced},
		{"a lower token", func() { w.SetToken(4) }, pool.NotFenced},
		{"a higher token", func() { w.SetToken(8) }, pool.NotFenced},
		{"late answer to a request with the former token", func() { w.CloseFence(5, time.Second, longestLease, now) }, pool.NotFenced},
		{"answered with the higher token", func() { w.CloseFence(8, time.Second, longestLease, now) }, pool.NotRejected},
	} {
		c.change()
		if got := rejection(); got != c.want {
			t.Errorf("%s: rejected for %q, want %q", c.name, got, c.want)
		}
	}
	if w.Token() != 8 || w.NeedsToken() {
		t.Errorf("token %d, needs another one: %v; want 8, false", w.Token(), w.NeedsToken())
	}
}

// TestLeaseBehindFence guards against two runs of a task at once: a request to an earlier life of the worker has left the longest lease on
// the present one, whose runs count as ended when a usual lease would have expired.
func TestLeaseBehindFence(t *testing.T) {
	for longest, otherToken := range map[time.Duration]ident.Epoch{usualLease: 0, longestLease: 3} {
		w := worker()
		w.SetToken(5)
		w.CloseFence(otherToken, time.Hour, longestLease, now)
		w.CloseFence(5, time.Minute, longest, now)
		w.CloseFence(5, time.Minute+time.Second, longestLease, now.Add(time.Second))
		lapse := pool.LapseTime(longest)
		if w.LeaseExpired(now.Add(lapse-300*time.Millisecond)) || !w.LeaseExpired(now.Add(lapse+100*time.Millisecond)) {
			t.Errorf("a lease of up to %v does not end %v after the first answer", longest, lapse)
		}
		fencedAfter := lapse - pool.LapseTime(usualLease)
		if w.IsFenced(usualLease, now.Add(fencedAfter-time.Millisecond)) || !w.IsFenced(usualLease, now.Add(fencedAfter)) {
			t.Errorf("with leases of up to %v, the worker does not count as fenced from %v after its answer on", longest, fencedAfter)
		}
	}
}
