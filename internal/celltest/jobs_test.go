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

func jobsPayload(t *testing.T, p worker.Payload) []byte {
	t.Helper()
	payload, err := json.Marshal(p)
	if err != nil {
		t.Fatal(err)
	}
	return payload
}

func jobsCell(t *testing.T, settings devcell.Settings) (*devcell.Cell, context.Context) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	t.Cleanup(cancel)
	settings.Log = slog.New(slog.DiscardHandler)
	cell, err := devcell.Start(ctx, settings)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cell.Close)
	traceFailure(t, cell)
	if err := cell.AwaitReady(ctx); err != nil {
		t.Fatal(err)
	}
	return cell, ctx
}

func jobsClient(cell *devcell.Cell, node int, team string) *callerhttp.Client {
	return callerhttp.NewClient(cell.Nodes[node].CallerAddress(), team+"-dev-token")
}

// TestJobOfEachClass guards the path of jobs from the caller to the workers and back.
func TestJobOfEachClass(t *testing.T) {
	t.Parallel()
	cell, ctx := jobsCell(t, devcell.Settings{Processes: 3, Workers: 6})
	client := jobsClient(cell, 0, "vembanad")
	for kind, tasks := range map[string]uint32{"separation": 200, "press-run": 12} {
		call := callerhttp.JobRequest{
			Team: "vembanad", RequestID: kind + "-1", Kind: kind, Tasks: tasks,
			Payload: jobsPayload(t, worker.Payload{RunMS: 5, Echo: "done " + kind}),
		}
		if _, err := client.Submit(ctx, call); err != nil {
			t.Fatalf("%s: %v", kind, err)
		}
		last, err := client.WatchJob(ctx, "vembanad", call.RequestID, func(callerhttp.JobStatus) error { return nil })
		if err != nil || last.Succeeded != tasks {
			t.Fatalf("%s: %v, %+v", kind, err, last)
		}
		whole, err := client.JobResults(ctx, "vembanad", call.RequestID)
		if err != nil || len(whole.Results) != int(tasks) || string(whole.Results[0].Output) != "done "+kind {
			t.Errorf("%s: %v, %d results", kind, err, len(whole.Results))
		}
		again, err := client.Submit(ctx, call)
		if err != nil || again.Succeeded != tasks {
			t.Errorf("%s submitted again: %v, %+v", kind, err, again)
		}
	}
}
