// Package callerhttp implements the HTTP API for callers, operators and the load balancer, and a client of it.
package callerhttp

import (
	"context"
	"encoding/hex"
	"errors"
	"math"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/kataras/iris/v12"

	"skylarkstall/internal/adapter/httpjson"
	"skylarkstall/internal/app/entry"
	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/job"
	"skylarkstall/internal/domain/team"
	"skylarkstall/internal/domain/timeline"
	"skylarkstall/internal/domain/work"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/port"
)

// API is the part of the process that serves the requests.
type API interface {
	RunRequest(ctx context.Context, request entry.Request) (work.Outcome, error)
	SubmitJob(ctx context.Context, request entry.JobRequest) (job.Status, error)
	Job(ctx context.Context, query entry.JobQuery) (job.Status, error)
	WatchJob(ctx context.Context, query entry.JobQuery, send func(job.Status) error) error
	CancelWork(ctx context.Context, query entry.JobQuery) (job.Status, error)
	Document(name, token string) (team.DocumentRevision, error)
	ApplyDocument(ctx context.Context, name, token string, source []byte, expected ident.Revision) (ident.Revision, error)
	CellStatus(ctx context.Context) ([]port.Status, []ident.ProcessID)
	Events(ctx context.Context, filter timeline.Filter) ([]timeline.Event, []ident.ProcessID)
	Ready() error
}

// Server holds the handlers of the API's paths.
type Server struct {
	api API
}

// New returns the HTTP handler of all paths. It calls onError with the kind of each error response; onError may be nil.
func New(api API, metrics http.Handler, onError func(fault.Kind)) (http.Handler, error) {
	s := &Server{api}
	app := iris.New()
	if onError != nil {
		app.UseRouter(reportFailures(onError))
	}
	app.Configure(iris.WithoutBanner, iris.WithoutStartupLog, iris.WithoutBodyConsumptionOnUnmarshal)
	app.Logger().SetLevel("disable")
	app.Get("/healthz", func(ctx iris.Context) { _, _ = ctx.WriteString("ok\n") }) // fails only if the connection is lost
	app.Get("/readyz", s.ready)
	if metrics != nil {
		app.Get("/metrics", iris.FromStd(metrics))
	}
	v1 := app.Party("/v1")
	v1.Post("/run", s.run)
	v1.Post("/jobs", s.submitJob)
	v1.Get("/jobs/{team}/{id}", s.getJob)
	v1.Delete("/jobs/{team}/{id}", s.cancelJob)
	v1.Get("/jobs/{team}/{id}/progress", s.jobProgress)
	v1.Get("/documents/{team}", s.getDocument)
	v1.Put("/documents/{team}", s.putDocument)
	v1.Get("/cell", s.cell)
	v1.Get("/timeline", s.timeline)
	app.OnErrorCode(iris.StatusNotFound, func(ctx iris.Context) {
		writeError(ctx, fault.New(fault.NotFound, "no such path: %s", ctx.Path()))
	})
	if err := app.Build(); err != nil {
		return nil, fault.WrapAs(fault.Internal, err, "build the HTTP routes")
	}
	return app, nil
}

// failureKey is the key of the request context under which writeError stores the kind of the error.
const failureKey = "skylarkstall.failure"

// reportFailures returns middleware that calls onError with the kind of each error response.
func reportFailures(onError func(fault.Kind)) iris.Handler {
	return func(ctx iris.Context) {
		ctx.Next()
		if kind, ok := ctx.Values().Get(failureKey).(fault.Kind); ok {
			onError(kind)
		}
	}
}

func writeError(ctx iris.Context, err error) {
	ctx.Values().Set(failureKey, fault.KindOf(err))
	httpjson.WriteError(ctx.ResponseWriter(), err)
}

func (s *Server) ready(ctx iris.Context) {
	if err := s.api.Ready(); err != nil {
		writeError(ctx, err)
		return
	}
	_, _ = ctx.WriteString("ready\n") // fails only if the connection is lost
}

// RunRequest is the request body of POST /v1/run.
type RunRequest struct {
	Team       string `json:"team"`
	RequestID  string `json:"request_id"`
	Kind       string `json:"kind"`
	DeadlineMS int64  `json:"deadline_ms,omitempty"` // from now; 0 for the default of the kind
	Payload    []byte `json:"payload,omitempty"`
}

// RunReply is the response body of POST /v1/run. Length and digest let the caller detect a truncated or corrupt output.
type RunReply struct {
	Team      string `json:"team"`
	RequestID string `json:"request_id"`
	Output    []byte `json:"output"`
	Length    int    `json:"length"` // of the output in bytes
	Digest    string `json:"digest"` // xxhash64 of the output, in hexadecimal
	RunMS     int64  `json:"run_ms"`
}

func (s *Server) run(ctx iris.Context) {
	var request RunRequest
	if err := httpjson.ReadJSON(ctx.ResponseWriter(), ctx.Request(), &request); err != nil {
		writeError(ctx, err)
		return
	}
	deadline, err := durationFromMillis("deadline_ms", request.DeadlineMS)
	if err != nil {
		writeError(ctx, err)
		return
	}
	outcome, err := s.api.RunRequest(ctx.Request().Context(), entry.Request{
		Team: ident.TeamID(request.Team), Token: bearerToken(ctx), ID: ident.RequestID(request.RequestID), Kind: request.Kind,
		Deadline: deadline, Payload: request.Payload,
	})
	if err != nil {
		writeError(ctx, err)
		return
	}
	httpjson.WriteJSON(ctx.ResponseWriter(), RunReply{
		Team: request.Team, RequestID: request.RequestID, Output: outcome.Output, Length: len(outcome.Output),
		Digest: OutputDigest(outcome.Output), RunMS: outcome.RunTime.Milliseconds(),
	})
}

// maxDurationMs is the longest duration that a request may contain; a longer one overflows a time.Duration.
const maxDurationMs = math.MaxInt64 / int64(time.Millisecond)

// durationFromMillis converts a field of a request. It fails with Invalid if the value is out of range.
func durationFromMillis(field string, n int64) (time.Duration, error) {
	if n > maxDurationMs || n < -maxDurationMs {
		return 0, fault.New(fault.Invalid, "%s is %d; the largest accepted magnitude is %d", field, n, maxDurationMs)
	}
	return time.Duration(n) * time.Millisecond, nil
}

// OutputDigest returns the digest of an output in the format of the API: xxhash64 in hexadecimal.
func OutputDigest(output []byte) string {
	sum := xxhash.New()
	_, _ = sum.Write(output) // never fails
	return hex.EncodeToString(sum.Sum(nil))
}

// bearerToken returns the bearer token of the request.
func bearerToken(ctx iris.Context) string {
	return strings.TrimPrefix(ctx.GetHeader("Authorization"), "Bearer ")
}

// Document is a document with its revision, as request and response body.
type Document struct {
	Source   string `json:"source"`
	Revision uint64 `json:"revision"` // in a PUT request: the revision to replace, 0 to create the document
}

func (s *Server) getDocument(ctx iris.Context) {
	entry, err := s.api.Document(ctx.Params().Get("team"), bearerToken(ctx))
	if err != nil {
		writeError(ctx, err)
		return
	}
	httpjson.WriteJSON(ctx.ResponseWriter(), Document{Source: string(entry.Source), Revision: uint64(entry.Revision)})
}

func (s *Server) putDocument(ctx iris.Context) {
	var doc Document
	if err := httpjson.ReadJSON(ctx.ResponseWriter(), ctx.Request(), &doc); err != nil {
		writeError(ctx, err)
		return
	}
	name, expected := ctx.Params().Get("team"), ident.Revision(doc.Revision)
	revision, err := s.api.ApplyDocument(ctx.Request().Context(), name, bearerToken(ctx), []byte(doc.Source), expected)
	if err != nil {
		writeError(ctx, err)
		return
	}
	httpjson.WriteJSON(ctx.ResponseWriter(), Document{Source: doc.Source, Revision: uint64(revision)})
}

// parseTimelineFilter parses the query parameters of GET /v1/timeline.
func parseTimelineFilter(ctx iris.Context) (timeline.Filter, error) {
	filter := timeline.Filter{Worker: ident.WorkerID(ctx.URLParam("worker"))}
	if job := ctx.URLParam("job"); job != "" {
		team, request, ok := strings.Cut(job, "/")
		if !ok {
			return filter, fault.New(fault.Invalid, "job %q: want team/request-id", job)
		}
		filter.Work = ident.WorkID{Team: ident.TeamID(team), Request: ident.RequestID(request)}
	}
	if since := ctx.URLParam("since"); since != "" {
		d, err := time.ParseDuration(since)
		if err != nil {
			return filter, fault.New(fault.Invalid, "since %q: want a duration such as 90s", since)
		}
		filter.Since = time.Now().Add(-d)
	}
	return filter, nil
}

// Timeline is the response body of GET /v1/timeline.
type Timeline struct {
	Events       []Event  `json:"events"`
	Unresponsive []string `json:"silent,omitempty"` // processes that did not respond
}

// Event is an event of the timeline.
type Event struct {
	WallNS  int64  `json:"wall_ns"`
	Logical uint32 `json:"logical"`
	Process string `json:"process"`
	Kind    string `json:"kind"`
	Work    string `json:"work,omitempty"`
	Task    string `json:"task,omitempty"`
	Worker  string `json:"worker,omitempty"`
	Detail  string `json:"detail,omitempty"`
	Text    string `json:"text"`
}

func (s *Server) timeline(ctx iris.Context) {
	filter, err := parseTimelineFilter(ctx)
	if err != nil {
		writeError(ctx, err)
		return
	}
	events, unresponsive := s.api.Events(ctx.Request().Context(), filter)
	reply := Timeline{Events: []Event{}}
	for _, e := range events {
		out := Event{
			WallNS: e.At.Wall, Logical: e.At.Logical, Process: string(e.Process), Kind: string(e.Kind), Task: e.Task,
			Worker: string(e.Worker), Detail: e.Detail, Text: e.String(),
		}
		if e.Work.Request != "" {
			out.Work = e.Work.String()
		}
		reply.Events = append(reply.Events, out)
	}
	for _, p := range unresponsive {
		reply.Unresponsive = append(reply.Unresponsive, string(p))
	}
	httpjson.WriteJSON(ctx.ResponseWriter(), reply)
}

// Serve serves requests on the listener until the server is shut down or closed.
func Serve(server *http.Server, listener net.Listener) error {
	if err := server.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return fault.WrapAs(fault.Unavailable, err, "serve the HTTP API")
	}
	return nil
}
