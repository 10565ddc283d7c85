package textdiff_test

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"skylarkstall/internal/textdiff"
)

// TestLines checks that an operator sees every differing line before a change is applied, and that secrets are hidden.
func TestLines(t *testing.T) {
	tests := map[string]struct{ oldText, newText, want string }{
		"equal":      {"a\nb\n", "a\nb\n", ""},
		"changed":    {"a\nb\nc\n", "a\nx\nc\n", "line 2:\n- b\n+ x\n"},
		"added":      {"a\nc\n", "a\nb\nc\n", "line 2:\n+ b\n"},
		"removed":    {"a\nb\nc\n", "a\nc\n", "line 2:\n- b\n"},
		"two hunks":  {"a\nb\nc\nd\n", "x\nb\nc\ny\n", "line 1:\n- a\n+ x\nline 4:\n- d\n+ y\n"},
		"from empty": {"", "a\n", "line 1:\n+ a\n"},
		"a secret":   {"token: one\n", "token: two\n", "line 1:\n- token: (hidden)\n+ token: (hidden)\n"},
	}
	hide := func(line string) bool { return strings.HasPrefix(line, "token:") }
	for name, test := range tests {
		if diff := cmp.Diff(test.want, textdiff.Lines(test.oldText, test.newText, hide)); diff != "" {
			t.Errorf("%s: %s", name, diff)
		}
	}
}
