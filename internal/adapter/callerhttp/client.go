package callerhttp

import (
	"context"
	"net/http"

	"skylarkstall/internal/adapter/httpjson"
	"skylarkstall/internal/fault"
)

// Client calls a process as a caller or operator does.
type Client struct {
	http *httpjson.Client
}

// NewClient returns a client for the process at host:port that presents the token.
func NewClient(address, token string) *Client {
	return &Client{http: httpjson.NewClient(address).WithToken(token)}
}

// Run runs a request. It checks that the answer is to this request and whole.
func (c *Client) Run(ctx context.Context, call RunRequest) (RunReply, error) {
	var reply RunReply
	if err := c.http.Call(ctx, http.MethodPost, "/v1/run", call, &reply); err != nil {
		return RunReply{}, err
	}
	if reply.RequestID != call.RequestID || reply.Team != call.Team {
		return RunReply{}, fault.New(fault.Interrupted, "the answer is to request %s/%s", reply.Team, reply.RequestID)
	}
	if reply.Length != len(reply.Output) || reply.Digest != OutputDigest(reply.Output) {
		return RunReply{}, fault.New(fault.Interrupted, "the answer is not whole")
	}
	return reply, nil
}

// Timeline returns the events of every process; the query is as for GET /v1/timeline.
func (c *Client) Timeline(ctx context.Context, query string) (Timeline, error) {
	var reply Timeline
	err := c.http.Call(ctx, http.MethodGet, "/v1/timeline?"+query, nil, &reply)
	return reply, err
}

// CellStatus returns the state of every process.
func (c *Client) CellStatus(ctx context.Context) (CellStatus, error) {
	var reply CellStatus
	err := c.http.Call(ctx, http.MethodGet, "/v1/cell", nil, &reply)
	return reply, err
}

// Ready fails with the reason when the process is not ready.
func (c *Client) Ready(ctx context.Context) error {
	return c.http.Call(ctx, http.MethodGet, "/readyz", nil, nil)
}

// Close closes the connection.
func (c *Client) Close() error { return c.http.Close() }
