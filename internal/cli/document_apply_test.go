package cli

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"skylarkstall/internal/adapter/callerhttp"
	"skylarkstall/internal/adapter/httpjson"
	"skylarkstall/internal/fault"
)

// TestLagging guards against reporting a change as active while a process lags or does not respond: the command must
// fail and list both.
func TestLagging(t *testing.T) {
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		httpjson.WriteJSON(w, callerhttp.CellStatus{
			Processes:    []callerhttp.ProcessStatus{{ID: "entry-1", Revision: 9}, {ID: "entry-2", Revision: 8}},
			Unresponsive: []string{"entry-3"},
		})
	}))
	server.Config.Protocols = new(http.Protocols)
	server.Config.Protocols.SetUnencryptedHTTP2(true)
	server.Start()
	defer server.Close()
	for revision, want := range map[uint64]string{
		9: "entry-2 (revision 8), entry-3 (no response)", 8: "entry-3 (no response)",
	} {
		var out bytes.Buffer
		a := &app{out: &out}
		f := &documentFlags{operatorFlags: operatorFlags{
			address: strings.TrimPrefix(server.URL, "http://"), output: "table",
		}}
		err := a.waitActive(t.Context(), f, &applyResult{Revision: revision}, 300*time.Millisecond)
		if !fault.Is(err, fault.NotReady) || !strings.Contains(err.Error(), want) {
			t.Errorf("revision %d: %v; want not_ready and %q", revision, err, want)
		}
		if !strings.Contains(out.String(), "of 3") {
			t.Errorf("printed %q", out.String())
		}
	}
}
