package callerhttp

import (
	"context"
	"net/http"

	"skylarkstall/internal/adapter/httpjson"
	"skylarkstall/internal/fault"
)

// Client is a client of the HTTP API for callers and operators.
type Client struct {
	http *httpjson.Client
}

// NewClient returns a client for the process at host:port that authenticates with the bearer token.
func NewClient(address, token string) *Client {
	return &Client{http: httpjson.NewClient(address).WithToken(token)}
}

// Run runs a request. It fails with Interrupted if the response belongs to another request or its output is corrupt.
func (c *Client) Run(ctx context.Context, request RunRequest) (RunReply, error) {
	var reply RunReply
	if err := c.http.Call(ctx, http.MethodPost, "/v1/run", request, &reply); err != nil {
		return RunReply{}, err
	}
	if reply.RequestID != request.RequestID || reply.Team != request.Team {
		return RunReply{}, fault.New(fault.Interrupted, "response to %s/%s belongs to request %s/%s",
			request.Team, request.RequestID, reply.Team, reply.RequestID)
	}
	if reply.Length != len(reply.Output) || reply.Digest != OutputDigest(reply.Output) {
		return RunReply{}, fault.New(fault.Interrupted, "output truncated or corrupt: got %d bytes, want %d with digest %s",
			len(reply.Output), reply.Length, reply.Digest)
	}
	return reply, nil
}

// Timeline returns the events of all processes. query is the query string of GET /v1/timeline.
func (c *Client) Timeline(ctx context.Context, query string) (Timeline, error) {
	var reply Timeline
	err := c.http.Call(ctx, http.MethodGet, "/v1/timeline?"+query, nil, &reply)
	return reply, err
}

// CellStatus returns the status of all processes.
func (c *Client) CellStatus(ctx context.Context) (CellStatus, error) {
	var reply CellStatus
	err := c.http.Call(ctx, http.MethodGet, "/v1/cell", nil, &reply)
	return reply, err
}

// Ready fails with the reason if the process is not ready.
func (c *Client) Ready(ctx context.Context) error {
	return c.http.Call(ctx, http.MethodGet, "/readyz", nil, nil)
}

// Close closes the connection.
func (c *Client) Close() error { return c.http.Close() }
