package callerhttp

import (
	"context"
	"net/http"
	"net/url"
)

// Document returns the active document of a team, or of the cell quotas. It fails with Unauthorized or NotFound.
func (c *Client) Document(ctx context.Context, name string) (Document, error) {
	var reply Document
	err := c.http.Call(ctx, http.MethodGet, documentPath(name), nil, &reply)
	return reply, err
}

// PutDocument replaces the revision given in doc and returns the document with its new revision. It fails with Conflict
// if another revision is active; the message shows the difference.
func (c *Client) PutDocument(ctx context.Context, name string, doc Document) (Document, error) {
	var reply Document
	err := c.http.Call(ctx, http.MethodPut, documentPath(name), doc, &reply)
	return reply, err
}

func documentPath(name string) string { return "/v1/documents/" + url.PathEscape(name) }
