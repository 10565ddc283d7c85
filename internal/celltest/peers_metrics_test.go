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

// TestMetrics guards the wiring of the counts: one request and one refusal show up at the scrapers of the processes
// that handled them.
func TestMetrics(t *testing.T) {
	t.Parallel()
	cell := peersStart(t, devcell.Settings{Processes: 3, Workers: 3})
	if err := cell.AwaitReady(t.Context()); err != nil {
		t.Fatal(err)
	}
	payload, err := json.Marshal(worker.Payload{RunMS: 1})
	if err != nil {
		t.Fatal(err)
	}
	call := callerhttp.RunRequest{Team: "vembanad", RequestID: "one", Kind: "proof", Payload: payload}
	address := cell.Nodes[0].CallerAddress()
	if _, err := callerhttp.NewClient(address, "vembanad-dev-token").Run(t.Context(), call); err != nil {
		t.Fatal(err)
	}
	if _, err := callerhttp.NewClient(address, "wrong").Run(t.Context(), call); !fault.Is(err, fault.Unauthorized) {
		t.Fatalf("%v; want unauthorized", err)
	}
	for _, want := range []string{
		`skylarkstall_wait_seconds_count{class="request"} 1`,
		`skylarkstall_refusals{kind="unauthorized"} 1`,
		`skylarkstall_live_processes 3`,
		`skylarkstall_reserved_share{resource="slots"} 0`,
	} {
		peersAwait(t, want, func() bool {
			for _, n := range cell.Nodes {
				if strings.Contains(peersScrape(t, n), want+"\n") {
					return true
				}
			}
			return false
		})
	}
	peersAwait(t, "as many lists as the store counts", func() bool {
		lists := 0
		for _, n := range cell.Nodes {
			_, after, _ := strings.Cut(peersScrape(t, n), `skylarkstall_store_calls{call="list",outcome="ok"} `)
			line, _, _ := strings.Cut(after, "\n")
			count, _ := strconv.Atoi(line) // a process without the metric has made no such call
			lists += count
		}
		return lists > 0 && lists == cell.Store.CallCounts()[storehttp.PathList]
	})
}

func peersScrape(t *testing.T, n *devcell.Node) string {
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
