package celltest_test

import (
	"context"
	"encoding/json"
	"log/slog"
	"testing"
	"time"

	"skylarkstall/internal/adapter/callerhttp"
	"skylarkstall/internal/devcell"
	"skylarkstall/internal/standin/worker"
)

func marshalPayload(t *testing.T, p worker.Payload) []byte {
	t.Helper()
	payload, err := json.Marshal(p)
	if err != nil {
		t.Fatal(err)
	}
	return payload
}

func startJobsCell(t *testing.T, settings devcell.Settings) (*devcell.Cell, context.Context) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	t.Cleanup(cancel)
	settings.Log = slog.New(slog.DiscardHandler)
	cell, err := devcell.Start(ctx, settings)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cell.Close)
	logOwnershipOnFailure(t, cell)
	if err := cell.AwaitReady(ctx); err != nil {
		t.Fatal(err)
	}
	return cell, ctx
}

func newClient(cell *devcell.Cell, node int, team string) *callerhttp.Client {
	return callerhttp.NewClient(cell.Nodes[node].CallerAddress(), team+"-dev-token")
}

// TestJobOfEachClass covers jobs of the classes batch and gang from submission to the results, and that submitting
// the same job again returns its status.
func TestJobOfEachClass(t *testing.T) {
	t.Parallel()
	cell, ctx := startJobsCell(t, devcell.Settings{Processes: 3, Workers: 6})
	client := newClient(cell, 0, "vembanad")
	for kind, tasks := range map[string]uint32{"separation": 200, "press-run": 12} {
		request := callerhttp.JobRequest{
			Team: "vembanad", RequestID: kind + "-1", Kind: kind, Tasks: tasks,
			Payload: marshalPayload(t, worker.Payload{RunMS: 5, Echo: "done " + kind}),
		}
		if _, err := client.Submit(ctx, request); err != nil {
			t.Fatalf("submit %s: %v", kind, err)
		}
		status, err := client.WatchJob(ctx, "vembanad", request.RequestID, func(callerhttp.JobStatus) error { return nil })
		if err != nil || status.Succeeded != tasks {
			t.Fatalf("%s: want %d succeeded tasks, got status %+v, error %v", kind, tasks, status, err)
		}
		job, err := client.JobResults(ctx, "vembanad", request.RequestID)
		if err != nil || len(job.Results) != int(tasks) || string(job.Results[0].Output) != "done "+kind {
			t.Errorf("results of %s: got %d, want %d with output %q; error %v",
				kind, len(job.Results), tasks, "done "+kind, err)
		}
		resubmitted, err := client.Submit(ctx, request)
		if err != nil || resubmitted.Succeeded != tasks {
			t.Errorf("%s submitted again: status %+v, error %v", kind, resubmitted, err)
		}
	}
}
