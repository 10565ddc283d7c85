package store

import (
	"context"

	"skylarkstall/internal/adapter/storehttp"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/port"
)

// DirectClient returns a client that reaches the stand-in without a connection. Calls are counted and faults apply.
func (s *Store) DirectClient() port.Store { return storehttp.NewWithHTTPClient(direct{s}) }

type direct struct {
	store *Store
}

// Call implements storehttp.Caller.
func (d direct) Call(ctx context.Context, _, path string, in, out any) error {
	call, isCall := in.(storehttp.Request)
	reply, isReply := out.(*storehttp.Reply)
	h, known := d.store.handlers()[path]
	if !isCall || !isReply || !known {
		return fault.New(fault.Invalid, "call to %s with %T", path, in)
	}
	answer, err := d.store.answer(ctx, path, call, h)
	*reply = answer
	return err
}

func (s *Store) handlers() map[string]handler {
	return map[string]handler{
		storehttp.PathGet: s.get, storehttp.PathPut: s.put, storehttp.PathDelete: s.remove, storehttp.PathList: s.list,
		storehttp.PathWatch: s.watch, storehttp.PathGrant: s.grant, storehttp.PathKeepAlive: s.keepAlive,
	}
}
