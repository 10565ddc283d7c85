package fault_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"skylarkstall/internal/fault"
)

// TestErrorsPage guards docs/errors.md against kinds that it does not tell of, or tells of wrongly.
// "go test ./internal/fault -run ErrorsPage -update" writes it again.
func TestErrorsPage(t *testing.T) {
	var page strings.Builder
	page.WriteString(`# Errors

Every error that a caller, an operator or another process is told has one of these kinds. "Retry" tells whether the same
request with the same id may succeed later; "ran" tells whether the work ran.

| kind | HTTP status | exit code | retry | ran |
|---|---|---|---|---|
`)
	for _, kind := range fault.Kinds() {
		answer := kind.Response()
		retry := "no"
		if answer.Retryable {
			retry = "yes"
		}
		fmt.Fprintf(&page, "| `%s` | %d | %d | %s | %s |\n", answer.Name, answer.HTTPStatus, answer.ExitCode, retry, answer.Ran)
	}
	goldie.New(t, goldie.WithFixtureDir("../../docs"), goldie.WithNameSuffix(".md")).Assert(t, "errors", []byte(page.String()))
}

// TestTable guards the table itself: names are unique and can be read back, and no kind is missing.
func TestTable(t *testing.T) {
	seen := map[string]bool{}
	for _, kind := range fault.Kinds() {
		answer := kind.Response()
		if answer.Name == "" || answer.HTTPStatus < 400 || answer.ExitCode < 1 || seen[answer.Name] {
			t.Errorf("kind %d: %+v", kind, answer)
		}
		seen[answer.Name] = true
		if fault.ParseKind(answer.Name) != kind {
			t.Errorf("%q is read back as %v", answer.Name, fault.ParseKind(answer.Name))
		}
	}
}
