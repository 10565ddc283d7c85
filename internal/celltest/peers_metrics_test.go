package celltest_test

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"skylarkstall/internal/adapter/callerhttp"
	"skylarkstall/internal/adapter/storehttp"
	"skylarkstall/internal/devcell"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/standin/worker"
)

// TestMetrics verifies that the counters are connected to the metrics endpoint: one request and one rejected request
// appear in the metrics of the processes that handled them.
func TestMetrics(t *testing.T) {
	t.Parallel()
	cell := startCell(t, devcell.Settings{Processes: 3, Workers: 3})
	if err := cell.AwaitReady(t.Context()); err != nil {
		t.Fatal(err)
	}
	payload, err := json.Marshal(worker.Payload{RunMS: 1})
	if err != nil {
		t.Fatal(err)
	}
	request := callerhttp.RunRequest{Team: "vembanad", RequestID: "one", Kind: "proof", Payload: payload}
	address := cell.Nodes[0].CallerAddress()
	if _, err := callerhttp.NewClient(address, "vembanad-dev-token").Run(t.Context(), request); err != nil {
		t.Fatal(err)
	}
	if _, err := callerhttp.NewClient(address, "wrong").Run(t.Context(), request); !fault.Is(err, fault.Unauthorized) {
		t.Fatalf("request with a wrong token: got %v, want unauthorized", err)
	}
	for _, want := range []string{
		`skylarkstall_wait_seconds_count{class="request"} 1`,
		`skylarkstall_refusals{kind="unauthorized"} 1`,
		`skylarkstall_live_processes 3`,
		`skylarkstall_reserved_share{resource="slots"} 0`,
	} {
		awaitState(t, want, func() bool {
			for _, n := range cell.Nodes {
				if strings.Contains(scrapeMetrics(t, n), want+"\n") {
					return true
				}
			}
			return false
		})
	}
	awaitState(t, "the metrics show as many list calls as the store has counted", func() bool {
		lists := 0
		for _, n := range cell.Nodes {
			_, after, _ := strings.Cut(scrapeMetrics(t, n), `skylarkstall_store_calls{call="list",outcome="ok"} `)
			line, _, _ := strings.Cut(after, "\n")
			count, _ := strconv.Atoi(line) // a process without the metric has made no such call
			lists += count
		}
		return lists > 0 && lists == cell.Store.CallCounts()[storehttp.PathList]
	})
}

func scrapeMetrics(t *testing.T, n *devcell.Node) string {
	t.Helper()
	response, err := http.Get("http://" + n.CallerAddress() + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(body)
}
