package devcell_test

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"skylarkstall/internal/adapter/callerhttp"
	"skylarkstall/internal/devcell"
)

// BenchmarkRequest measures short requests through one process, 32 concurrently. The result includes the cost of the
// fake store, VM list and workers.
func BenchmarkRequest(b *testing.B) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	cell, err := devcell.Start(ctx, devcell.Settings{Processes: 1, Workers: 16, Log: slog.New(slog.DiscardHandler)})
	if err != nil {
		b.Fatal(err)
	}
	defer cell.Close()
	if err := cell.AwaitReady(ctx); err != nil {
		b.Fatal(err)
	}
	client := callerhttp.NewClient(cell.Nodes[0].CallerAddress(), "vembanad-dev-token")
	ids := make(chan int)
	done := make(chan error)
	const callers = 32
	for range callers {
		go func() {
			var failed error
			for i := range ids {
				call := callerhttp.RunRequest{
					Team: "vembanad", RequestID: fmt.Sprintf("bench-%d", i), Kind: "proof", Payload: []byte(`{"run_ms":1}`),
				}
				if _, err := client.Run(ctx, call); err != nil {
					failed = err
				}
			}
			done <- failed
		}()
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		ids <- i
	}
	close(ids)
	for range callers {
		if err := <-done; err != nil {
			b.Fatal(err)
		}
	}
}
