package callerhttp

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/kataras/iris/v12"

	"skylarkstall/internal/adapter/httpjson"
	"skylarkstall/internal/app/entry"
	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/job"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/pause"
)

// minProgressInterval is the shortest time between two lines of a progress stream. The status of a batch of short tasks
// changes thousands of times a second; at 50 ms the process writes at most 20 lines a second to each client.
const minProgressInterval = 50 * time.Millisecond

// JobRequest is the request body of POST /v1/jobs.
type JobRequest struct {
	Team       string `json:"team"`
	RequestID  string `json:"request_id"`
	Kind       string `json:"kind"`
	Tasks      uint32 `json:"tasks"`
	DeadlineMS int64  `json:"deadline_ms,omitempty"` // from now to the start of the tasks; 0 for the default of the kind
	Payload    []byte `json:"payload,omitempty"`     // of every task
}

// JobStatus is the status of a job or, in the response to a cancellation, of a request.
type JobStatus struct {
	Team            string       `json:"team"`
	RequestID       string       `json:"request_id"`
	Kind            string       `json:"kind,omitempty"`
	Class           string       `json:"class"`
	State           string       `json:"state"`
	Tasks           uint32       `json:"tasks"`
	Waiting         uint32       `json:"waiting"`
	Running         uint32       `json:"running"`
	Succeeded       uint32       `json:"succeeded"`
	Failed          uint32       `json:"failed"`
	Canceled        uint32       `json:"canceled"`
	Unknown         uint32       `json:"unknown"`
	Attempts        uint64       `json:"attempts"` // of all tasks, since the job's home last changed
	Complete        bool         `json:"complete"`
	CancelRequested bool         `json:"stopped"` // a cancellation was accepted
	Results         []TaskResult `json:"results,omitempty"`
	NextIndex       uint32       `json:"next,omitempty"` // query parameter "from" for the next page of results; 0 if there is none
}

// TaskResult is the result of a task. Length and digest let the caller detect a truncated or corrupt output.
type TaskResult struct {
	Index   uint32 `json:"index"`
	State   string `json:"state"`
	Output  []byte `json:"output,omitempty"`
	Length  int    `json:"length"` // of the output in bytes
	Digest  string `json:"digest"` // xxhash64 of the output, in hexadecimal
	Message string `json:"message,omitempty"`
	RunMS   int64  `json:"run_ms"`
}

func newJobStatus(s job.Status) JobStatus {
	reply := JobStatus{
		Team: string(s.Work.Team), RequestID: string(s.Work.Request), Kind: s.Kind, Class: s.Class.String(),
		State: s.State().String(), Tasks: s.Tasks, Waiting: s.Waiting, Running: s.Running, Succeeded: s.Succeeded,
		Failed: s.Failed, Canceled: s.Canceled, Unknown: s.Unknown, Attempts: s.Attempts, Complete: s.Complete,
		CancelRequested: s.CancelRequested, NextIndex: s.NextIndex,
	}
	for _, r := range s.Results {
		reply.Results = append(reply.Results, TaskResult{
			Index: r.Index, State: r.State.String(), Output: r.Output, Length: len(r.Output), Digest: OutputDigest(r.Output),
			Message: r.Message, RunMS: r.RunTime.Milliseconds(),
		})
	}
	return reply
}

func writeJobStatus(ctx iris.Context, status job.Status, err error) {
	if err != nil {
		writeError(ctx, err)
		return
	}
	httpjson.WriteJSON(ctx.ResponseWriter(), newJobStatus(status))
}

func (s *Server) submitJob(ctx iris.Context) {
	var request JobRequest
	if err := httpjson.ReadJSON(ctx.ResponseWriter(), ctx.Request(), &request); err != nil {
		writeError(ctx, err)
		return
	}
	status, err := s.api.SubmitJob(ctx.Request().Context(), entry.JobRequest{
		Team: ident.TeamID(request.Team), Token: bearerToken(ctx), ID: ident.RequestID(request.RequestID), Kind: request.Kind,
		Tasks: request.Tasks, Deadline: time.Duration(request.DeadlineMS) * time.Millisecond, Payload: request.Payload,
	})
	writeJobStatus(ctx, status, err)
}

// parseJobQuery parses the path and query parameters of a request about a job.
func parseJobQuery(ctx iris.Context) (entry.JobQuery, error) {
	query := entry.JobQuery{
		Team: ident.TeamID(ctx.Params().Get("team")), Token: bearerToken(ctx), ID: ident.RequestID(ctx.Params().Get("id")),
	}
	if from := ctx.URLParam("from"); from != "" {
		n, err := strconv.ParseUint(from, 10, 32)
		if err != nil {
			return query, fault.New(fault.Invalid, "from %q: want a task index", from)
		}
		query.FirstResult = uint32(n)
	}
	return query, nil
}

func (s *Server) getJob(ctx iris.Context) {
	query, err := parseJobQuery(ctx)
	if err != nil {
		writeError(ctx, err)
		return
	}
	status, err := s.api.Job(ctx.Request().Context(), query)
	writeJobStatus(ctx, status, err)
}

func (s *Server) cancelJob(ctx iris.Context) {
	query, err := parseJobQuery(ctx)
	if err != nil {
		writeError(ctx, err)
		return
	}
	status, err := s.api.CancelWork(ctx.Request().Context(), query)
	writeJobStatus(ctx, status, err)
}

// jobProgress writes a line with the status at once and after each change, until the job is complete. After the first
// line an error can no longer be reported: the stream is cut off, and the caller has to repeat the request.
func (s *Server) jobProgress(ctx iris.Context) {
	query, err := parseJobQuery(ctx)
	if err != nil {
		writeError(ctx, err)
		return
	}
	written := false
	err = s.api.WatchJob(ctx.Request().Context(), query, func(status job.Status) error {
		if written {
			pause.For(ctx.Request().Context(), minProgressInterval)
		} else {
			ctx.Header("Content-Type", "application/x-ndjson")
		}
		written = true
		if err := json.NewEncoder(ctx.ResponseWriter()).Encode(newJobStatus(status)); err != nil {
			return fault.WrapAs(fault.Interrupted, err, "write job progress")
		}
		ctx.ResponseWriter().Flush()
		return nil
	})
	if err != nil && !written {
		writeError(ctx, err)
	}
}
