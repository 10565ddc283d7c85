package callerhttp

import (
	"context"
	"net/http"
	"net/url"
)

// Document returns the document in force for a team or the cell. It fails with Unauthorized or NotFound.
func (c *Client) Document(ctx context.Context, name string) (Document, error) {
	var reply Document
	err := c.http.Call(ctx, http.MethodGet, documentPath(name), nil, &reply)
	return reply, err
}

// PutDocument replaces the revision that doc names and returns the new one. It fails with Conflict when another is in
// force; the message shows the difference.
func (c *Client) PutDocument(ctx context.Context, name string, doc Document) (Document, error) {
	var reply Document
	err := c.http.Call(ctx, http.MethodPut, documentPath(name), doc, &reply)
	return reply, err
}

func documentPath(name string) string { return "/v1/documents/" + url.PathEscape(name) }
