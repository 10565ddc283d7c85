package cellnode

import (
	"bytes"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// TestPanicOfCaller guards against a panic in the request of a caller that leaves no trace in the log: only the server of net/http
// noticed it, and its messages are logged at the level debug.
func TestPanicOfCaller(t *testing.T) {
	log := &bytes.Buffer{}
	server := httptest.NewServer(logPanics(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/malformed" {
			panic("malformed")
		}
		_, _ = io.WriteString(w, "ok")
	}), slog.New(slog.NewTextHandler(log, nil))))
	defer server.Close()
	if response, err := http.Get(server.URL + "/malformed"); err == nil {
		response.Body.Close()
		t.Errorf("status %d after a panic, want the end of the connection", response.StatusCode)
	}
	response, err := http.Get(server.URL)
	if err != nil || response.StatusCode != http.StatusOK {
		t.Fatalf("the next request fails: %v", err)
	}
	response.Body.Close()
	if text := log.String(); strings.Count(text, "panic in a call of a caller") != 1 || !strings.Contains(text, "malformed") {
		t.Errorf("the panic is not logged once:\n%s", text)
	}
}
