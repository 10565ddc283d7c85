package store

import (
	"context"

	"skylarkstall/internal/adapter/storehttp"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/port"
)

// DirectClient returns a client that calls the store without a connection. Its calls are counted, and faults apply to
// them.
func (s *Store) DirectClient() port.Store { return storehttp.NewWithHTTPClient(directCaller{s}) }

type directCaller struct {
	store *Store
}

// Call implements storehttp.HTTPClient.
func (d directCaller) Call(ctx context.Context, _, path string, in, out any) error {
	call, isCall := in.(storehttp.Request)
	reply, isReply := out.(*storehttp.Reply)
	h, known := d.store.handlers()[path]
	if !isCall || !isReply || !known {
		return fault.New(fault.Invalid, "call to %s with %T", path, in)
	}
	handled, err := d.store.handle(ctx, path, call, h)
	*reply = handled
	return err
}

func (s *Store) handlers() map[string]handler {
	return map[string]handler{
		storehttp.PathGet: s.get, storehttp.PathPut: s.put, storehttp.PathDelete: s.deleteKey, storehttp.PathList: s.list,
		storehttp.PathWatch: s.watch, storehttp.PathGrant: s.grant, storehttp.PathKeepAlive: s.keepAlive,
	}
}
