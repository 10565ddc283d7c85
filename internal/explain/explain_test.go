package explain_test

import (
	"strings"
	"testing"

	"skylarkstall/internal/explain"
)

// TestReasonOfLongestWait guards against lines about a waiting task that hide how long it waited, and against a wait that is
// explained without its reason.
func TestReasonOfLongestWait(t *testing.T) {
	h := explain.New("j")
	for _, text := range []string{
		`time=2026-12-05T08:00:00.000Z msg="job taken in" process=p job=j`,
		`time=2026-12-05T08:00:01.000Z msg="tasks wait" process=p step=j.0.0 kind=no_permit waited_ms=1000`,
		`time=2026-12-05T08:00:02.000Z msg="tasks wait" process=p step=j.0.0 kind=no_permit waited_ms=2000`,
		`time=2026-12-05T08:00:03.000Z msg="run ordered" process=p task=j.0.0.0 run=1`,
	} {
		h.Add(text)
	}
	cause := h.Cause()
	for _, want := range []string{"3.000 s", `"run ordered"`, "tasks waited because of: no_permit (j.0.0)"} {
		if !strings.Contains(cause, want) {
			t.Errorf("cause %q lacks %q", cause, want)
		}
	}
	if strings.Count(cause, "no_permit") != 1 {
		t.Errorf("cause %q names the reason more than once", cause)
	}
}
