package team

import (
	"fmt"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/work"
)

// maxRetries is the maximum number of retries that a document may specify.
const maxRetries = 10

func validateKinds(kinds []Kind) []FieldError {
	var errs []FieldError
	seen := map[string]bool{}
	for i, k := range kinds {
		path := fmt.Sprintf("kinds[%d]", i)
		if seen[k.Name] {
			errs = append(errs, FieldError{path + ".name", fmt.Sprintf("%q is used twice", k.Name)})
		}
		seen[k.Name] = true
		errs = append(errs, k.validate(path)...)
	}
	return errs
}

func (k Kind) validate(path string) []FieldError {
	var errs []FieldError
	add := func(field, format string, args ...any) {
		errs = append(errs, FieldError{path + "." + field, fmt.Sprintf(format, args...)})
	}
	if err := ident.Validate("name", k.Name); err != nil {
		add("name", "%v", err)
	}
	if err := k.Size.Validate("size"); err != nil {
		add("size", "%v", err)
	}
	if k.Deadline <= 0 {
		add("deadline", "is %v; want a positive duration", k.Deadline)
	}
	if k.Class == work.Request && k.Deadline > MaxRequestDeadline {
		add("deadline", "is %v; the limit for requests is %v", k.Deadline, MaxRequestDeadline)
	}
	if k.Expected < 0 {
		add("expected", "is %v; want 0 or more", k.Expected)
	}
	if k.Retries < 0 || k.Retries > maxRetries {
		add("retries", "is %d; want 0 to %d", k.Retries, maxRetries)
	}
	if !k.Repeatable && k.Retries > 0 {
		add("retries", "is %d for work that is not repeatable; want 0", k.Retries)
	}
	if k.Spread != "" && k.Spread != "rack" && k.Spread != "zone" {
		add("spread", "is %q; want rack or zone", k.Spread)
	}
	return errs
}
