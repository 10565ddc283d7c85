// Package fault holds the closed list of error kinds and the table that maps each kind to the answer a caller gets.
//
// Every error that leaves a package carries one of these kinds. An error without a kind counts as Internal.
package fault

import (
	"errors"
	"fmt"

	"github.com/rotisserie/eris"
)

// Kind is one of the closed list of error kinds.
type Kind uint8

// The closed list. Its numbers are part of the peer protocol: append only.
const (
	Internal Kind = iota
	Invalid
	Unauthorized
	NotFound
	Conflict
	TooLarge
	Impossible
	QuotaExceeded
	Overloaded
	DeadlineExceeded
	Unavailable
	StoreUnavailable
	StaleEpoch
	NoCapacity
	Canceled
	Draining
	NotReady
	UnknownOutcome
	TaskFailed
	Interrupted
	Compacted
	Superseded
	kindCount
)

// Ran tells whether the work behind an error ran.
type Ran uint8

// Whether the work ran.
const (
	RanNo Ran = iota
	RanYes
	RanUnknown
)

// String returns no, yes or unknown.
func (r Ran) String() string {
	return [...]string{"no", "yes", "unknown"}[r]
}

// Response is a row of the table: what a caller is told for a kind.
type Response struct {
	Name       string // stable name in answers, logs and metrics
	HTTPStatus int    // HTTP status
	ExitCode   int    // process exit code
	Retryable  bool   // the same request may succeed later
	Ran        Ran    // whether the work ran
}

var table = [kindCount]Response{
	Internal:         {"internal", 500, 70, false, RanUnknown},
	Invalid:          {"invalid", 400, 64, false, RanNo},
	Unauthorized:     {"unauthorized", 401, 77, false, RanNo},
	NotFound:         {"not_found", 404, 66, false, RanNo},
	Conflict:         {"conflict", 409, 73, false, RanNo},
	TooLarge:         {"too_large", 413, 65, false, RanNo},
	Impossible:       {"impossible", 422, 78, false, RanNo},
	QuotaExceeded:    {"quota_exceeded", 429, 75, true, RanNo},
	Overloaded:       {"overloaded", 503, 75, true, RanNo},
	DeadlineExceeded: {"deadline_exceeded", 504, 75, false, RanNo},
	Unavailable:      {"unavailable", 503, 69, true, RanNo},
	StoreUnavailable: {"store_unavailable", 503, 69, true, RanNo},
	StaleEpoch:       {"stale_epoch", 409, 75, true, RanNo},
	NoCapacity:       {"no_capacity", 503, 75, true, RanNo},
	Canceled:         {"canceled", 410, 79, false, RanNo},
	Draining:         {"draining", 503, 75, true, RanNo},
	NotReady:         {"not_ready", 503, 69, true, RanNo},
	UnknownOutcome:   {"unknown_outcome", 504, 74, false, RanUnknown},
	TaskFailed:       {"task_failed", 500, 1, false, RanYes},
	Interrupted:      {"interrupted", 504, 75, true, RanUnknown},
	Compacted:        {"compacted", 410, 75, true, RanNo},
	Superseded:       {"superseded", 409, 75, true, RanNo},
}

// Kinds returns every kind in the order of the list.
func Kinds() []Kind {
	kinds := make([]Kind, kindCount)
	for i := range kinds {
		kinds[i] = Kind(i)
	}
	return kinds
}

// Response returns the row of the table for k. A number outside the list is Internal.
func (k Kind) Response() Response {
	if k >= kindCount {
		return table[Internal]
	}
	return table[k]
}

// String returns the stable name of the kind.
func (k Kind) String() string { return k.Response().Name }

// ParseKind returns the kind with the given stable name, or Internal if there is none.
func ParseKind(name string) Kind {
	for i, answer := range table {
		if answer.Name == name {
			return Kind(i)
		}
	}
	return Internal
}

type kindError struct {
	kind Kind
	msg  string
}

func (e *kindError) Error() string { return e.msg }

// New returns an error of kind k.
func New(k Kind, format string, args ...any) error {
	return &kindError{kind: k, msg: fmt.Sprintf(format, args...)}
}

// Wrap adds a message to err and keeps its kind. It returns nil for a nil err.
func Wrap(err error, format string, args ...any) error {
	return eris.Wrapf(err, format, args...)
}

// WrapAs gives err the kind k, in place of any kind that it has. It returns nil for a nil err.
func WrapAs(k Kind, err error, msg string) error {
	if err == nil {
		return nil
	}
	return &kindError{kind: k, msg: msg + ": " + err.Error()}
}

// KindOf returns the kind that err carries; Internal if it carries none.
func KindOf(err error) Kind {
	var ke *kindError
	if errors.As(err, &ke) {
		return ke.kind
	}
	return Internal
}

// Is reports whether err carries kind k. It is false for a nil err.
func Is(err error, k Kind) bool {
	return err != nil && KindOf(err) == k
}
