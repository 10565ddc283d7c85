package fitness_test

import (
	"testing"
	"time"

	"skylarkstall/internal/domain/fitness"
)

var start = time.Date(2026, 5, 1, 9, 0, 0, 0, time.UTC)

// TestElectionDelay guards against a recovery that becomes slower because processes wait for others that have no more than they do, and
// against a small process that takes the lead before a larger one in reach.
func TestElectionDelay(t *testing.T) {
	for name, c := range map[string]struct {
		own, largest fitness.Share
		min, max     time.Duration
	}{
		"all of a small cell have 0.4":    {0.4, 0.4, 0, 0},
		"all have a seventh":              {0.144, 0.144, 0, 0},
		"largest":                         {0.8, 0.48, 0, 0},
		"about as large as the largest":   {0.7, 0.8, 0, 0},
		"middle VM":                       {0.48, 0.8, 100 * time.Millisecond, 200 * time.Millisecond},
		"small VM":                        {0.144, 0.8, 300 * time.Millisecond, 400 * time.Millisecond},
		"no share of another is known":    {0.144, 0, 0, 0},
		"its own share is not known":      {0, 0.8, 0, 0},
		"much smaller than a large other": {0.01, 16, 390 * time.Millisecond, 400 * time.Millisecond},
	} {
		if got := fitness.ElectionDelay(c.own, c.largest); got < c.min || got > c.max {
			t.Errorf("%s: delay %v, want %v to %v", name, got, c.min, c.max)
		}
	}
}

// TestUsableShare guards against a leader with a processor of middle size behind a link that is as narrow as that of the smallest VM.
func TestUsableShare(t *testing.T) {
	large, middle, small := fitness.UsableShare(0.8, 200), fitness.UsableShare(0.48, 10), fitness.UsableShare(0.144, 10)
	if large != 0.8 || fitness.UsableShare(0.4, 1000) != 0.4 || fitness.UsableShare(0.4, 0) != 0.4 {
		t.Error("a wide or unknown link takes something of the share of a processor")
	}
	if !large.Outmatches(middle) || middle.Outmatches(small) {
		t.Errorf("usable shares %v, %v and %v; want only the first to outmatch", large, middle, small)
	}
	if fitness.StartingDelay(middle) < 200*time.Millisecond {
		t.Errorf("a process behind a narrow link waits for %v only", fitness.StartingDelay(middle))
	}
}

// TestStartingDelay guards against a slower start of cells in which no process knows another yet.
func TestStartingDelay(t *testing.T) {
	for own, want := range map[fitness.Share]time.Duration{0: 0, 0.1: 300 * time.Millisecond, 0.4: 0, 0.8: 0} {
		if got := fitness.StartingDelay(own); got != want {
			t.Errorf("delay of a process with %v of a core: %v, want %v", own, got, want)
		}
	}
}

// TestHandOver names the situations in which the leader of a cell gives way to a better placed process, or stays.
func TestHandOver(t *testing.T) {
	for name, c := range map[string]struct {
		own, offered fitness.Share
		after        time.Duration // of the term
		lateFor      time.Duration
		want         fitness.Reason
	}{
		"smallest VM is first back after a loss of power": {0.144, 0.8, time.Second, 0, fitness.CellStarts},
		"middle VM is first back after a loss of power":   {0.48, 0.8, time.Second, 0, fitness.CellStarts},
		"all VMs are equal":                                 {0.4, 0.4, time.Second, 0, fitness.Stays},
		"all VMs are equal and the leader is late":          {0.4, 0.4, time.Minute, time.Minute, fitness.Stays},
		"a tenth more":                                      {0.4, 0.44, time.Second, time.Minute, fitness.Stays},
		"larger VM joins a middle one under low load":       {0.48, 0.8, time.Minute, 0, fitness.Stays},
		"larger VM joins the smallest one under low load":   {0.144, 0.8, time.Minute, 0, fitness.SmallShare},
		"leader is late during a burst":                     {0.48, 0.8, time.Minute, 2 * time.Second, fitness.FallsBehind},
		"leader was paused for a moment":                    {0.48, 0.8, time.Minute, 800 * time.Millisecond, fitness.Stays},
		"smaller VM offers to a late leader":                {0.8, 0.48, time.Minute, time.Minute, fitness.Stays},
		"process of an earlier version offers":              {0.144, 0, time.Minute, 0, fitness.SmallShare},
		"leader that does not know its share gets an offer": {0, 0.8, time.Minute, 0, fitness.SmallShare},
	} {
		tenure := fitness.NewTenure(c.own)
		tenure.Begin(start)
		if got := tenure.HandOver(c.offered, c.lateFor, start.Add(c.after)); got != c.want {
			t.Errorf("%s: %q, want %q", name, got, c.want)
		}
	}
}

// TestLeadDoesNotTravel guards against a cell that changes its leader again and again: the better placed process is lost each time as
// soon as it has taken over, and the former leader leads again.
func TestLeadDoesNotTravel(t *testing.T) {
	tenure := fitness.NewTenure(0.48)
	handOvers := 0
	for at := time.Duration(0); at < time.Minute; at += 2 * time.Second { // a term of two seconds each
		now := start.Add(at)
		tenure.Begin(now)
		if tenure.HandOver(0.8, 0, now.Add(time.Second)) != fitness.Stays {
			handOvers++
		}
	}
	if handOvers != 3 {
		t.Errorf("%d hand-overs in a minute, want one each 20 s", handOvers)
	}
}

// TestLateness guards against a leader that takes one pause or a single burst for lateness, and against one that stays late after the
// load is over.
func TestLateness(t *testing.T) {
	var l fitness.Lateness
	if got := l.For(start); got != 0 {
		t.Errorf("late for %v without a sign", got)
	}
	l.Note(fitness.LateTimer, start)
	l.Note(fitness.LateTimer, start.Add(5*time.Second)) // far apart
	if got := l.For(start.Add(5500 * time.Millisecond)); got != 500*time.Millisecond {
		t.Errorf("late for %v since the last of two separate pauses, want 500ms", got)
	}
	burst := start.Add(time.Minute)
	for at := time.Duration(0); at <= 3*time.Second; at += 500 * time.Millisecond {
		l.Note(fitness.PassesBehind, burst.Add(at))
	}
	if got := l.For(burst.Add(3 * time.Second)); got != 3*time.Second {
		t.Errorf("late for %v at the end of a burst of 3 s", got)
	}
	if got := l.For(burst.Add(4100 * time.Millisecond)); got != 0 {
		t.Errorf("still late for %v after the burst", got)
	}
	if n := l.Counts()[fitness.PassesBehind]; n != 7 {
		t.Errorf("%d signs of passes behind, want 7", n)
	}
}
