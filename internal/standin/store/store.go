// Package store is a fake of the platform's key-value service, which injects faults on request and counts its calls.
package store

import (
	"context"
	"net"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	"skylarkstall/internal/adapter/httpjson"
	"skylarkstall/internal/adapter/storehttp"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/notify"
	"skylarkstall/internal/pause"
)

// MaxValueBytes is the maximum size of a value in bytes.
const MaxValueBytes = 1 << 20

// Faults are the faults that the store injects.
type Faults struct {
	Unavailable  bool          // all calls fail without effect
	Latency      time.Duration // latency added to every call
	DropResponse bool          // writes take effect, but the call fails
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

type item struct {
	storehttp.Entry
	lease uint64
}

// Store is a fake key-value service.
type Store struct {
	mu         sync.Mutex
	revision   uint64
	items      map[string]item
	history    []storehttp.Entry // all changes in order of their revisions
	leases     map[uint64]lease
	faults     Faults
	callCounts map[string]int
	changed    notify.Broadcast
	ctx        context.Context
	cancel     context.CancelFunc
	server     *http.Server
	listener   net.Listener
}

// New returns an empty store that does not listen and is called through DirectClient.
func New() *Store {
	ctx, cancel := context.WithCancel(context.Background())
	return &Store{
		items: map[string]item{}, leases: map[uint64]lease{}, callCounts: map[string]int{}, ctx: ctx, cancel: cancel,
	}
}

// Start starts an empty store that listens on the address.
func Start(address string) (*Store, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fault.WrapAs(fault.Unavailable, err, "listen")
	}
	s := New()
	s.listener = listener
	s.server = httpjson.NewServer(s.routes())
	go func() { _ = s.server.Serve(listener) }() // returns when the server is closed
	return s, nil
}

// Address returns the listening address as host:port.
func (s *Store) Address() string { return s.listener.Addr().String() }

// Close stops the store.
func (s *Store) Close() {
	s.cancel()
	if s.server != nil {
		_ = s.server.Close() // a failed close needs no handling
	}
}

// SetFaults replaces the faults that the store injects.
func (s *Store) SetFaults(faults Faults) {
	s.mu.Lock()
	s.faults = faults
	s.mu.Unlock()
	s.changed.Signal()
}

// CallCounts returns the number of calls so far, keyed by path.
func (s *Store) CallCounts() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	callCounts := make(map[string]int, len(s.callCounts))
	for path, n := range s.callCounts {
		callCounts[path] = n
	}
	return callCounts
}

type handler func(context.Context, storehttp.Request) (storehttp.Reply, error)

func (s *Store) routes() http.Handler {
	mux := http.NewServeMux()
	for path, h := range s.handlers() {
		mux.HandleFunc("POST "+path, s.serve(h))
	}
	return mux
}

func (s *Store) serve(h handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var call storehttp.Request
		if err := httpjson.ReadJSON(w, r, &call); err != nil {
			httpjson.WriteError(w, err)
			return
		}
		reply, err := s.handle(r.Context(), r.URL.Path, call, h)
		if err != nil {
			httpjson.WriteError(w, err)
			return
		}
		httpjson.WriteJSON(w, reply)
	}
}

// handle counts the call, injects the faults and runs the handler.
func (s *Store) handle(ctx context.Context, path string, call storehttp.Request, h handler) (storehttp.Reply, error) {
	faults := s.countCall(path)
	if !pause.For(ctx, faults.Latency) || faults.Unavailable {
		return storehttp.Reply{}, fault.New(fault.StoreUnavailable, "the store is down")
	}
	reply, err := h(ctx, call)
	if err == nil && faults.DropResponse && isWrite(path) {
		err = fault.New(fault.StoreUnavailable, "the response was lost")
	}
	return reply, err
}

func isWrite(path string) bool {
	return path == storehttp.PathPut || path == storehttp.PathDelete
}

func (s *Store) countCall(path string) Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.callCounts[path]++
	s.expireLeases(time.Now())
	return s.faults
}

func (s *Store) expireLeases(now time.Time) {
	for id, l := range s.leases {
		if now.Before(l.expires) {
			continue
		}
		delete(s.leases, id)
		for key, it := range s.items {
			if it.lease == id {
				s.change(key, nil, 0)
			}
		}
	}
}

// change applies a write and appends it to the history. The caller must hold the lock.
func (s *Store) change(key string, value []byte, leaseID uint64) uint64 {
	s.revision++
	entry := storehttp.Entry{Key: key, Value: value, Revision: s.revision}
	if value == nil {
		delete(s.items, key)
	} else {
		s.items[key] = item{entry, leaseID}
	}
	s.history = append(s.history, entry)
	s.changed.Signal()
	return s.revision
}

func (s *Store) get(_ context.Context, call storehttp.Request) (storehttp.Reply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.items[call.Key]
	if !ok {
		return storehttp.Reply{}, fault.New(fault.NotFound, "key %s is absent", call.Key)
	}
	return storehttp.Reply{Entries: []storehttp.Entry{it.Entry}, Revision: s.revision}, nil
}

func (s *Store) put(_ context.Context, call storehttp.Request) (storehttp.Reply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(call.Value) > MaxValueBytes {
		return storehttp.Reply{}, fault.New(fault.TooLarge, "value exceeds the maximum of %d bytes", MaxValueBytes)
	}
	if revision := s.items[call.Key].Revision; revision != call.ExpectedRevision {
		return storehttp.Reply{}, fault.New(fault.Conflict, "key %s has revision %d, not %d",
			call.Key, revision, call.ExpectedRevision)
	}
	if _, ok := s.leases[call.Lease]; call.Lease != 0 && !ok {
		return storehttp.Reply{}, fault.New(fault.NotFound, "lease %d has expired", call.Lease)
	}
	value := call.Value
	if value == nil {
		value = []byte{}
	}
	return storehttp.Reply{Revision: s.change(call.Key, value, call.Lease)}, nil
}

func (s *Store) deleteKey(_ context.Context, call storehttp.Request) (storehttp.Reply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.items[call.Key]
	if !ok {
		return storehttp.Reply{}, fault.New(fault.NotFound, "key %s is absent", call.Key)
	}
	if it.Revision != call.ExpectedRevision {
		return storehttp.Reply{}, fault.New(fault.Conflict, "key %s has revision %d, not %d",
			call.Key, it.Revision, call.ExpectedRevision)
	}
	return storehttp.Reply{Revision: s.change(call.Key, nil, 0)}, nil
}

func (s *Store) list(_ context.Context, call storehttp.Request) (storehttp.Reply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	reply := storehttp.Reply{Revision: s.revision}
	for key, it := range s.items {
		if strings.HasPrefix(key, call.Prefix) {
			reply.Entries = append(reply.Entries, it.Entry)
		}
	}
	sort.Slice(reply.Entries, func(i, j int) bool { return reply.Entries[i].Key < reply.Entries[j].Key })
	return reply, nil
}

func (s *Store) watch(ctx context.Context, call storehttp.Request) (storehttp.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(call.TTLMS)*time.Millisecond)
	defer cancel()
	for {
		changed := s.changed.Changed()
		reply, unavailable := s.entriesSince(call)
		switch {
		case unavailable:
			return storehttp.Reply{}, fault.New(fault.StoreUnavailable, "the store is down")
		case len(reply.Entries) > 0:
			return reply, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return reply, nil
		case <-s.ctx.Done():
			return storehttp.Reply{}, fault.New(fault.StoreUnavailable, "the store is shutting down")
		}
	}
}

func (s *Store) entriesSince(call storehttp.Request) (storehttp.Reply, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	reply := storehttp.Reply{Revision: s.revision}
	first := sort.Search(len(s.history), func(i int) bool { return s.history[i].Revision > call.AfterRevision })
	for _, e := range s.history[first:] {
		if strings.HasPrefix(e.Key, call.Prefix) {
			reply.Entries = append(reply.Entries, e)
		}
	}
	return reply, s.faults.Unavailable
}

func (s *Store) grant(_ context.Context, call storehttp.Request) (storehttp.Reply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ttl := time.Duration(call.TTLMS) * time.Millisecond
	id := uint64(len(s.leases)) + s.revision + 1
	s.revision++
	s.leases[id] = lease{ttl: ttl, expires: time.Now().Add(ttl)}
	return storehttp.Reply{Lease: id}, nil
}

func (s *Store) keepAlive(_ context.Context, call storehttp.Request) (storehttp.Reply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.leases[call.Lease]
	if !ok {
		return storehttp.Reply{}, fault.New(fault.NotFound, "lease %d has expired", call.Lease)
	}
	l.expires = time.Now().Add(l.ttl)
	s.leases[call.Lease] = l
	return storehttp.Reply{}, nil
}
