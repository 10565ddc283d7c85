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

// step is an event at a time in milliseconds, and the candidates expected after it.
type step struct {
	at          int
	heartbeat   ident.ProcessID // sender; empty for none
	session     ident.ProcessID // peer to which a session has been opened; empty for none
	incarnation uint64
	draining    bool
	paused      int // duration in milliseconds of a pause of the process itself that ends now
	delay       int // milliseconds for which the process itself waited for a processor until now
	want        string
}

// TestMembership guards against homes and owners that flap, and against peers that count as dead because of a pause or
// delay of the process itself: the candidates after each step are those that section 2.4 of the design requires.
func TestMembership(t *testing.T) {
	tests := map[string][]step{
		"a new peer is alive at once": {
			{at: 0, heartbeat: "b", want: "a b"},
		},
		"a peer is dead after 3 s and alive after 3 consecutive heartbeats": {
			{at: 0, heartbeat: "b", want: "a b"},
			{at: 2999, want: "a b"},
			{at: 3000, want: "a"},
			{at: 3100, heartbeat: "b", want: "a"},
			{at: 4100, heartbeat: "b", want: "a"},
			{at: 5100, heartbeat: "b", want: "a b"},
		},
		"a missed heartbeat resets the count of consecutive heartbeats": {
			{at: 0, heartbeat: "b", want: "a b"},
			{at: 3000, want: "a"},
			{at: 4000, heartbeat: "b", want: "a"},
			{at: 5000, heartbeat: "b", want: "a"},
			{at: 7500, heartbeat: "b", want: "a"},
			{at: 8500, heartbeat: "b", want: "a"},
			{at: 9500, heartbeat: "b", want: "a b"},
		},
		"a new session gives a live peer one interval to send a heartbeat": {
			{at: 0, heartbeat: "b", want: "a b"},
			{at: 1000, session: "b", want: "a b"},
			{at: 2800, session: "b", want: "a b"},
			{at: 3799, want: "a b"},
			{at: 3800, want: "a"},
			{at: 3900, session: "b", want: "a"},
		},
		"heartbeats that arrive together count once": {
			{at: 0, heartbeat: "b", want: "a b"},
			{at: 3000, want: "a"},
			{at: 4000, heartbeat: "b", want: "a"},
			{at: 4001, heartbeat: "b", want: "a"},
			{at: 4002, heartbeat: "b", want: "a"},
		},
		"a restart before the peer counts as dead changes no candidate": {
			{at: 0, heartbeat: "b", incarnation: 1, want: "a b"},
			{at: 2000, heartbeat: "b", incarnation: 2, want: "a b"},
		},
		"a process that restarts repeatedly does not rejoin": {
			{at: 0, heartbeat: "b", incarnation: 1, want: "a b"},
			{at: 3000, want: "a"},
			{at: 5000, heartbeat: "b", incarnation: 2, want: "a"},
			{at: 9000, heartbeat: "b", incarnation: 3, want: "a"},
		},
		"an earlier incarnation is ignored while the later one is alive": {
			{at: 0, heartbeat: "b", incarnation: 2, want: "a b"},
			{at: 2000, heartbeat: "b", incarnation: 1, draining: true, want: "a b"},
			{at: 3000, want: "a"},
		},
		"a draining peer is not a candidate": {
			{at: 0, heartbeat: "b", want: "a b"},
			{at: 1000, heartbeat: "b", draining: true, want: "a"},
		},
		"a short pause of the process itself does not make peers dead": {
			{at: 0, heartbeat: "b", want: "a b"},
			{at: 3500, paused: 1500, want: "a b"},
			{at: 6500, want: "a"},
		},
		"time in which the process had no processor extends the timeout of peers": {
			{at: 0, heartbeat: "b", want: "a b"},
			{at: 2000, delay: 900, want: "a b"},
			{at: 3500, delay: 900, want: "a b"},
			{at: 4700, want: "a b"},
			{at: 4800, want: "a"},
		},
		"a delay extends the timeout no more than a heartbeat does": {
			{at: 0, heartbeat: "b", want: "a b"},
			{at: 500, delay: 900, want: "a b"},
			{at: 3500, want: "a"},
		},
		"after a long pause the process rejoins before it is a candidate": {
			{at: 0, heartbeat: "b", want: "a b"},
			{at: 5000, paused: 5000, want: "b"},
			{at: 5500, heartbeat: "b", want: "b"},
			{at: 6500, heartbeat: "b", want: "b"},
			{at: 7500, heartbeat: "b", want: "a b"},
		},
		"after a long pause a process without peers is the only candidate": {
			{at: 0, heartbeat: "b", want: "a b"},
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
	case s.delay > 0:
		m.ExtendDeadlines(now, time.Duration(s.delay)*time.Millisecond)
	case s.paused > 0:
		m.ResumeAfterPause(now, time.Duration(s.paused)*time.Millisecond)
	case s.session != "":
		m.SessionOpened(now, s.session)
	case s.heartbeat != "":
		m.Heartbeat(now, membership.Peer{ID: s.heartbeat, Incarnation: s.incarnation, Draining: s.draining})
	}
	m.Expire(now)
}

// candidates returns the processes that own at least one of 200 workers.
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

// TestViews guards against unnecessary moves of partitions: two processes with the same view must agree on every home,
// and if their views differ by one process, they may disagree only on the partitions of that process.
func TestViews(t *testing.T) {
	now := time.Unix(1, 0)
	full := membership.New(membership.Peer{ID: "a"}, settings)
	same := membership.New(membership.Peer{ID: "b"}, settings)
	partial := membership.New(membership.Peer{ID: "b"}, settings)
	for _, id := range []ident.ProcessID{"b", "c"} {
		full.Heartbeat(now, membership.Peer{ID: id})
	}
	for _, id := range []ident.ProcessID{"a", "c"} {
		same.Heartbeat(now, membership.Peer{ID: id})
	}
	partial.Heartbeat(now, membership.Peer{ID: "a"})
	for p := range ident.PartitionID(ident.PartitionCount) {
		if full.Home(p) != same.Home(p) {
			t.Errorf("partition %d: homes %s and %s in equal views", p, full.Home(p), same.Home(p))
		}
		if full.Home(p) != "c" && full.Home(p) != partial.Home(p) {
			t.Errorf("partition %d moved from %s to %s, but only c is missing", p, full.Home(p), partial.Home(p))
		}
	}
}

// TestForget guards against unbounded memory use in a process that runs for months: dead peers that are not in the VM
// list are removed, but a peer that left the list and still sends heartbeats is kept.
func TestForget(t *testing.T) {
	m := membership.New(membership.Peer{ID: "a"}, settings)
	m.Heartbeat(time.Unix(10, 0), membership.Peer{ID: "b"})
	m.Heartbeat(time.Unix(10, 0), membership.Peer{ID: "c"})
	m.Heartbeat(time.Unix(12, 0), membership.Peer{ID: "c"})
	m.Expire(time.Unix(13, 0))
	removed := m.RemoveDead(func(ident.ProcessID) bool { return false })
	if diff := cmp.Diff([]ident.ProcessID{"b"}, removed); diff != "" {
		t.Error(diff)
	}
	if !m.Alive("c") {
		t.Error("a live peer was removed because it is not in the VM list")
	}
}
