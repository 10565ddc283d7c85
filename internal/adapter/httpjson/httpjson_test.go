package httpjson_test

import (
	"net"
	"net/http"
	"testing"

	"skylarkstall/internal/adapter/httpjson"
)

// TestCallAfterReset guards against a call that is sent on a connection that Reset has closed. The caller would take the
// failure for that of the next connection and close that one, too.
func TestCallAfterReset(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := httpjson.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	go func() { _ = server.Serve(listener) }() // ends with Close
	t.Cleanup(func() { _ = server.Close() })
	client := httpjson.NewClient(listener.Addr().String())
	t.Cleanup(func() { _ = client.Close() })
	for i := range 200 {
		if err := client.Call(t.Context(), http.MethodPost, "/", nil, nil); err != nil {
			t.Fatalf("call after %d resets: %v", i, err)
		}
		client.Reset()
	}
}
