package cli_test

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"skylarkstall/internal/cli"
)

// TestDemo checks that the demo runs work of every class for both teams and that all its checks pass.
func TestDemo(t *testing.T) {
	var out, errOut bytes.Buffer
	args := []string{"dev", "--demo", "--caller-address", "127.0.0.1:0", "--log-level", "error"}
	if code := cli.Main(context.Background(), args, &out, &errOut); code != 0 {
		var failed []string
		for line := range strings.Lines(out.String()) {
			if strings.HasPrefix(line, "check FAILED") {
				failed = append(failed, line)
			}
		}
		t.Fatalf("exit code %d: %s%s", code, errOut.String(), strings.Join(failed, ""))
	}
	if !strings.Contains(out.String(), "all checks passed") || !strings.Contains(out.String(), "timeline of all") {
		t.Errorf("output ends with %q; want the timeline of all processes and \"all checks passed\"", out.String()[max(0, out.Len()-200):])
	}
}

// TestExitCodes checks the exit codes, on which scripts depend.
func TestExitCodes(t *testing.T) {
	tests := []struct {
		args []string
		code int
	}{
		{[]string{"submit", "--output", "xml"}, 64},
		{[]string{"nonsense"}, 64},
		{[]string{"status", "--address", "127.0.0.1:1", "--team", "vembanad", "--request-id", "r"}, 69},
		{[]string{"cancel", "--help"}, 0},
	}
	for _, test := range tests {
		var out, errOut bytes.Buffer
		if code := cli.Main(context.Background(), test.args, &out, &errOut); code != test.code {
			t.Errorf("%v: exit code %d, want %d: %s", test.args, code, test.code, errOut.String())
		}
	}
}
