package textdiff_test

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"skylarkstall/internal/textdiff"
)

// TestLines guards what an operator sees before a change: every line that differs, and no secret.
func TestLines(t *testing.T) {
	tests := map[string]struct{ old, text, want string }{
		"equal":     {"a\nb\n", "a\nb\n", ""},
		"changed":   {"a\nb\nc\n", "a\nx\nc\n", "line 2:\n- b\n+ x\n"},
		"added":     {"a\nc\n", "a\nb\nc\n", "line 2:\n+ b\n"},
		"removed":   {"a\nb\nc\n", "a\nc\n", "line 2:\n- b\n"},
		"two runs":  {"a\nb\nc\nd\n", "x\nb\nc\ny\n", "line 1:\n- a\n+ x\nline 4:\n- d\n+ y\n"},
		"from none": {"", "a\n", "line 1:\n+ a\n"},
		"a secret":  {"token: one\n", "token: two\n", "line 1:\n- token: (hidden)\n+ token: (hidden)\n"},
	}
	hide := func(line string) bool { return strings.HasPrefix(line, "token:") }
	for name, test := range tests {
		if diff := cmp.Diff(test.want, textdiff.Lines(test.old, test.text, hide)); diff != "" {
			t.Errorf("%s: %s", name, diff)
		}
	}
}
