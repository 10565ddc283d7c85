package fault_test

import (
	"fmt"
	"strings"
	"testing"

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
