// Package storehttp is a client of the platform's key-value service, which takes JSON requests over HTTP/2.
package storehttp

import (
	"context"
	"net/http"
	"time"

	"skylarkstall/internal/adapter/httpjson"
	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/port"
)

// Paths of the protocol; every request is a POST.
const (
	PathGet       = "/v1/get"
	PathPut       = "/v1/put"
	PathDelete    = "/v1/delete"
	PathList      = "/v1/list"
	PathWatch     = "/v1/watch"
	PathGrant     = "/v1/lease/grant"
	PathKeepAlive = "/v1/lease/keepalive"
)

// Request is the body of every request; each kind of request uses the fields that it needs.
type Request struct {
	Key              string `json:"key,omitempty"`
	Prefix           string `json:"prefix,omitempty"`
	Value            []byte `json:"value,omitempty"`
	ExpectedRevision uint64 `json:"expect,omitempty"` // revision that the key must have; 0 if it must be absent
	AfterRevision    uint64 `json:"after,omitempty"`  // revision of the store above which changes are wanted
	Lease            uint64 `json:"lease,omitempty"`
	TTLMS            int64  `json:"ttl_ms,omitempty"` // of the lease; for a watch, the longest wait
}

// Entry is a key with its value.
type Entry struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"` // null if the key was deleted
	Revision uint64 `json:"revision"`
}

// Reply is the body of every response.
type Reply struct {
	Entries  []Entry `json:"entries,omitempty"`
	Revision uint64  `json:"revision,omitempty"`
	Lease    uint64  `json:"lease,omitempty"`
}

// callTimeout bounds every request but a watch. The service responds within milliseconds when it is up.
const callTimeout = 2 * time.Second

// watchTimeout bounds a watch, so that an unresponsive connection is detected.
const watchTimeout = 30 * time.Second

// HTTPClient makes HTTP requests with JSON bodies; httpjson.Client implements it.
type HTTPClient interface {
	Call(ctx context.Context, method, path string, in, out any) error
}

// Client implements port.Store.
type Client struct {
	http HTTPClient
}

// New returns a client for the service at host:port.
func New(address string) *Client {
	return NewWithHTTPClient(httpjson.NewClient(address))
}

// NewWithHTTPClient returns a client that makes its requests through httpClient.
func NewWithHTTPClient(httpClient HTTPClient) *Client { return &Client{http: httpClient} }

func (c *Client) call(ctx context.Context, timeout time.Duration, path string, request Request) (Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var reply Reply
	err := c.http.Call(ctx, http.MethodPost, path, request, &reply)
	if fault.Is(err, fault.Interrupted) || fault.Is(err, fault.Unavailable) {
		return Reply{}, fault.WrapAs(fault.StoreUnavailable, err, "store")
	}
	return reply, err
}

// Get implements port.Store.
func (c *Client) Get(ctx context.Context, key string) (port.Entry, error) {
	reply, err := c.call(ctx, callTimeout, PathGet, Request{Key: key})
	if err != nil {
		return port.Entry{}, err
	}
	if len(reply.Entries) != 1 {
		return port.Entry{}, fault.New(fault.StoreUnavailable,
			"get %s: the store returned %d entries instead of 1", key, len(reply.Entries))
	}
	return decodeEntries(reply.Entries)[0], nil
}

// Put implements port.Store.
func (c *Client) Put(
	ctx context.Context, key string, value []byte, expect ident.Revision, lease port.LeaseID,
) (ident.Revision, error) {
	request := Request{Key: key, Value: value, ExpectedRevision: uint64(expect), Lease: uint64(lease)}
	reply, err := c.call(ctx, callTimeout, PathPut, request)
	return ident.Revision(reply.Revision), err
}

// Delete implements port.Store.
func (c *Client) Delete(ctx context.Context, key string, expect ident.Revision) error {
	_, err := c.call(ctx, callTimeout, PathDelete, Request{Key: key, ExpectedRevision: uint64(expect)})
	return err
}

// List implements port.Store.
func (c *Client) List(ctx context.Context, prefix string) ([]port.Entry, ident.Revision, error) {
	reply, err := c.call(ctx, callTimeout, PathList, Request{Prefix: prefix})
	return decodeEntries(reply.Entries), ident.Revision(reply.Revision), err
}

// Watch implements port.Store. It returns no entries and no error if nothing changed for 28 s (watchTimeout less
// callTimeout), and fails with StoreUnavailable if the store is at a lower revision than after.
func (c *Client) Watch(ctx context.Context, prefix string, after ident.Revision) ([]port.Entry, error) {
	request := Request{Prefix: prefix, AfterRevision: uint64(after), TTLMS: (watchTimeout - callTimeout).Milliseconds()}
	reply, err := c.call(ctx, watchTimeout, PathWatch, request)
	if err == nil && reply.Revision < request.AfterRevision {
		return nil, fault.New(fault.StoreUnavailable,
			"the store's revision fell from %d to %d", after, reply.Revision)
	}
	return decodeEntries(reply.Entries), err
}

// Grant implements port.Store.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (port.LeaseID, error) {
	reply, err := c.call(ctx, callTimeout, PathGrant, Request{TTLMS: ttl.Milliseconds()})
	return port.LeaseID(reply.Lease), err
}

// KeepAlive implements port.Store.
func (c *Client) KeepAlive(ctx context.Context, lease port.LeaseID) error {
	_, err := c.call(ctx, callTimeout, PathKeepAlive, Request{Lease: uint64(lease)})
	return err
}

func decodeEntries(entries []Entry) []port.Entry {
	out := make([]port.Entry, len(entries))
	for i, e := range entries {
		out[i] = port.Entry{Key: e.Key, Value: e.Value, Revision: ident.Revision(e.Revision)}
	}
	return out
}
