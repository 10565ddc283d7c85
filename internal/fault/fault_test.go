package fault_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"skylarkstall/internal/fault"
)

// TestErrorsPage guards against docs/errors.md differing from the table of error kinds.
// "go test ./internal/fault -run ErrorsPage -update" regenerates the page.
func TestErrorsPage(t *testing.T) {
	var page strings.Builder
	page.WriteString(`# Errors

Every error that is returned to a caller, an operator or another process has one of these kinds. "Retry" states whether
the same request with the same id may succeed later; "ran" states whether the work was executed.

| kind | HTTP status | exit code | retry | ran |
|---|---|---|---|---|
`)
	for _, kind := range fault.Kinds() {
		response := kind.Response()
		retry := "no"
		if response.Retryable {
			retry = "yes"
		}
		fmt.Fprintf(&page, "| `%s` | %d | %d | %s | %s |\n",
			response.Name, response.HTTPStatus, response.ExitCode, retry, response.Execution)
	}
	goldie.New(t, goldie.WithFixtureDir("../../docs"), goldie.WithNameSuffix(".md")).Assert(t, "errors", []byte(page.String()))
}

// TestTable guards against kinds without a row in the table, invalid status or exit codes, and names that are not unique or
// do not parse back to their kind.
func TestTable(t *testing.T) {
	seen := map[string]bool{}
	for _, kind := range fault.Kinds() {
		response := kind.Response()
		if response.Name == "" || response.HTTPStatus < 400 || response.ExitCode < 1 || seen[response.Name] {
			t.Errorf("kind %d has an invalid or duplicate row: %+v", kind, response)
		}
		seen[response.Name] = true
		if fault.ParseKind(response.Name) != kind {
			t.Errorf("ParseKind(%q) = %v, want %v", response.Name, fault.ParseKind(response.Name), kind)
		}
	}
}

// TestRetryAfter guards against a time that is lost when an error is wrapped, and against one that nobody stated.
func TestRetryAfter(t *testing.T) {
	err := fault.WithRetryAfter(fault.New(fault.QuotaExceeded, "too many"), 3*time.Second)
	for _, wrapped := range []error{err, fault.Wrap(err, "submit"), fault.WrapAs(fault.Overloaded, err, "submit")} {
		if after, ok := fault.RetryAfterOf(wrapped); !ok || after != 3*time.Second {
			t.Errorf("%v: retry after %v, %v; want 3 s", wrapped, after, ok)
		}
	}
	if !fault.Is(err, fault.QuotaExceeded) || err.Error() != "too many" {
		t.Errorf("error %v of kind %v; want the original ones", err, fault.KindOf(err))
	}
	for _, other := range []error{nil, fault.New(fault.QuotaExceeded, "too many"), fault.WithRetryAfter(nil, time.Second)} {
		if after, ok := fault.RetryAfterOf(other); ok {
			t.Errorf("%v: retry after %v", other, after)
		}
	}
}
