package route_test

import (
	"testing"
	"time"

	"skylarkstall/internal/domain/route"
)

// TestNeverBack guards against an older or equal version replacing the active configuration.
func TestNeverBack(t *testing.T) {
	var table route.Table
	for _, c := range []struct {
		version uint64
		applied bool
	}{{7, true}, {7, false}, {3, false}, {12, true}} {
		if got := table.Apply(route.Config{Version: c.version}); got != c.applied {
			t.Errorf("Apply(version %d) = %v, want %v", c.version, got, c.applied)
		}
	}
	if v := table.Config().Version; v != 12 {
		t.Errorf("active version %d, want 12", v)
	}
}

// TestMatch guards against a request being assigned to the wrong queue.
func TestMatch(t *testing.T) {
	var table route.Table
	table.Apply(route.Config{Version: 1, Queues: []route.Queue{
		{Name: "a", Host: "h", Prefix: "/a/"}, {Name: "deep", Host: "h", Prefix: "/a/b/"}, {Name: "other", Host: "g", Prefix: "/"},
	}})
	for _, c := range []struct{ host, path, want string }{
		{"h", "/a/1", "a"}, {"h", "/a/b/1", "deep"}, {"h", "/b/1", ""}, {"g", "/a/1", "other"}, {"x", "/a/1", ""},
	} {
		if q, ok := table.Match(c.host, c.path); q.Name != c.want || ok != (c.want != "") {
			t.Errorf("Match(%q, %q) = %q, want %q", c.host, c.path, q.Name, c.want)
		}
	}
}

// TestConfirmation guards against a configuration that counts as confirmed by evidence about another version, or whose
// age falls when older evidence arrives late.
func TestConfirmation(t *testing.T) {
	var table route.Table
	table.Apply(route.Config{Version: 7})
	start := time.Unix(1_700_000_000, 0)
	for _, c := range []struct {
		version uint64
		at      time.Duration
		want    time.Duration
	}{
		{7, 10 * time.Second, 10 * time.Second},
		{3, 20 * time.Second, 10 * time.Second},
		{9, 20 * time.Second, 10 * time.Second},
		{7, 5 * time.Second, 10 * time.Second},
		{7, 12 * time.Second, 12 * time.Second},
	} {
		table.Confirm(c.version, start.Add(c.at), "store")
		if got := table.Confirmed().At.Sub(start); got != c.want {
			t.Errorf("after evidence about version %d at %v: confirmed at %v, want %v", c.version, c.at, got, c.want)
		}
	}
}

// TestQueueRefMatches guards against a job that is out of reach because the operator gave its queue another name or another address, and
// against one that is shown to the callers of another queue.
func TestQueueRefMatches(t *testing.T) {
	job := route.QueueRef{Name: "q", Host: "h", Prefix: "/q/"}
	for _, c := range []struct {
		other route.QueueRef
		want  bool
	}{
		{route.QueueRef{Name: "other", Host: "h", Prefix: "/q/"}, true},
		{route.QueueRef{Name: "q", Host: "h", Prefix: "/moved/"}, true},
		{route.QueueRef{Name: "q"}, true},
		{route.QueueRef{Name: "other", Host: "g", Prefix: "/q/"}, false},
		{route.QueueRef{Name: "other", Host: "h", Prefix: "/"}, false},
		{route.QueueRef{Name: "other"}, false},
	} {
		if got := job.Matches(c.other); got != c.want || c.other.Matches(job) != c.want {
			t.Errorf("%v matches %v: %v, want %v", job, c.other, got, c.want)
		}
	}
	if old := (route.QueueRef{Name: "q"}); old.Matches(route.QueueRef{Name: "other"}) {
		t.Error("two references without an address match, although their names differ")
	}
}

// TestCurrent guards against tasks that do not follow the settings of their queue after it got another name, and against tasks that move
// to another service because a new queue has the address of one that was removed.
func TestCurrent(t *testing.T) {
	var table route.Table
	table.Apply(route.Config{Version: 1, Queues: []route.Queue{
		{Name: "q", Host: "h", Prefix: "/q/", Service: "desk", Priority: 1},
		{Name: "renamed", Host: "h", Prefix: "/a/", Service: "desk", Priority: 2},
		{Name: "replaced", Host: "h", Prefix: "/b/", Service: "kiln", Priority: 3},
		{Name: "without an address", Service: "desk", Priority: 4},
	}})
	for _, c := range []struct {
		queue    route.Queue
		priority int
	}{
		{route.Queue{Name: "q", Host: "h", Prefix: "/a/", Service: "kiln"}, 1},
		{route.Queue{Name: "former", Host: "h", Prefix: "/a/", Service: "desk"}, 2},
		{route.Queue{Name: "former", Host: "h", Prefix: "/b/", Service: "desk"}, 0},
		{route.Queue{Name: "former", Service: "desk"}, 0},
	} {
		if got := table.Current(c.queue); got.Priority != c.priority {
			t.Errorf("settings of %+v: priority %d, want %d", c.queue, got.Priority, c.priority)
		}
	}
}

// TestNoEvidenceBeforeConfiguration guards against a process that has read a record which it cannot decode, and takes an older
// configuration of a peer for the newest one as of that read.
func TestNoEvidenceBeforeConfiguration(t *testing.T) {
	var table route.Table
	table.Confirm(0, time.Unix(1_700_000_000, 0), "store") // 0: the record could not be decoded
	table.Apply(route.Config{Version: 5})
	if _, evidence := table.Active(); !evidence.At.IsZero() {
		t.Errorf("version 5 counts as the newest one at %v", evidence.At)
	}
}
