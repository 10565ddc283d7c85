package callerhttp

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"skylarkstall/internal/fault"
)

// Submit submits a job and returns its status after it was accepted.
func (c *Client) Submit(ctx context.Context, request JobRequest) (JobStatus, error) {
	var reply JobStatus
	if err := c.http.Call(ctx, http.MethodPost, "/v1/jobs", request, &reply); err != nil {
		return JobStatus{}, err
	}
	return reply, verifyJobStatus(reply, request.Team, request.RequestID)
}

func jobPath(team, id string) string { return "/v1/jobs/" + team + "/" + id }

// verifyJobStatus fails with Interrupted if the response belongs to another job or contains a corrupt output.
func verifyJobStatus(reply JobStatus, team, id string) error {
	if reply.Team != team || reply.RequestID != id {
		return fault.New(fault.Interrupted, "response to %s/%s belongs to request %s/%s",
			team, id, reply.Team, reply.RequestID)
	}
	for _, r := range reply.Results {
		if r.Length != len(r.Output) || r.Digest != OutputDigest(r.Output) {
			return fault.New(fault.Interrupted,
				"output of task %d truncated or corrupt: got %d bytes, want %d with digest %s",
				r.Index, len(r.Output), r.Length, r.Digest)
		}
	}
	return nil
}

// Job returns the status of a job with a page of results that starts at the task index from; 0 for no results.
func (c *Client) Job(ctx context.Context, team, id string, from uint32) (JobStatus, error) {
	var reply JobStatus
	path := fmt.Sprintf("%s?from=%d", jobPath(team, id), from)
	if err := c.http.Call(ctx, http.MethodGet, path, nil, &reply); err != nil {
		return JobStatus{}, err
	}
	return reply, verifyJobStatus(reply, team, id)
}

// JobResults returns the status of a job with all results. It reads page by page.
func (c *Client) JobResults(ctx context.Context, team, id string) (JobStatus, error) {
	status, err := c.Job(ctx, team, id, 1)
	for err == nil && status.NextIndex > 0 {
		var page JobStatus
		page, err = c.Job(ctx, team, id, status.NextIndex)
		status.Results, status.NextIndex = append(status.Results, page.Results...), page.NextIndex
	}
	return status, err
}

// Cancel cancels a job or a request and returns its status.
func (c *Client) Cancel(ctx context.Context, team, id string) (JobStatus, error) {
	var reply JobStatus
	if err := c.http.Call(ctx, http.MethodDelete, jobPath(team, id), nil, &reply); err != nil {
		return JobStatus{}, err
	}
	return reply, verifyJobStatus(reply, team, id)
}

// WatchJob calls handle with the status of a job at once and after each change, until the job is complete, and returns
// the last status. It fails with Interrupted if the stream ends before the job is complete.
func (c *Client) WatchJob(ctx context.Context, team, id string, handle func(JobStatus) error) (JobStatus, error) {
	var last JobStatus
	err := c.http.Stream(ctx, jobPath(team, id)+"/progress", func(line []byte) error {
		var reply JobStatus
		if err := json.Unmarshal(line, &reply); err != nil {
			return fault.WrapAs(fault.Interrupted, err, "decode job progress")
		}
		if err := verifyJobStatus(reply, team, id); err != nil {
			return err
		}
		last = reply
		return handle(reply)
	})
	if err == nil && !last.Complete {
		err = fault.New(fault.Interrupted, "progress stream of %s/%s ended before the job was complete", team, id)
	}
	return last, err
}
