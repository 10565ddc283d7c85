// Package httpjson carries JSON calls over HTTP/2 without TLS or HTTP/1.1, with errors of the closed list.
package httpjson

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"skylarkstall/internal/fault"
)

// MaxBodySize is the largest body that is read, in bytes: the store's largest value in base64 and some room.
const MaxBodySize = 2 << 20

// PingInterval is how long a connection may be silent before a ping is sent, and how long the ping's answer may take.
// Together with it a connection that went silent is closed after 4 s.
const PingInterval = 2 * time.Second

// ErrorBody is the body of an answer that is not a success.
type ErrorBody struct {
	Kind    string `json:"kind"`
	Message string `json:"message"`
	Ran     string `json:"ran"`
	Retry   bool   `json:"retry"`
}

// Client makes calls to one address over one connection.
type Client struct {
	base      string
	token     string
	http      *http.Client
	transport *http.Transport
	open      connections
}

// NewClient returns a client for host:port. It does not connect yet.
func NewClient(address string) *Client {
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	c := &Client{base: "http://" + address}
	c.transport = &http.Transport{
		Protocols:          &protocols,
		DisableCompression: true,
		DialContext:        c.open.dial,
		HTTP2:              &http.HTTP2Config{SendPingTimeout: PingInterval, PingTimeout: PingInterval},
	}
	c.http = &http.Client{Transport: c.transport}
	return c
}

// WithToken makes the client present a bearer token, and returns it.
func (c *Client) WithToken(token string) *Client {
	c.token = token
	return c
}

// Reset closes the connection. Calls in progress fail with Interrupted, and the next call connects again.
func (c *Client) Reset() { c.open.closeAll() }

// Close closes the connection.
func (c *Client) Close() error {
	c.transport.CloseIdleConnections()
	c.open.closeAll()
	return nil
}

// Call sends in as JSON and decodes the answer into out. Either may be nil. A failed connection gives Unavailable,
// which means that nothing was sent; a call that broke off gives Interrupted. out is also filled from a failed answer
// when the answer carries a state beside the failure.
func (c *Client) Call(ctx context.Context, method, path string, in, out any) error {
	request, err := c.request(ctx, method, path, in)
	if err != nil {
		return err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return WrapTransportError(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, MaxBodySize))
	if err != nil {
		return fault.WrapAs(fault.Interrupted, err, "read the answer")
	}
	return decodeAnswer(response.StatusCode, body, out)
}

func (c *Client) request(ctx context.Context, method, path string, in any) (*http.Request, error) {
	var body io.Reader
	if in != nil {
		encoded, err := json.Marshal(in)
		if err != nil {
			return nil, fault.WrapAs(fault.Invalid, err, "encode the call")
		}
		body = bytes.NewReader(encoded)
	}
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return nil, fault.WrapAs(fault.Invalid, err, "build the call")
	}
	request.Header.Set("User-Agent", "")
	if c.token != "" {
		request.Header.Set("Authorization", "Bearer "+c.token)
	}
	return request, nil
}

// WrapTransportError gives a failed call its kind: Unavailable when nothing was sent, Interrupted otherwise.
func WrapTransportError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" || errors.Is(err, syscall.ECONNREFUSED) {
		return fault.WrapAs(fault.Unavailable, err, "connect")
	}
	return fault.WrapAs(fault.Interrupted, err, "call")
}

func decodeAnswer(status int, body []byte, out any) error {
	if out != nil && len(body) > 0 {
		if err := json.Unmarshal(body, out); err != nil && status < http.StatusBadRequest {
			return fault.WrapAs(fault.Interrupted, err, "decode the answer")
		}
	}
	if status < http.StatusBadRequest {
		return nil
	}
	var failure ErrorBody
	if err := json.Unmarshal(body, &failure); err != nil || failure.Kind == "" {
		return fault.New(fault.Interrupted, "answer with status %d", status)
	}
	return fault.New(fault.ParseKind(failure.Kind), "%s", failure.Message)
}

// NewErrorBody returns the body that tells of err.
func NewErrorBody(err error) ErrorBody {
	answer := fault.KindOf(err).Response()
	return ErrorBody{Kind: answer.Name, Message: err.Error(), Ran: answer.Ran.String(), Retry: answer.Retryable}
}

// ReadJSON decodes a request body of one JSON value in at most MaxBody bytes and refuses unknown fields. It fails with
// Invalid or TooLarge.
func ReadJSON(w http.ResponseWriter, r *http.Request, in any) error {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, MaxBodySize))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(in)
	if err == nil {
		err = checkEnd(decoder)
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return fault.New(fault.TooLarge, "the body is over %d bytes", MaxBodySize)
	case err != nil:
		return fault.WrapAs(fault.Invalid, err, "decode the body")
	}
	return nil
}

// checkEnd refuses a second value: a caller that sends two would not learn that one was ignored.
func checkEnd(decoder *json.Decoder) error {
	if _, err := decoder.Token(); errors.Is(err, io.EOF) {
		return nil
	} else if err != nil {
		return err
	}
	return errors.New("more than one JSON value")
}

// WriteJSON sends a success with out as JSON.
func WriteJSON(w http.ResponseWriter, out any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(out) // the connection broke; there is nobody to tell
}

// WriteError sends the failure that tells of err.
func WriteError(w http.ResponseWriter, err error) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(fault.KindOf(err).Response().HTTPStatus)
	_ = json.NewEncoder(w).Encode(NewErrorBody(err)) // the connection broke; there is nobody to tell
}

// NewServer returns a server for HTTP/1.1 and HTTP/2 without TLS.
func NewServer(handler http.Handler) *http.Server {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{Handler: handler, Protocols: &protocols, ReadHeaderTimeout: 10 * time.Second}
}
