// Package entry takes callers' work: it checks it against the team's document and sends it to the home of its id.
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

// MaxPayloadBytes is the largest payload of a task in bytes.
const MaxPayloadBytes = 1 << 20

// retryPause is the mean pause before a request goes to its home again.
const retryPause = 50 * time.Millisecond

// Config is what the service needs.
type Config struct {
	Self         ident.ProcessID
	Membership   *membership.Membership
	Catalog      *team.Catalog
	Peers        port.Peers
	Recorder     *timeline.Recorder
	Log          *slog.Logger
	WorkerShapes func() ([]fleet.Shape, bool) // capacities of the cell's workers; false while some are not known
}

// Service takes callers' work.
type Service struct {
	Config
}

// New returns a service.
func New(config Config) *Service { return &Service{config} }

// Request is a short request whose caller waits.
type Request struct {
	Team     ident.TeamID
	Token    string
	ID       ident.RequestID
	Kind     string
	Deadline time.Duration // from now; 0 for the kind's own
	Payload  []byte
}

// Run runs a request and returns its outcome.
func (s *Service) Run(ctx context.Context, request Request) (work.Outcome, error) {
	now := time.Now()
	spec, err := s.check(now, request)
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
	s.record(timeline.Responded, spec.ID.Work, answerText(err))
	return outcome, err
}

func answerText(err error) string {
	if err == nil {
		return "ok"
	}
	return fault.KindOf(err).String()
}

// check turns a request into a task, by the document in force.
func (s *Service) check(now time.Time, r Request) (work.Spec, error) {
	stored, err := s.Catalog.Authorize(r.Team, r.Token)
	if err != nil {
		return work.Spec{}, err
	}
	kind, err := checkWork(stored.Document, r.ID, r.Kind, r.Payload)
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
	if err := s.checkSize(kind, 1); err != nil {
		return work.Spec{}, err
	}
	return work.Spec{
		ID:   ident.TaskID{Work: ident.WorkID{Team: r.Team, Request: r.ID}},
		Kind: kind.Name, Class: kind.Class, Repeatable: kind.Repeatable, Size: kind.Size, Expected: kind.Expected,
		Deadline: now.Add(deadline), Payload: r.Payload, Weight: stored.Document.Weight,
	}, nil
}

// checkWork checks what requests and jobs have in common and returns the kind.
func checkWork(doc team.Document, id ident.RequestID, kind string, payload []byte) (team.Kind, error) {
	if err := ident.Validate("request_id", string(id)); err != nil {
		return team.Kind{}, err
	}
	if len(payload) > MaxPayloadBytes {
		return team.Kind{}, fault.New(fault.TooLarge, "payload has %d bytes; the limit is %d", len(payload), MaxPayloadBytes)
	}
	return doc.Kind(kind)
}

// checkSize refuses work that could not run even if the cell were empty.
func (s *Service) checkSize(kind team.Kind, atOnce int) error {
	shapes, complete := s.WorkerShapes()
	if !complete {
		return nil
	}
	nearest, ok := fleet.CanRun(shapes, kind.Size, atOnce)
	switch {
	case ok:
		return nil
	case kind.Size == nearest:
		return fault.New(fault.Impossible, "tasks is %d; the cell has no room for so many of %s at once", atOnce, kind.Size)
	default:
		return fault.New(fault.Impossible, "size of kind %q is %s; no worker holds it, and the nearest size that fits is %s",
			kind.Name, kind.Size, nearest)
	}
}

func requestDeadline(asked, ofKind time.Duration) (time.Duration, error) {
	switch {
	case asked < 0:
		return 0, fault.New(fault.Invalid, "deadline_ms is negative; the deadline has passed")
	case asked > team.MaxRequestDeadline:
		return 0, fault.New(fault.Invalid, "deadline_ms is %d; the limit is %d",
			asked.Milliseconds(), team.MaxRequestDeadline.Milliseconds())
	case asked == 0:
		return ofKind, nil
	default:
		return asked, nil
	}
}

// digest tells a retry from another request with the same id.
func digest(parts ...[]byte) uint64 {
	h := xxhash.New()
	var length [8]byte
	for _, part := range parts {
		binary.LittleEndian.PutUint64(length[:], uint64(len(part)))
		_, _ = h.Write(length[:]) // a hash does not fail
		_, _ = h.Write(part)
	}
	return h.Sum64()
}

// execute sends the request to its home, again when the home changed or the call broke off. The home's ledger makes
// that safe. Once a call broke off, the work may have run, and no later refusal is told as "not run".
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
		if !goesToHomeAgain(err) {
			return work.Outcome{}, answerFor(err, interrupted)
		}
		if !pause.For(ctx, pause.Jitter(retryPause, string(s.Self)+call.Spec.ID.String())) {
			// No home answered. Another caller may have had the same id run, so this is not "not run".
			return work.Outcome{}, fault.WrapAs(fault.Interrupted, err, "no home answered; ask again with the same request id")
		}
	}
}

func goesToHomeAgain(err error) bool {
	switch fault.KindOf(err) {
	case fault.Unavailable, fault.StaleEpoch, fault.Interrupted, fault.NotReady:
		return true
	default:
		return false
	}
}

// answerFor returns err, or the earlier interruption when err would tell that the work did not run.
func answerFor(err, interrupted error) error {
	if interrupted != nil && fault.KindOf(err).Response().Ran == fault.RanNo {
		return interrupted
	}
	return err
}

func (s *Service) record(kind timeline.Kind, id ident.WorkID, detail string) {
	s.Recorder.Record(time.Now(), timeline.Event{Kind: kind, Work: id, Detail: detail})
}
