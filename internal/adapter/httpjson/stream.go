package httpjson

import (
	"bufio"
	"context"
	"io"
	"net/http"

	"skylarkstall/internal/fault"
)

// Stream makes a call whose answer is a JSON value on each line, and hands each line to the function until the answer
// ends or the function fails. It fails as Call does.
func (c *Client) Stream(ctx context.Context, path string, each func(line []byte) error) error {
	request, err := c.request(ctx, http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return WrapTransportError(err)
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusBadRequest {
		body, err := io.ReadAll(io.LimitReader(response.Body, MaxBodySize))
		if err != nil {
			return fault.WrapAs(fault.Interrupted, err, "read the answer")
		}
		return decodeAnswer(response.StatusCode, body, nil)
	}
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(nil, MaxBodySize)
	for lines.Scan() {
		if err := each(lines.Bytes()); err != nil {
			return err
		}
	}
	return fault.WrapAs(fault.Interrupted, lines.Err(), "read the answer")
}
