package membership_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/membership"
)

var settings = membership.Settings{HeartbeatInterval: time.Second, DeadAfter: 3 * time.Second, RejoinHeartbeats: 3}

// step is one thing that happens at a time, in milliseconds, and the live candidates that must follow from it.
type step struct {
	at          int
	beat        ident.ProcessID
	incarnation uint64
	draining    bool
	paused      int // milliseconds; the process itself was paused until now
	late        int // milliseconds; the process itself waited that long for a processor until now
	want        string
}

// TestMembership guards the choice of homes and owners against flapping and against evidence that is no evidence: the
// candidates after each step are those that section 2.4 of the design asks for.
func TestMembership(t *testing.T) {
	tests := map[string][]step{
		"a new peer is alive at once": {
			{at: 0, beat: "b", want: "a b"},
		},
		"a peer is dead after 3 s and alive after 3 heartbeats in a row": {
			{at: 0, beat: "b", want: "a b"},
			{at: 2999, want: "a b"},
			{at: 3000, want: "a"},
			{at: 3100, beat: "b", want: "a"},
			{at: 4100, beat: "b", want: "a"},
			{at: 5100, beat: "b", want: "a b"},
		},
		"a missed heartbeat begins the row anew": {
			{at: 0, beat: "b", want: "a b"},
			{at: 3000, want: "a"},
			{at: 4000, beat: "b", want: "a"},
			{at: 5000, beat: "b", want: "a"},
			{at: 7500, beat: "b", want: "a"},
			{at: 8500, beat: "b", want: "a"},
			{at: 9500, beat: "b", want: "a b"},
		},
		"heartbeats that arrive together count once": {
			{at: 0, beat: "b", want: "a b"},
			{at: 3000, want: "a"},
			{at: 4000, beat: "b", want: "a"},
			{at: 4001, beat: "b", want: "a"},
			{at: 4002, beat: "b", want: "a"},
		},
		"a restart before the peer counts as dead does not move anything": {
			{at: 0, beat: "b", incarnation: 1, want: "a b"},
			{at: 2000, beat: "b", incarnation: 2, want: "a b"},
		},
		"a process that restarts again and again stays out": {
			{at: 0, beat: "b", incarnation: 1, want: "a b"},
			{at: 3000, want: "a"},
			{at: 5000, beat: "b", incarnation: 2, want: "a"},
			{at: 9000, beat: "b", incarnation: 3, want: "a"},
		},
		"a former incarnation is ignored while the later one is alive": {
			{at: 0, beat: "b", incarnation: 2, want: "a b"},
			{at: 2000, beat: "b", incarnation: 1, draining: true, want: "a b"},
			{at: 3000, want: "a"},
		},
		"a draining peer is no candidate": {
			{at: 0, beat: "b", want: "a b"},
			{at: 1000, beat: "b", draining: true, want: "a"},
		},
		"a short pause of the process itself is no evidence against peers": {
			{at: 0, beat: "b", want: "a b"},
			{at: 3500, paused: 1500, want: "a b"},
			{at: 6500, want: "a"},
		},
		"the time in which the process got no processor is no silence": {
			{at: 0, beat: "b", want: "a b"},
			{at: 2000, late: 900, want: "a b"},
			{at: 3500, late: 900, want: "a b"},
			{at: 4700, want: "a b"},
			{at: 4800, want: "a"},
		},
		"a lateness gives a peer no more time than a heartbeat": {
			{at: 0, beat: "b", want: "a b"},
			{at: 500, late: 900, want: "a b"},
			{at: 3500, want: "a"},
		},
		"after a long pause the process renews before it is a candidate": {
			{at: 0, beat: "b", want: "a b"},
			{at: 5000, paused: 5000, want: "b"},
			{at: 5500, beat: "b", want: "b"},
			{at: 6500, beat: "b", want: "b"},
			{at: 7500, beat: "b", want: "a b"},
		},
		"after a long pause a process without peers goes on alone": {
			{at: 0, beat: "b", want: "a b"},
			{at: 5000, paused: 5000, want: "b"},
			{at: 8000, want: "a"},
		},
	}
	for name, steps := range tests {
		t.Run(name, func(t *testing.T) {
			m := membership.New(membership.Peer{ID: "a"}, settings)
			for _, s := range steps {
				apply(m, s)
				if got := candidates(m); got != s.want {
					t.Fatalf("at %d ms: candidates %q; want %q", s.at, got, s.want)
				}
			}
		})
	}
}

func apply(m *membership.Membership, s step) {
	now := time.UnixMilli(int64(1_000_000 + s.at))
	switch {
	case s.late > 0:
		m.ExtendDeadlines(now, time.Duration(s.late)*time.Millisecond)
	case s.paused > 0:
		m.ResumeAfterPause(now, time.Duration(s.paused)*time.Millisecond)
	case s.beat != "":
		m.Heartbeat(now, membership.Peer{ID: s.beat, Incarnation: s.incarnation, Draining: s.draining})
	}
	m.Expire(now)
}

// candidates returns the processes that are the home of at least one partition, or the owner of one of many workers.
func candidates(m *membership.Membership) string {
	seen := map[ident.ProcessID]bool{}
	for i := range 200 {
		seen[m.Owner(ident.WorkerID(fmt.Sprint(i)), "")] = true
	}
	out := ""
	for _, id := range []ident.ProcessID{"a", "b", "c"} {
		if seen[id] {
			out += " " + string(id)
		}
	}
	return out[1:]
}

// TestViews guards the move of partitions: two processes with the same view agree on every home, and with views that
// differ by one process they disagree only on what that process holds.
func TestViews(t *testing.T) {
	now := time.Unix(1, 0)
	full := membership.New(membership.Peer{ID: "a"}, settings)
	same := membership.New(membership.Peer{ID: "b"}, settings)
	less := membership.New(membership.Peer{ID: "b"}, settings)
	for _, id := range []ident.ProcessID{"b", "c"} {
		full.Heartbeat(now, membership.Peer{ID: id})
	}
	for _, id := range []ident.ProcessID{"a", "c"} {
		same.Heartbeat(now, membership.Peer{ID: id})
	}
	less.Heartbeat(now, membership.Peer{ID: "a"})
	for p := range ident.PartitionID(ident.PartitionCount) {
		if full.Home(p) != same.Home(p) {
			t.Errorf("partition %d: homes %s and %s in equal views", p, full.Home(p), same.Home(p))
		}
		if full.Home(p) != "c" && full.Home(p) != less.Home(p) {
			t.Errorf("partition %d moved from %s to %s, but only c is missing", p, full.Home(p), less.Home(p))
		}
	}
}

// TestForget guards the memory of a process that runs for months: peers that are dead and not listed are forgotten, and
// a peer that left the list but still sends heartbeats is not.
func TestForget(t *testing.T) {
	m := membership.New(membership.Peer{ID: "a"}, settings)
	m.Heartbeat(time.Unix(10, 0), membership.Peer{ID: "b"})
	m.Heartbeat(time.Unix(10, 0), membership.Peer{ID: "c"})
	m.Heartbeat(time.Unix(12, 0), membership.Peer{ID: "c"})
	m.Expire(time.Unix(13, 0))
	gone := m.RemoveDead(func(ident.ProcessID) bool { return false })
	if diff := cmp.Diff([]ident.ProcessID{"b"}, gone); diff != "" {
		t.Error(diff)
	}
	if !m.Alive("c") {
		t.Error("a live peer was forgotten with its row of the VM list")
	}
}
