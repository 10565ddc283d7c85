// Package fault defines a closed set of error kinds, and a table that maps each kind to the response that a caller gets.
//
// Every error that leaves a package has one of these kinds. An error without a kind is treated as Internal.
package fault

import (
	"errors"
	"fmt"
	"time"

	"github.com/rotisserie/eris"
)

// Kind classifies an error.
type Kind uint8

// The error kinds. Their numbers are part of the peer protocol, so new kinds may only be appended.
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

// Execution states whether the work was executed although the request failed.
type Execution uint8

// Values of Execution.
const (
	NotExecuted Execution = iota
	Executed
	ExecutionUnknown
)

// String returns no, yes or unknown.
func (e Execution) String() string {
	return [...]string{"no", "yes", "unknown"}[e]
}

// Response describes the response to a caller for an error kind.
type Response struct {
	Name       string    // stable name in responses, logs and metrics
	HTTPStatus int       // HTTP status
	ExitCode   int       // process exit code
	Retryable  bool      // the same request with the same id may succeed later
	Execution  Execution // whether the work was executed
}

var responses = [kindCount]Response{
	Internal:         {"internal", 500, 70, false, ExecutionUnknown},
	Invalid:          {"invalid", 400, 64, false, NotExecuted},
	Unauthorized:     {"unauthorized", 401, 77, false, NotExecuted},
	NotFound:         {"not_found", 404, 66, false, NotExecuted},
	Conflict:         {"conflict", 409, 73, false, NotExecuted},
	TooLarge:         {"too_large", 413, 65, false, NotExecuted},
	Impossible:       {"impossible", 422, 78, false, NotExecuted},
	QuotaExceeded:    {"quota_exceeded", 429, 75, true, NotExecuted},
	Overloaded:       {"overloaded", 503, 75, true, NotExecuted},
	DeadlineExceeded: {"deadline_exceeded", 504, 75, false, NotExecuted},
	Unavailable:      {"unavailable", 503, 69, true, NotExecuted},
	StoreUnavailable: {"store_unavailable", 503, 69, true, NotExecuted},
	StaleEpoch:       {"stale_epoch", 409, 75, true, NotExecuted},
	NoCapacity:       {"no_capacity", 503, 75, true, NotExecuted},
	Canceled:         {"canceled", 410, 79, false, NotExecuted},
	Draining:         {"draining", 503, 75, true, NotExecuted},
	NotReady:         {"not_ready", 503, 69, true, NotExecuted},
	UnknownOutcome:   {"unknown_outcome", 504, 74, false, ExecutionUnknown},
	TaskFailed:       {"task_failed", 500, 1, false, Executed},
	Interrupted:      {"interrupted", 504, 75, true, ExecutionUnknown},
	Compacted:        {"compacted", 410, 75, true, NotExecuted},
	Superseded:       {"superseded", 409, 75, true, NotExecuted},
}

// Kinds returns all kinds in the order of their numbers.
func Kinds() []Kind {
	kinds := make([]Kind, kindCount)
	for i := range kinds {
		kinds[i] = Kind(i)
	}
	return kinds
}

// Response returns the response for k. An unknown number is treated as Internal.
func (k Kind) Response() Response {
	if k >= kindCount {
		return responses[Internal]
	}
	return responses[k]
}

// String returns the stable name of the kind.
func (k Kind) String() string { return k.Response().Name }

// ParseKind returns the kind with the given stable name, or Internal if the name is unknown.
func ParseKind(name string) Kind {
	for i, response := range responses {
		if response.Name == name {
			return Kind(i)
		}
	}
	return Internal
}

type kindError struct {
	kind       Kind
	msg        string
	retryAfter time.Duration // 0 if the error does not say
}

func (e *kindError) Error() string { return e.msg }

// New returns an error of kind k.
func New(k Kind, format string, args ...any) error {
	return &kindError{kind: k, msg: fmt.Sprintf(format, args...)}
}

// WithRetryAfter adds to err when the caller should try again. It keeps the kind and the message. It returns nil for a nil err.
func WithRetryAfter(err error, after time.Duration) error {
	if err == nil {
		return nil
	}
	return &kindError{kind: KindOf(err), msg: err.Error(), retryAfter: after}
}

// RetryAfterOf returns when the caller should try again, and false if err does not say.
func RetryAfterOf(err error) (time.Duration, bool) {
	var ke *kindError
	if !errors.As(err, &ke) {
		return 0, false
	}
	return ke.retryAfter, ke.retryAfter > 0
}

// Wrap adds a message to err and keeps its kind. It returns nil for a nil err.
func Wrap(err error, format string, args ...any) error {
	return eris.Wrapf(err, format, args...)
}

// WrapAs wraps err with a message and kind k, which replaces its previous kind. It returns nil for a nil err.
func WrapAs(k Kind, err error, msg string) error {
	if err == nil {
		return nil
	}
	after, _ := RetryAfterOf(err)
	return &kindError{kind: k, msg: msg + ": " + err.Error(), retryAfter: after}
}

// KindOf returns the kind of err, or Internal if it has none.
func KindOf(err error) Kind {
	var ke *kindError
	if errors.As(err, &ke) {
		return ke.kind
	}
	return Internal
}

// Is reports whether err has kind k. It returns false for a nil err.
func Is(err error, k Kind) bool {
	return err != nil && KindOf(err) == k
}
