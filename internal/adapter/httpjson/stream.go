package httpjson

import (
	"bufio"
	"context"
	"io"
	"net/http"

	"skylarkstall/internal/fault"
)

// Stream sends a GET request whose response has one JSON value per line, and calls handle for each line until the
// response ends or handle fails. It fails as Call does, or with the error of handle.
func (c *Client) Stream(ctx context.Context, path string, handle func(line []byte) error) error {
	request, err := c.newRequest(ctx, http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	response, err := c.current().http.Do(request)
	if err != nil {
		return WrapTransportError(err)
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusBadRequest {
		body, err := io.ReadAll(io.LimitReader(response.Body, MaxBodySize))
		if err != nil {
			return fault.WrapAs(fault.Interrupted, err, "read the response")
		}
		return decodeResponse(response.StatusCode, body, nil)
	}
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(nil, MaxBodySize)
	for lines.Scan() {
		if err := handle(lines.Bytes()); err != nil {
			return err
		}
	}
	return fault.WrapAs(fault.Interrupted, lines.Err(), "read the response")
}
