// Package httpjson implements JSON calls over unencrypted HTTP/2 or HTTP/1.1. Errors are transferred with their kind from
// package fault.
package httpjson

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"skylarkstall/internal/fault"
)

// MaxBodySize is the maximum size of a body in bytes. It leaves room for the store's largest value in base64.
const MaxBodySize = 2 << 20

// PingInterval is the idle time after which a ping is sent on a connection, and also the timeout of the ping. An unresponsive
// connection is therefore closed after 4 s.
const PingInterval = 2 * time.Second

// ErrorBody is the JSON body of an error response.
type ErrorBody struct {
	Kind    string `json:"kind"`
	Message string `json:"message"`
	Ran     string `json:"ran"`
	Retry   bool   `json:"retry"`
}

// Client calls one address over one connection.
type Client struct {
	base  string
	token string

	mu         sync.Mutex
	connection *connection
}

// NewClient returns a client for host:port, without connecting to it.
func NewClient(address string) *Client {
	return &Client{base: "http://" + address, connection: newConnection()}
}

// WithToken sets the bearer token that the client sends, and returns the client.
func (c *Client) WithToken(token string) *Client {
	c.token = token
	return c
}

// Reset closes the connection. Calls in progress fail with Interrupted, and the next call opens a new connection.
func (c *Client) Reset() {
	c.mu.Lock()
	old := c.connection
	c.connection = newConnection()
	c.mu.Unlock()
	old.close()
}

// Close closes the connection.
func (c *Client) Close() error {
	c.Reset()
	return nil
}

func (c *Client) current() *connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.connection
}

// Call sends in as JSON and decodes the response into out. Either may be nil. It fails with Unavailable if the connection
// could not be opened, so that nothing was sent, and with Interrupted if the call was sent but no response was received. out
// is also filled from an error response, which may contain further fields beside the error.
func (c *Client) Call(ctx context.Context, method, path string, in, out any) error {
	request, err := c.newRequest(ctx, method, path, in)
	if err != nil {
		return err
	}
	response, err := c.current().http.Do(request)
	if err != nil {
		return WrapTransportError(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, MaxBodySize))
	if err != nil {
		return fault.WrapAs(fault.Interrupted, err, "read the response")
	}
	return decodeResponse(response.StatusCode, body, out)
}

func (c *Client) newRequest(ctx context.Context, method, path string, in any) (*http.Request, error) {
	var body io.Reader
	if in != nil {
		encoded, err := json.Marshal(in)
		if err != nil {
			return nil, fault.WrapAs(fault.Invalid, err, "encode the request")
		}
		body = bytes.NewReader(encoded)
	}
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return nil, fault.WrapAs(fault.Invalid, err, "create the request")
	}
	request.Header.Set("User-Agent", "")
	if c.token != "" {
		request.Header.Set("Authorization", "Bearer "+c.token)
	}
	return request, nil
}

// WrapTransportError wraps the error of a failed call with its kind: Unavailable if nothing was sent, Interrupted otherwise.
func WrapTransportError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" || errors.Is(err, syscall.ECONNREFUSED) {
		return fault.WrapAs(fault.Unavailable, err, "connect")
	}
	return fault.WrapAs(fault.Interrupted, err, "call")
}

func decodeResponse(status int, body []byte, out any) error {
	if out != nil && len(body) > 0 {
		if err := json.Unmarshal(body, out); err != nil && status < http.StatusBadRequest {
			return fault.WrapAs(fault.Interrupted, err, "decode the response")
		}
	}
	if status < http.StatusBadRequest {
		return nil
	}
	var errorBody ErrorBody
	if err := json.Unmarshal(body, &errorBody); err != nil || errorBody.Kind == "" {
		return fault.New(fault.Interrupted, "error response with status %d", status)
	}
	return fault.New(fault.ParseKind(errorBody.Kind), "%s", errorBody.Message)
}

// NewErrorBody returns the body of the error response for err.
func NewErrorBody(err error) ErrorBody {
	response := fault.KindOf(err).Response()
	return ErrorBody{Kind: response.Name, Message: err.Error(), Ran: response.Execution.String(), Retry: response.Retryable}
}

// BodyTimeout is how long a request body may take to arrive.
const BodyTimeout = 10 * time.Second

// ReadJSON decodes a request body that contains one JSON value in at most MaxBodySize bytes and arrives within BodyTimeout. Unknown
// fields are rejected. It fails with Invalid or TooLarge.
func ReadJSON(w http.ResponseWriter, r *http.Request, in any) error {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(BodyTimeout)) // fails only if the connection broke
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, MaxBodySize))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(in)
	if err == nil {
		err = checkEOF(decoder)
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return fault.New(fault.TooLarge, "request body exceeds %d bytes", MaxBodySize)
	case err != nil:
		return fault.WrapAs(fault.Invalid, err, "decode the request body") // the server reads the rest, for which the deadline stays
	}
	_ = control.SetReadDeadline(time.Time{}) // fails only if the connection broke
	return nil
}

// checkEOF rejects a second JSON value, which would otherwise be ignored without notice to the caller.
func checkEOF(decoder *json.Decoder) error {
	if _, err := decoder.Token(); errors.Is(err, io.EOF) {
		return nil
	} else if err != nil {
		return err
	}
	return errors.New("more than one JSON value")
}

// WriteJSON sends a success response with out as its JSON body.
func WriteJSON(w http.ResponseWriter, out any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(out) // fails only if the connection broke
}

// WriteError sends the error response for err.
func WriteError(w http.ResponseWriter, err error) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(fault.KindOf(err).Response().HTTPStatus)
	_ = json.NewEncoder(w).Encode(NewErrorBody(err)) // fails only if the connection broke
}

// NewServer returns a server for HTTP/1.1 and unencrypted HTTP/2.
func NewServer(handler http.Handler) *http.Server {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{Handler: handler, Protocols: &protocols, ReadHeaderTimeout: 10 * time.Second}
}
