package devcell_test

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"skylarkstall/internal/adapter/callerhttp"
	"skylarkstall/internal/devcell"
	"skylarkstall/internal/standin/worker"
)

// TestRequestThroughEveryProcess checks the path from a caller to a worker and back: each process must return the
// output of the request that it received.
func TestRequestThroughEveryProcess(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	cell, err := devcell.Start(ctx, devcell.Settings{Processes: 3, Workers: 6, Log: slog.New(slog.DiscardHandler)})
	if err != nil {
		t.Fatal(err)
	}
	defer cell.Close()
	if err := cell.AwaitReady(ctx); err != nil {
		t.Fatal(err)
	}
	for i, n := range cell.Nodes {
		id := fmt.Sprintf("proof-%d", i)
		payload, err := json.Marshal(worker.Payload{RunMS: 10, Echo: id})
		if err != nil {
			t.Fatal(err)
		}
		client := callerhttp.NewClient(n.CallerAddress(), "vembanad-dev-token")
		reply, err := client.Run(ctx, callerhttp.RunRequest{Team: "vembanad", RequestID: id, Kind: "proof", Payload: payload})
		if err != nil {
			t.Fatalf("%s through %s: %v", id, n.ID, err)
		}
		if string(reply.Output) != id {
			t.Errorf("%s through %s: output %q", id, n.ID, reply.Output)
		}
	}
}
