package callerhttp

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"skylarkstall/internal/fault"
)

// Submit submits a job and returns its status once it is accepted.
func (c *Client) Submit(ctx context.Context, call JobRequest) (JobStatus, error) {
	var reply JobStatus
	if err := c.http.Call(ctx, http.MethodPost, "/v1/jobs", call, &reply); err != nil {
		return JobStatus{}, err
	}
	return reply, checkReply(reply, call.Team, call.RequestID)
}

func jobPath(team, id string) string { return "/v1/jobs/" + team + "/" + id }

// checkReply fails when the answer is to another request or holds an output that is not whole.
func checkReply(reply JobStatus, team, id string) error {
	if reply.Team != team || reply.RequestID != id {
		return fault.New(fault.Interrupted, "the answer is to request %s/%s", reply.Team, reply.RequestID)
	}
	for _, r := range reply.Results {
		if r.Length != len(r.Output) || r.Digest != OutputDigest(r.Output) {
			return fault.New(fault.Interrupted, "the output of task %d is not whole", r.Index)
		}
	}
	return nil
}

// Job returns the status of a job with one page of results, from the task index on; 0 for no results.
func (c *Client) Job(ctx context.Context, team, id string, from uint32) (JobStatus, error) {
	var reply JobStatus
	path := fmt.Sprintf("%s?from=%d", jobPath(team, id), from)
	if err := c.http.Call(ctx, http.MethodGet, path, nil, &reply); err != nil {
		return JobStatus{}, err
	}
	return reply, checkReply(reply, team, id)
}

// JobResults returns the status of a job with every result, over as many calls as it takes.
func (c *Client) JobResults(ctx context.Context, team, id string) (JobStatus, error) {
	whole, err := c.Job(ctx, team, id, 1)
	for err == nil && whole.NextIndex > 0 {
		var page JobStatus
		page, err = c.Job(ctx, team, id, whole.NextIndex)
		whole.Results, whole.NextIndex = append(whole.Results, page.Results...), page.NextIndex
	}
	return whole, err
}

// Cancel cancels a job or a request and returns its status.
func (c *Client) Cancel(ctx context.Context, team, id string) (JobStatus, error) {
	var reply JobStatus
	if err := c.http.Call(ctx, http.MethodDelete, jobPath(team, id), nil, &reply); err != nil {
		return JobStatus{}, err
	}
	return reply, checkReply(reply, team, id)
}

// WatchJob hands the status of a job to the function now and after each change, until the job is complete. It returns
// the last status. It fails with Interrupted when the stream was cut off before.
func (c *Client) WatchJob(ctx context.Context, team, id string, each func(JobStatus) error) (JobStatus, error) {
	var last JobStatus
	err := c.http.Stream(ctx, jobPath(team, id)+"/progress", func(line []byte) error {
		var reply JobStatus
		if err := json.Unmarshal(line, &reply); err != nil {
			return fault.WrapAs(fault.Interrupted, err, "decode progress")
		}
		if err := checkReply(reply, team, id); err != nil {
			return err
		}
		last = reply
		return each(reply)
	})
	if err == nil && !last.Complete {
		err = fault.New(fault.Interrupted, "the progress of %s/%s was cut off", team, id)
	}
	return last, err
}
