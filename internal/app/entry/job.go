package entry

import (
	"context"
	"strconv"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/job"
	"skylarkstall/internal/domain/journal"
	"skylarkstall/internal/domain/team"
	"skylarkstall/internal/domain/timeline"
	"skylarkstall/internal/domain/work"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/pause"
	"skylarkstall/internal/port"
)

const (
	// MaxJobDeadline is the maximum time to the start of a job's tasks that a caller may request.
	MaxJobDeadline = 30 * 24 * time.Hour
	// jobTimeout is the timeout for a call about a job, including retries and calls to other homes.
	jobTimeout = 10 * time.Second
	// watchWait is how long a home waits for a change of a job before it responds.
	watchWait = 5 * time.Second
)

// JobRequest is a job that a caller submits.
type JobRequest struct {
	Team     ident.TeamID
	Token    string
	ID       ident.RequestID
	Kind     string
	Tasks    uint32
	Deadline time.Duration // from now; 0 for the deadline of the kind
	Payload  []byte        // payload of each task
}

// JobQuery identifies a job of a team.
type JobQuery struct {
	Team        ident.TeamID
	Token       string
	ID          ident.RequestID
	FirstResult uint32 // 1-based number of the first task whose result is returned; 0 for no results
}

// Submit submits a job and returns its status once it is accepted and recorded.
func (s *Service) Submit(ctx context.Context, request JobRequest) (job.Status, error) {
	spec, err := s.newJobSpec(time.Now(), request)
	if err != nil {
		return job.Status{}, err
	}
	id := ident.WorkID{Team: request.Team, Request: request.ID}
	s.record(timeline.Received, id, request.Kind)
	call := port.Submit{
		Work: id, Job: spec,
		Digest: digest([]byte(request.Kind), request.Payload, []byte(strconv.Itoa(int(request.Tasks)))),
	}
	return s.callHome(ctx, id, func(ctx context.Context, home ident.ProcessID) (job.Status, error) {
		return s.Peers.Submit(ctx, home, call)
	})
}

// newJobSpec validates a job against the team's active document and returns its specification.
func (s *Service) newJobSpec(now time.Time, r JobRequest) (journal.JobSpec, error) {
	stored, err := s.Catalog.Authorize(r.Team, r.Token)
	if err != nil {
		return journal.JobSpec{}, err
	}
	kind, err := validateWork(stored.Document, r.ID, r.Kind, r.Payload)
	if err != nil {
		return journal.JobSpec{}, err
	}
	if err := validateTasks(kind, r.Tasks); err != nil {
		return journal.JobSpec{}, err
	}
	deadline, err := jobDeadline(r.Deadline, kind.Deadline)
	if err != nil {
		return journal.JobSpec{}, err
	}
	concurrent := 1
	if kind.Class == work.Gang {
		concurrent = int(r.Tasks)
	}
	if err := s.validateSize(kind, concurrent); err != nil {
		return journal.JobSpec{}, err
	}
	return journal.JobSpec{
		Kind: kind.Name, Class: kind.Class, Tasks: r.Tasks, Repeatable: kind.Repeatable, Size: kind.Size,
		Expected: kind.Expected, Deadline: now.Add(deadline), Retries: kind.Retries, Spread: kind.Spread,
		Weight: stored.Document.Weight, Payload: r.Payload,
	}, nil
}

func validateTasks(kind team.Kind, tasks uint32) error {
	maxTasks := job.MaxTasks(kind.Class)
	switch {
	case maxTasks == 0:
		return fault.New(fault.Invalid, "kind %q is of class %s; run it as a request", kind.Name, kind.Class)
	case tasks < 1 || tasks > maxTasks:
		return fault.New(fault.Invalid, "tasks is %d; want 1 to %d for class %s", tasks, maxTasks, kind.Class)
	}
	return nil
}

// jobDeadline returns the requested deadline, or that of the kind if none was requested.
func jobDeadline(requested, kindDeadline time.Duration) (time.Duration, error) {
	switch {
	case requested < 0:
		return 0, fault.New(fault.Invalid, "deadline_ms is negative; the deadline has passed")
	case requested > MaxJobDeadline:
		return 0, fault.New(fault.Invalid, "deadline_ms is %d; the limit is %d",
			requested.Milliseconds(), MaxJobDeadline.Milliseconds())
	case requested == 0:
		return kindDeadline, nil
	default:
		return requested, nil
	}
}

// Job returns the status of a job.
func (s *Service) Job(ctx context.Context, query JobQuery) (job.Status, error) {
	id, err := s.authorizeQuery(query)
	if err != nil {
		return job.Status{}, err
	}
	return s.callHome(ctx, id, func(ctx context.Context, home ident.ProcessID) (job.Status, error) {
		return s.Peers.QueryJob(ctx, home, port.QueryJob{Work: id, From: query.FirstResult})
	})
}

// Watch calls send with the current status of a job and after each change, until the job is complete or send returns an
// error. Changes that happen while send is running are reported together.
func (s *Service) Watch(ctx context.Context, query JobQuery, send func(job.Status) error) error {
	id, err := s.authorizeQuery(query)
	if err != nil {
		return err
	}
	call := port.QueryJob{Work: id}
	for {
		status, err := s.callHome(ctx, id, func(ctx context.Context, home ident.ProcessID) (job.Status, error) {
			return s.Peers.QueryJob(ctx, home, call)
		})
		if err != nil {
			return err
		}
		if status.Version != call.Version {
			if err := send(status); err != nil || status.Complete {
				return err
			}
		}
		call.Version, call.Wait = status.Version, watchWait
	}
}

// CancelWork cancels a job or a request.
func (s *Service) CancelWork(ctx context.Context, query JobQuery) (job.Status, error) {
	id, err := s.authorizeQuery(query)
	if err != nil {
		return job.Status{}, err
	}
	return s.callHome(ctx, id, func(ctx context.Context, home ident.ProcessID) (job.Status, error) {
		return s.Peers.CancelWork(ctx, home, id)
	})
}

// authorizeQuery checks the token and the id of a query and returns the id of the job.
func (s *Service) authorizeQuery(q JobQuery) (ident.WorkID, error) {
	if _, err := s.Catalog.Authorize(q.Team, q.Token); err != nil {
		return ident.WorkID{}, err
	}
	return ident.WorkID{Team: q.Team, Request: q.ID}, ident.Validate("request_id", string(q.ID))
}

// callHome calls the home of a job. It retries when the home has changed or a call was interrupted, which is safe
// because calls about jobs are idempotent.
func (s *Service) callHome(
	ctx context.Context, id ident.WorkID, call func(context.Context, ident.ProcessID) (job.Status, error),
) (job.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, jobTimeout)
	defer cancel()
	var interrupted error
	for {
		status, err := call(ctx, s.Membership.Home(id.Partition()))
		if err == nil {
			return status, nil
		}
		if fault.Is(err, fault.Interrupted) {
			interrupted = err
		}
		if !shouldRetryHome(err) || !pause.For(ctx, pause.Jitter(retryPause, string(s.Self)+id.String())) {
			return job.Status{}, finalError(err, interrupted)
		}
	}
}
