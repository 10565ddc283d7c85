package admission_test

import (
	"fmt"
	"testing"
	"time"

	"skylarkstall/internal/domain/account"
	"skylarkstall/internal/domain/admission"
	"skylarkstall/internal/domain/workflow"
)

const (
	urgent = 0
	heavy  = 2
)

var heavyLevel = admission.Level{Service: "desk", Priority: heavy}

// leader replays submissions against what the leader keeps.
type leader struct {
	shares *admission.Shares
	room   *admission.Room
	now    time.Time
	jobs   int
	fits   bool // a free worker is left for every job
}

func newLeader() *leader {
	return &leader{shares: admission.NewShares(), room: admission.NewRoom(), now: time.Unix(1_000_000, 0)}
}

// overload makes jobs of the lowest priority wait for the given time. Urgent ones find room, because they preempt others.
func (l *leader) overload(wait time.Duration) {
	l.room.Observe("desk", []admission.Load{
		{Priority: urgent, Used: 0.1, MaxWait: 250 * time.Millisecond},
		{Priority: heavy, Used: 0.88, Work: wait, Waiting: 1, MaxWait: 1200 * time.Millisecond},
	})
}

// submit decides on a new job of an account.
func (l *leader) submit(id account.ID, share float64, level admission.Level) admission.Verdict {
	l.jobs++
	return l.resubmit(workflow.ID(fmt.Sprint("j", l.jobs)), id, share, level)
}

func (l *leader) resubmit(job workflow.ID, id account.ID, share float64, level admission.Level) admission.Verdict {
	r := admission.Request{Job: job, Account: id, Level: level}
	return admission.Decide(r, share, l.shares, l.room, func() bool { return l.fits }, l.now)
}

// source submits jobs of an account at a steady rate.
type source struct {
	id          account.ID
	share, rate float64
	next        time.Time
	admitted    int
	refused     int
	returns     []time.Time // when the refused callers were told to return
}

// replay runs the sources for some time.
func (l *leader) replay(sources []*source, level admission.Level, length time.Duration) {
	for end := l.now.Add(length); l.now.Before(end); l.now = l.now.Add(time.Millisecond) {
		for _, s := range sources {
			if s.next.IsZero() {
				s.next = l.now
			}
			for ; !s.next.After(l.now); s.next = s.next.Add(time.Duration(float64(time.Second) / s.rate)) {
				if v := l.submit(s.id, s.share, level); v.Refused() {
					s.refused++
					s.returns = append(s.returns, l.now.Add(v.RetryAfter))
				} else {
					s.admitted++
				}
			}
		}
	}
}

// TestOneAccountFloods replays one account at seven times its share for 7 s beside 19 small ones, while there is no room. It guards
// against small accounts that pay for the flood, and against a flood that gets more than its share.
func TestOneAccountFloods(t *testing.T) {
	l := newLeader()
	l.overload(10 * time.Second)
	flood := &source{id: "large", share: 20, rate: 140}
	sources := []*source{flood}
	for i := range 19 {
		sources = append(sources, &source{id: account.ID(fmt.Sprint("small", i)), share: 2, rate: 1})
	}
	l.replay(sources, heavyLevel, 7*time.Second)
	for _, s := range sources[1:] {
		if s.refused > 0 {
			t.Errorf("%s: %d of %d jobs refused within its share", s.id, s.refused, s.refused+s.admitted)
		}
	}
	if most := 20*7 + 20; flood.admitted > most || flood.admitted < 20*7 {
		t.Errorf("%d jobs of the flood admitted in 7 s, want its share of 140, and at most a burst of 20 more", flood.admitted)
	}
}

// TestReturnsAreSpread replays the same flood. It guards against callers that all return in the same moment, against ones that return
// before those who have waited longer, and against times that are out of bounds.
func TestReturnsAreSpread(t *testing.T) {
	l := newLeader()
	l.overload(3 * time.Second)
	flood := &source{id: "large", share: 20, rate: 140}
	l.replay([]*source{flood}, heavyLevel, time.Second)
	inSecond := map[int64]int{}
	for i, at := range flood.returns {
		if i > 0 && at.Before(flood.returns[i-1]) {
			t.Fatalf("caller %d returns %v before the one who was refused earlier", i, flood.returns[i-1].Sub(at))
		}
		inSecond[at.Unix()]++
	}
	for second, n := range inSecond {
		if n > 20+1 {
			t.Errorf("%d callers return in second %d, more than the share of 20", n, second)
		}
	}
	if first := flood.returns[0].Sub(time.Unix(1_000_000, 0)); first < 3*time.Second {
		t.Errorf("the first caller returns after %v, before room is expected", first)
	}
}

// TestReturningCallerTakesNoShare replays a flood whose refused callers return at once. It guards against submissions within the share that
// are refused because earlier ones beyond it have come back.
func TestReturningCallerTakesNoShare(t *testing.T) {
	l := newLeader()
	l.overload(10 * time.Second)
	for range 20 {
		l.submit("large", 20, heavyLevel)
	}
	if v := l.resubmit("back", "large", 20, heavyLevel); !v.Refused() {
		t.Fatal("a job beyond the share was admitted")
	}
	l.now = l.now.Add(60 * time.Millisecond) // the share allows one more
	if v := l.resubmit("back", "large", 20, heavyLevel); !v.Refused() {
		t.Error("a job beyond the share has taken the place of the next one within it")
	}
	if v := l.submit("large", 20, heavyLevel); v.Refused() {
		t.Error("a job within the share was refused")
	}
	l.now = l.now.Add(time.Second)
	if v := l.resubmit("back", "large", 20, heavyLevel); v.Refused() {
		t.Error("a job is still refused after its account has calmed down")
	}
}

// TestHeavyBurstLeavesUrgentWork replays a burst of the heaviest kind that fills the workers. It guards against urgent jobs that are refused
// although they preempt the others, and against refusals that last after the burst.
func TestHeavyBurstLeavesUrgentWork(t *testing.T) {
	l := newLeader()
	l.overload(8 * time.Second)
	urgentLevel := admission.Level{Service: "desk", Priority: urgent}
	for i := range 100 {
		if v := l.submit("large", 10, urgentLevel); v.Refused() {
			t.Fatalf("urgent job %d refused: %+v", i, v)
		}
	}
	if v := l.submit("large", 10, heavyLevel); !v.Refused() || !v.Excess {
		t.Errorf("a heavy job beyond the share was not refused: %+v", v)
	}
	l.overload(0)
	if v := l.submit("large", 10, heavyLevel); v.Refused() || v.Excess {
		t.Errorf("verdict %+v after the burst, want the job to be served like others", v)
	}
}

// TestAllAtTheirShare replays 20 accounts that submit exactly their share while there is no room. It guards against refusals of what every
// account is entitled to.
func TestAllAtTheirShare(t *testing.T) {
	l := newLeader()
	l.overload(30 * time.Second)
	var sources []*source
	for i := range 20 {
		rate := 1 + float64(i)
		sources = append(sources, &source{id: account.ID(fmt.Sprint("a", i)), share: rate, rate: rate})
	}
	l.replay(sources, heavyLevel, 10*time.Second)
	for _, s := range sources {
		if s.refused > 0 {
			t.Errorf("%s: %d of %d jobs refused", s.id, s.refused, s.refused+s.admitted)
		}
	}
}

// TestNoRefusalWithFreeWorkers guards against a refusal while the job finds free workers, whatever else waits.
func TestNoRefusalWithFreeWorkers(t *testing.T) {
	l := newLeader()
	l.overload(time.Minute)
	l.fits = true
	for i := range 100 {
		if v := l.submit("large", 1, heavyLevel); v.Refused() || v.Excess != (i >= 2) {
			t.Fatalf("verdict %+v on job %d with free workers, want it to be admitted, and marked beyond the share", v, i)
		}
	}
}

// TestTooLate guards against a job that is taken in although it cannot be completed in time, and against refusals of jobs that can.
func TestTooLate(t *testing.T) {
	l := newLeader()
	l.overload(30 * time.Second)
	r := admission.Request{Job: "j", Level: heavyLevel, LatestStart: 25 * time.Second}
	decide := func() admission.Verdict {
		return admission.Decide(r, 0, l.shares, l.room, func() bool { return false }, l.now)
	}
	if v := decide(); v.Reason != admission.TooLate || v.RetryAfter < 5*time.Second {
		t.Errorf("verdict %+v, want a refusal until room is expected in time", v)
	}
	for _, latest := range []time.Duration{0, 40 * time.Second} {
		r.LatestStart = latest
		if v := decide(); v.Refused() {
			t.Errorf("refused although the job may start after %v: %+v", latest, v)
		}
	}
}

// TestRoomDoesNotFlap replays a wait that varies around the limit. It guards against refusals that begin and end with each observation.
func TestRoomDoesNotFlap(t *testing.T) {
	l := newLeader()
	changes := 0
	for i := range 40 {
		wait := 1300 * time.Millisecond
		if i%2 == 0 {
			wait = 900 * time.Millisecond
		}
		before := l.room.RefusesExcess(heavyLevel)
		l.overload(wait)
		if l.room.RefusesExcess(heavyLevel) != before {
			changes++
		}
	}
	if changes != 1 {
		t.Errorf("refusals began or ended %d times in 10 s, want once", changes)
	}
}

// TestRoomNeedsFullWorkers guards against a lack of room that is stated while workers are free, because tasks wait for other reasons.
func TestRoomNeedsFullWorkers(t *testing.T) {
	for name, load := range map[string]admission.Load{
		"workers half used":     {Priority: heavy, Used: 0.5, Work: time.Minute, Waiting: 3},
		"what waits would fit":  {Priority: heavy, Used: 0.86, Work: time.Minute, Waiting: 0.05},
		"nothing waits":         {Priority: heavy, Used: 1},
		"waits less than limit": {Priority: heavy, Used: 1, Work: time.Second, Waiting: 0.3, MaxWait: 2 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			room := admission.NewRoom()
			room.Observe("desk", []admission.Load{load})
			if room.RefusesExcess(heavyLevel) {
				t.Errorf("jobs beyond shares are refused; wait %v", room.Wait(heavyLevel))
			}
		})
	}
}

// TestLongRunningTasksLeaveLess guards against an expected wait that counts on capacity that long-running tasks keep.
func TestLongRunningTasksLeaveLess(t *testing.T) {
	room := admission.NewRoom()
	room.Observe("desk", []admission.Load{
		{Priority: 1, Used: 0.5, Lasting: 0.5}, {Priority: heavy, Used: 0.4, Work: 2 * time.Second, Waiting: 1},
	})
	if wait := room.Wait(heavyLevel); wait != 4*time.Second {
		t.Errorf("expected wait %v, want 4 s: half of the capacity is left", wait)
	}
}
