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

// recorder notes the request or document that the server made of a body.
type recorder struct {
	API
	request *entry.Request
	applied bool
}

func (r *recorder) RunRequest(_ context.Context, request entry.Request) (work.Outcome, error) {
	r.request = &request
	return work.Outcome{}, nil
}

func (r *recorder) ApplyDocument(context.Context, string, string, []byte, ident.Revision) (ident.Revision, error) {
	r.applied = true
	return 1, nil
}

// FuzzBody guards against a body of a caller that ends the process or is understood as something else than it says.
func FuzzBody(f *testing.F) {
	f.Add([]byte(`{"team":"a","request_id":"r","kind":"k","payload":"eA=="}`))
	f.Add([]byte(`{"team":"a","deadline_ms":9223372036854775807}`))
	f.Add([]byte(`{"team":"a"} {"team":"b"}`))
	f.Add([]byte(`{"source":"version: 1","revision":18446744073709551615}`))
	api := &recorder{}
	handler, err := New(api, nil, nil)
	if err != nil {
		f.Fatal(err)
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		api.request, api.applied = nil, false
		status := send(handler, http.MethodPost, "/v1/run", body)
		if (status == http.StatusOK) != (api.request != nil) {
			t.Fatalf("status %d, request taken: %v", status, api.request != nil)
		}
		if status != http.StatusOK && status != fault.Invalid.Response().HTTPStatus && status != fault.TooLarge.Response().HTTPStatus {
			t.Errorf("status %d", status)
		}
		var call RunRequest
		if api.request != nil {
			if err := json.Unmarshal(body, &call); err != nil {
				t.Errorf("taken, but not one JSON value: %v", err)
			}
			if api.request.Deadline.Milliseconds() != call.DeadlineMS {
				t.Errorf("deadline %v of %d ms", api.request.Deadline, call.DeadlineMS)
			}
		}
		if status := send(handler, http.MethodPut, "/v1/documents/a", body); (status == http.StatusOK) != api.applied {
			t.Errorf("document: status %d, taken: %v", status, api.applied)
		}
	})
}

func send(handler http.Handler, method, path string, body []byte) int {
	response := httptest.NewRecorder()
	handler.ServeHTTP(response, httptest.NewRequest(method, path, bytes.NewReader(body)))
	return response.Code
}
