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
	// MaxJobDeadline is the longest time to the start of a job's tasks that a caller may ask for.
	MaxJobDeadline = 30 * 24 * time.Hour
	// jobTimeout bounds a call about a job, over every home that it is sent to.
	jobTimeout = 10 * time.Second
	// watchWait is how long a home waits for a change of a job before it answers.
	watchWait = 5 * time.Second
)

// JobRequest is a job that a caller submits.
type JobRequest struct {
	Team     ident.TeamID
	Token    string
	ID       ident.RequestID
	Kind     string
	Tasks    uint32
	Deadline time.Duration // from now; 0 for the kind's own
	Payload  []byte        // of every task
}

// JobQuery names a job of a team.
type JobQuery struct {
	Team        ident.TeamID
	Token       string
	ID          ident.RequestID
	FirstResult uint32 // index of the first task to return the result of; 0 for none
}

// Submit returns once the job is accepted and recorded.
func (s *Service) Submit(ctx context.Context, request JobRequest) (job.Status, error) {
	plan, err := s.checkJob(time.Now(), request)
	if err != nil {
		return job.Status{}, err
	}
	id := ident.WorkID{Team: request.Team, Request: request.ID}
	s.record(timeline.Received, id, request.Kind)
	call := port.Submit{
		Work: id, Job: plan,
		Digest: digest([]byte(request.Kind), request.Payload, []byte(strconv.Itoa(int(request.Tasks)))),
	}
	return s.callHome(ctx, id, func(ctx context.Context, home ident.ProcessID) (job.Status, error) {
		return s.Peers.Submit(ctx, home, call)
	})
}

// checkJob turns a request into a job, by the document in force.
func (s *Service) checkJob(now time.Time, r JobRequest) (journal.JobSpec, error) {
	stored, err := s.Catalog.Authorize(r.Team, r.Token)
	if err != nil {
		return journal.JobSpec{}, err
	}
	kind, err := checkWork(stored.Document, r.ID, r.Kind, r.Payload)
	if err != nil {
		return journal.JobSpec{}, err
	}
	if err := checkTasks(kind, r.Tasks); err != nil {
		return journal.JobSpec{}, err
	}
	deadline, err := jobDeadline(r.Deadline, kind.Deadline)
	if err != nil {
		return journal.JobSpec{}, err
	}
	atOnce := 1
	if kind.Class == work.Gang {
		atOnce = int(r.Tasks)
	}
	if err := s.checkSize(kind, atOnce); err != nil {
		return journal.JobSpec{}, err
	}
	return journal.JobSpec{
		Kind: kind.Name, Class: kind.Class, Tasks: r.Tasks, Repeatable: kind.Repeatable, Size: kind.Size,
		Expected: kind.Expected, Deadline: now.Add(deadline), Retries: kind.Retries, Spread: kind.Spread,
		Weight: stored.Document.Weight, Payload: r.Payload,
	}, nil
}

func checkTasks(kind team.Kind, tasks uint32) error {
	most := job.MaxTasks(kind.Class)
	switch {
	case most == 0:
		return fault.New(fault.Invalid, "kind %q is of class %s; run it as a request", kind.Name, kind.Class)
	case tasks < 1 || tasks > most:
		return fault.New(fault.Invalid, "tasks is %d; want 1 to %d for class %s", tasks, most, kind.Class)
	}
	return nil
}

func jobDeadline(asked, ofKind time.Duration) (time.Duration, error) {
	switch {
	case asked < 0:
		return 0, fault.New(fault.Invalid, "deadline_ms is negative; the deadline has passed")
	case asked > MaxJobDeadline:
		return 0, fault.New(fault.Invalid, "deadline_ms is %d; the limit is %d",
			asked.Milliseconds(), MaxJobDeadline.Milliseconds())
	case asked == 0:
		return ofKind, nil
	default:
		return asked, nil
	}
}

// Job returns the status of a job.
func (s *Service) Job(ctx context.Context, query JobQuery) (job.Status, error) {
	id, err := s.checkQuery(query)
	if err != nil {
		return job.Status{}, err
	}
	return s.callHome(ctx, id, func(ctx context.Context, home ident.ProcessID) (job.Status, error) {
		return s.Peers.QueryJob(ctx, home, port.QueryJob{Work: id, From: query.FirstResult})
	})
}

// Watch tells the status of a job now and after each change, until the job is complete or tell returns an error.
// Changes that follow each other faster than the caller takes them are told as one.
func (s *Service) Watch(ctx context.Context, query JobQuery, tell func(job.Status) error) error {
	id, err := s.checkQuery(query)
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
			if err := tell(status); err != nil || status.Complete {
				return err
			}
		}
		call.Version, call.Wait = status.Version, watchWait
	}
}

// CancelWork cancels a job or a request.
func (s *Service) CancelWork(ctx context.Context, query JobQuery) (job.Status, error) {
	id, err := s.checkQuery(query)
	if err != nil {
		return job.Status{}, err
	}
	return s.callHome(ctx, id, func(ctx context.Context, home ident.ProcessID) (job.Status, error) {
		return s.Peers.CancelWork(ctx, home, id)
	})
}

func (s *Service) checkQuery(q JobQuery) (ident.WorkID, error) {
	if _, err := s.Catalog.Authorize(q.Team, q.Token); err != nil {
		return ident.WorkID{}, err
	}
	return ident.WorkID{Team: q.Team, Request: q.ID}, ident.Validate("request_id", string(q.ID))
}

// callHome calls the home of the job, again when the home changed or the call broke off. Calls about jobs are
// idempotent.
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
		if !goesToHomeAgain(err) || !pause.For(ctx, pause.Jitter(retryPause, string(s.Self)+id.String())) {
			return job.Status{}, answerFor(err, interrupted)
		}
	}
}
