package placement_test

import (
	"testing"
	"time"

	"skylarkstall/internal/domain/placement"
)

// sender is a leader that sends a number of requests a second in the order of their decisions, and drops those that are too old. Each
// request and each answer waits for the processor like all others.
type sender struct {
	limit      *placement.StartLimit
	perSecond  float64
	backlog    []time.Time // decisions that are not sent yet
	credit     float64
	sent, lost int
	now        time.Time
}

const (
	dropAge   = 500 * time.Millisecond
	roundTrip = 4 * time.Millisecond
	tick      = 10 * time.Millisecond
)

// run replays load for a time: as many starts are decided in each tick as wait, up to the limit.
func (s *sender) run(span time.Duration, waitingPerSecond float64) {
	waiting := 0.0
	for end := s.now.Add(span); s.now.Before(end); s.now = s.now.Add(tick) {
		waiting += waitingPerSecond * tick.Seconds()
		s.limit.Adapt(s.now)
		for waiting >= 1 && len(s.backlog) < s.limit.Max(false) {
			s.backlog, waiting = append(s.backlog, s.now), waiting-1
		}
		s.credit = min(s.credit, 1) + s.perSecond*tick.Seconds() // time that was not used is lost
		for len(s.backlog) > 0 && s.credit >= 1 {
			decided := s.backlog[0]
			s.backlog, s.credit = s.backlog[1:], s.credit-1
			delay := s.now.Sub(decided)
			if delay > dropAge {
				s.limit.Drop(delay)
				s.lost++
				waiting++ // it is decided again
				continue
			}
			s.limit.Sent(delay)
			s.limit.Answered(roundTrip + delay)
			s.sent++
		}
	}
}

// TestDecisionsAtTwiceTheRateOfSending guards against a leader whose decisions are too old when they could be sent, so that it spends its
// time on them and starts less than it could.
func TestDecisionsAtTwiceTheRateOfSending(t *testing.T) {
	s := &sender{limit: placement.NewStartLimit(0.48), perSecond: 150, now: time.Unix(0, 0)}
	s.run(20*time.Second, 300)
	if s.lost > s.sent/20 {
		t.Errorf("%d decisions were dropped as stale, %d sent; want at most one in 20", s.lost, s.sent)
	}
	if want := 20 * 150 * 9 / 10; s.sent < want {
		t.Errorf("%d starts sent in 20 s, want at least %d", s.sent, want)
	}
	if delay := s.limit.Delay(); delay > 200*time.Millisecond {
		t.Errorf("starts are sent %v after the decision under constant overload", delay)
	}
}

// TestBurstThatEnds guards against a leader that keeps the limit of a burst, or needs long to leave it.
func TestBurstThatEnds(t *testing.T) {
	s := &sender{limit: placement.NewStartLimit(0.8), perSecond: 100, now: time.Unix(0, 0)}
	s.run(5*time.Second, 400)
	if !s.limit.Reduced() {
		t.Error("the limit does not fall during the burst")
	}
	s.perSecond = 800
	s.run(5*time.Second, 100)
	if got := s.limit.Max(false); got != placement.MaxStarts {
		t.Errorf("limit %d within 5 s of the end of a burst, want %d", got, placement.MaxStarts)
	}
	s.lost, s.sent = 0, 0
	s.run(time.Second, 100)
	if s.lost > 0 || s.sent < 99 {
		t.Errorf("%d sent and %d dropped in the second after that, want all 100 sent", s.sent, s.lost)
	}
}

// TestSmallestIsFirstBack guards against the smallest VM, back first after a loss of power with a full queue, which decides on more than
// it can send before it has learnt its limit.
func TestSmallestIsFirstBack(t *testing.T) {
	s := &sender{limit: placement.NewStartLimit(0.144), perSecond: 40, now: time.Unix(0, 0)}
	s.run(time.Second, 5000)
	if s.lost > 30 {
		t.Errorf("%d decisions were dropped in the first second, want at most 30", s.lost)
	}
	s.lost, s.sent = 0, 0
	s.run(9*time.Second, 5000)
	if s.lost > s.sent/10 || s.sent < 9*40*9/10 {
		t.Errorf("%d sent and %d dropped in the 9 s after that", s.sent, s.lost)
	}
}

// TestLateFromTheFirstStart guards against a leader that takes over under full load, behind a narrow link, and learns the delay as usual.
func TestLateFromTheFirstStart(t *testing.T) {
	now := time.Unix(0, 0)
	limit := placement.NewStartLimit(0.48)
	late := 0
	for range 50 {
		now = now.Add(tick)
		limit.Answered(200 * time.Millisecond)
		if limit.Adapt(now) {
			late++
		}
	}
	if late == 0 || limit.Max(false) >= placement.MaxStarts {
		t.Errorf("late in %d windows, limit %d; want the limit to fall", late, limit.Max(false))
	}
}

// TestSlowWorkers guards against a limit that falls because most of the workers are slow or far, or because of a pause of the process.
func TestSlowWorkers(t *testing.T) {
	now := time.Unix(0, 0)
	limit := placement.NewStartLimit(0.4)
	for range 100 {
		now = now.Add(tick)
		for i := range 10 {
			took := 300 * time.Millisecond
			if i == 0 {
				took = roundTrip
			}
			limit.Answered(took)
		}
		if limit.Adapt(now) {
			t.Fatal("the leader counts as late although some requests are answered at once")
		}
	}
	for range 3 {
		limit.Drop(2 * time.Second) // after a pause
		limit.Answered(2 * time.Second)
	}
	limit.Adapt(now.Add(time.Second))
	if limit.Max(false) != placement.MaxStarts || limit.Max(true) != placement.MaxStarts*3/2 {
		t.Errorf("limits %d and %d, want %d and %d", limit.Max(false), limit.Max(true), placement.MaxStarts, placement.MaxStarts*3/2)
	}
	if got := limit.Dropped(); got != 3 {
		t.Errorf("%d decisions dropped, want 3", got)
	}
}

// TestTicketsOutlastTheirDelay guards against steps that never start again, because the delay of the starts of a burst exceeds the time for
// which tickets are valid, and nothing is decided that could measure a shorter one.
func TestTicketsOutlastTheirDelay(t *testing.T) {
	now := time.Unix(0, 0)
	limit := placement.NewStartLimit(0.4)
	for range 50 {
		limit.Drop(dropAge)
	}
	for range 10 {
		now = now.Add(time.Second)
		limit.Adapt(now)
	}
	if got := limit.Delay(); got > 5*time.Millisecond {
		t.Errorf("starts are expected to be sent after %v, ten seconds after the last one", got)
	}
}
