package callerhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"skylarkstall/internal/app/entry"
	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/work"
	"skylarkstall/internal/fault"
)

// recordingAPI records whether a request or a document reached it.
type recordingAPI struct {
	API
	request *entry.Request
	applied bool
}

func (r *recordingAPI) RunRequest(_ context.Context, request entry.Request) (work.Outcome, error) {
	r.request = &request
	return work.Outcome{}, nil
}

func (r *recordingAPI) ApplyDocument(context.Context, string, string, []byte, ident.Revision) (ident.Revision, error) {
	r.applied = true
	return 1, nil
}

// FuzzBody checks that no request body crashes the process, and that a body is accepted only as exactly one JSON value
// with the deadline that it contains.
func FuzzBody(f *testing.F) {
	f.Add([]byte(`{"team":"a","request_id":"r","kind":"k","payload":"eA=="}`))
	f.Add([]byte(`{"team":"a","deadline_ms":9223372036854775807}`))
	f.Add([]byte(`{"team":"a"} {"team":"b"}`))
	f.Add([]byte(`{"source":"version: 1","revision":18446744073709551615}`))
	api := &recordingAPI{}
	handler, err := New(api, nil, nil)
	if err != nil {
		f.Fatal(err)
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		api.request, api.applied = nil, false
		status := send(handler, http.MethodPost, "/v1/run", body)
		if (status == http.StatusOK) != (api.request != nil) {
			t.Fatalf("status %d, request accepted: %v", status, api.request != nil)
		}
		if status != http.StatusOK && status != fault.Invalid.Response().HTTPStatus && status != fault.TooLarge.Response().HTTPStatus {
			t.Errorf("status %d; want that of Invalid or TooLarge", status)
		}
		var request RunRequest
		if api.request != nil {
			if err := json.Unmarshal(body, &request); err != nil {
				t.Errorf("accepted, but not exactly one JSON value: %v", err)
			}
			if api.request.Deadline.Milliseconds() != request.DeadlineMS {
				t.Errorf("deadline decoded as %v; want %d ms", api.request.Deadline, request.DeadlineMS)
			}
		}
		if status := send(handler, http.MethodPut, "/v1/documents/a", body); (status == http.StatusOK) != api.applied {
			t.Errorf("document: status %d, accepted: %v", status, api.applied)
		}
	})
}

func send(handler http.Handler, method, path string, body []byte) int {
	response := httptest.NewRecorder()
	handler.ServeHTTP(response, httptest.NewRequest(method, path, bytes.NewReader(body)))
	return response.Code
}
