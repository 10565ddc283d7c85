// Package entry accepts requests and jobs from callers: it validates them against the team's document and sends them to
// the home of their ids.
package entry

import (
	"context"
	"encoding/binary"
	"log/slog"
	"time"

	"github.com/cespare/xxhash/v2"

	"skylarkstall/internal/domain/fleet"
	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/membership"
	"skylarkstall/internal/domain/team"
	"skylarkstall/internal/domain/timeline"
	"skylarkstall/internal/domain/work"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/pause"
	"skylarkstall/internal/port"
)

// MaxPayloadBytes is the maximum size of a task's payload in bytes.
const MaxPayloadBytes = 1 << 20

// retryPause is the mean pause before a call to a home is retried.
const retryPause = 50 * time.Millisecond

// Config holds the dependencies of a Service.
type Config struct {
	Self         ident.ProcessID
	Membership   *membership.Membership
	Catalog      *team.Catalog
	Peers        port.Peers
	Recorder     *timeline.Recorder
	Log          *slog.Logger
	WorkerShapes func() ([]fleet.Shape, bool) // returns the capacities of the cell's workers; false while some are unknown
}

// Service accepts requests and jobs from callers.
type Service struct {
	Config
}

// New returns a service.
func New(config Config) *Service { return &Service{config} }

// Request is a short request for whose result the caller waits.
type Request struct {
	Team     ident.TeamID
	Token    string
	ID       ident.RequestID
	Kind     string
	Deadline time.Duration // from now; 0 for the deadline of the kind
	Payload  []byte
}

// Run runs a request and returns its outcome.
func (s *Service) Run(ctx context.Context, request Request) (work.Outcome, error) {
	now := time.Now()
	spec, err := s.newSpec(now, request)
	if err != nil {
		return work.Outcome{}, err
	}
	s.record(timeline.Received, spec.ID.Work, request.Kind)
	ctx, cancel := context.WithDeadline(ctx, spec.Deadline)
	defer cancel()
	outcome, err := s.execute(ctx, port.Execute{Spec: spec, Digest: digest([]byte(request.Kind), request.Payload)})
	if err == nil && !outcome.OK {
		err = fault.New(fault.TaskFailed, "%s", outcome.Message)
	}
	s.record(timeline.Responded, spec.ID.Work, responseText(err))
	return outcome, err
}

// responseText returns ok or the kind of the error, for the timeline.
func responseText(err error) string {
	if err == nil {
		return "ok"
	}
	return fault.KindOf(err).String()
}

// newSpec validates a request against the team's active document and returns the specification of its task.
func (s *Service) newSpec(now time.Time, r Request) (work.Spec, error) {
	stored, err := s.Catalog.Authorize(r.Team, r.Token)
	if err != nil {
		return work.Spec{}, err
	}
	kind, err := validateWork(stored.Document, r.ID, r.Kind, r.Payload)
	if err != nil {
		return work.Spec{}, err
	}
	if kind.Class != work.Request {
		return work.Spec{}, fault.New(fault.Invalid, "kind %q is of class %s; submit it as a job", r.Kind, kind.Class)
	}
	deadline, err := requestDeadline(r.Deadline, kind.Deadline)
	if err != nil {
		return work.Spec{}, err
	}
	if err := s.validateSize(kind, 1); err != nil {
		return work.Spec{}, err
	}
	return work.Spec{
		ID:   ident.TaskID{Work: ident.WorkID{Team: r.Team, Request: r.ID}},
		Kind: kind.Name, Class: kind.Class, Repeatable: kind.Repeatable, Size: kind.Size, Expected: kind.Expected,
		Deadline: now.Add(deadline), Payload: r.Payload, Weight: stored.Document.Weight,
	}, nil
}

// validateWork validates the id, payload and kind of a request or job, and returns the kind.
func validateWork(doc team.Document, id ident.RequestID, kind string, payload []byte) (team.Kind, error) {
	if err := ident.Validate("request_id", string(id)); err != nil {
		return team.Kind{}, err
	}
	if len(payload) > MaxPayloadBytes {
		return team.Kind{}, fault.New(fault.TooLarge, "payload has %d bytes; the limit is %d", len(payload), MaxPayloadBytes)
	}
	return doc.Kind(kind)
}

// validateSize rejects work of which the given number of concurrent tasks could not run even if the cell were idle.
func (s *Service) validateSize(kind team.Kind, concurrent int) error {
	shapes, complete := s.WorkerShapes()
	if !complete {
		return nil
	}
	nearest, ok := fleet.CanRun(shapes, kind.Size, concurrent)
	switch {
	case ok:
		return nil
	case kind.Size == nearest:
		return fault.New(fault.Impossible,
			"tasks is %d; the cell has no capacity to run that many tasks of size %s concurrently", concurrent, kind.Size)
	default:
		return fault.New(fault.Impossible, "size of kind %q is %s; it fits on no worker, and the nearest size that fits is %s",
			kind.Name, kind.Size, nearest)
	}
}

// requestDeadline returns the requested deadline, or that of the kind if none was requested.
func requestDeadline(requested, kindDeadline time.Duration) (time.Duration, error) {
	switch {
	case requested < 0:
		return 0, fault.New(fault.Invalid, "deadline_ms is negative; the deadline has passed")
	case requested > team.MaxRequestDeadline:
		return 0, fault.New(fault.Invalid, "deadline_ms is %d; the limit is %d",
			requested.Milliseconds(), team.MaxRequestDeadline.Milliseconds())
	case requested == 0:
		return kindDeadline, nil
	default:
		return requested, nil
	}
}

// digest returns a hash of the contents of a request or job, which distinguishes a retry from a different request with
// the same id.
func digest(parts ...[]byte) uint64 {
	h := xxhash.New()
	var length [8]byte
	for _, part := range parts {
		binary.LittleEndian.PutUint64(length[:], uint64(len(part)))
		_, _ = h.Write(length[:]) // never fails
		_, _ = h.Write(part)
	}
	return h.Sum64()
}

// execute sends a request to its home. It retries when the home has changed or a call was interrupted, which is safe
// because the home deduplicates requests by id. After an interrupted call the work may have run, so a later rejection
// is not reported as one that guarantees that the work did not run.
func (s *Service) execute(ctx context.Context, call port.Execute) (work.Outcome, error) {
	var interrupted error
	for {
		home := s.Membership.Home(call.Spec.ID.Work.Partition())
		outcome, err := s.Peers.Execute(ctx, home, call)
		if err == nil {
			return outcome, nil
		}
		if fault.Is(err, fault.Interrupted) {
			interrupted = err
		}
		if !shouldRetryHome(err) {
			return work.Outcome{}, finalError(err, interrupted)
		}
		if !pause.For(ctx, pause.Jitter(retryPause, string(s.Self)+call.Spec.ID.String())) {
			// No home responded. The error must not say that the work did not run: another call with the same id may
			// have run it.
			return work.Outcome{}, fault.WrapAs(fault.Interrupted, err, "no home responded; retry with the same request id")
		}
	}
}

// shouldRetryHome reports whether a call to a home should be retried after the error.
func shouldRetryHome(err error) bool {
	switch fault.KindOf(err) {
	case fault.Unavailable, fault.StaleEpoch, fault.Interrupted, fault.NotReady:
		return true
	default:
		return false
	}
}

// finalError returns err, or the earlier interruption if err would state that the work did not run.
func finalError(err, interrupted error) error {
	if interrupted != nil && fault.KindOf(err).Response().Execution == fault.NotExecuted {
		return interrupted
	}
	return err
}

func (s *Service) record(kind timeline.Kind, id ident.WorkID, detail string) {
	s.Recorder.Record(time.Now(), timeline.Event{Kind: kind, Work: id, Detail: detail})
}
