package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeLatency is the time that the store takes to answer a call, as SYSTEM.md gives it.
const storeLatency = 4 * time.Millisecond

// Limits of a page of a range, as PROTOCOL.md gives them.
const (
	pageItems = 500
	pageBytes = 1 << 20
)

// item is a key of the store, or a watch event.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type transaction struct {
	ExpectedRev []item   `json:"expectedRev"`
	Writes      []item   `json:"writes"`
	Deletes     []string `json:"deletes"`
}

type lease struct {
	ttl   time.Duration
	until time.Time
}

// store is a stand-in of the platform's metadata store.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	leases   map[uint64]*lease
	changed  chan struct{}

	busySince time.Time // the store answers every call with 503; zero if it does not
	// late decides whether a transaction gets no answer, and after which delay it is executed.
	late func(transaction) (time.Duration, bool)
}

func newStore() *store {
	s := &store{revision: 1, items: map[string]item{}, leases: map[uint64]*lease{}, changed: make(chan struct{})}
	go func() {
		for range time.Tick(10 * time.Millisecond) {
			s.mu.Lock()
			s.expireLeases()
			s.mu.Unlock()
		}
	}()
	return s
}

// listen serves the store to one machine, over a link of the given bandwidth, on a free loopback port. It returns the address.
func (s *store) listen(mbps float64) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	go http.Serve(newLink(listener, mbps), s) //nolint:errcheck // ends with the process
	return listener.Addr().String()
}

// setBusy starts or ends an outage in which the store answers every call with 503. Leases pause meanwhile.
func (s *store) setBusy(busy bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if busy {
		s.busySince = time.Now()
		s.signal() // cuts the watches that wait
		return
	}
	for _, l := range s.leases {
		l.until = l.until.Add(time.Since(s.busySince))
	}
	s.busySince = time.Time{}
}

func (s *store) isBusy() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.busySince.IsZero()
}

// setLate replaces the function that decides which transactions get no answer and are executed late.
func (s *store) setLate(late func(transaction) (time.Duration, bool)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.late = late
}

// put writes a key as the operator or a worker would.
func (s *store) put(key string, value any) {
	raw, err := json.Marshal(value)
	check(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.apply(item{Key: key, Value: raw, Revision: s.revision})
	s.signal()
}

// remove deletes a key as the platform would.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	s.apply(item{Key: key, Revision: s.revision, Deleted: true})
	s.signal()
}

// names reports whether the value of a key contains the text.
func (s *store) names(key, text string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strings.Contains(string(s.items[key].Value), text)
}

// signal wakes the watches. The lock is held.
func (s *store) signal() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// apply applies a change. The lock is held.
func (s *store) apply(i item) {
	if i.Deleted {
		delete(s.items, i.Key)
	} else {
		i.Created = i.Revision
		if old, ok := s.items[i.Key]; ok {
			i.Created = old.Created
		}
		s.items[i.Key] = i
	}
	s.history = append(s.history, i)
}

// expireLeases deletes the keys of ended leases. The lock is held.
func (s *store) expireLeases() {
	if !s.busySince.IsZero() {
		return
	}
	for id, l := range s.leases {
		if time.Now().After(l.until) {
			s.endLease(id)
		}
	}
}

// endLease ends a lease and deletes its keys. The lock is held.
func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.revision++
			s.apply(item{Key: key, Revision: s.revision, Deleted: true})
		}
	}
	s.signal()
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.isBusy() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	time.Sleep(storeLatency)
	path := strings.TrimPrefix(r.URL.Path, "/skylarkstall/")
	switch {
	case path == "kv-key":
		s.getKey(w, r)
	case path == "kv-range":
		s.listKeys(w, r)
	case path == "kv-watch":
		s.watch(w, r)
	case path == "kv-txn":
		s.transact(w, r)
	case path == "kv-lease":
		s.grant(w, r)
	case strings.HasPrefix(path, "kv-keep/"):
		s.keep(w, strings.TrimPrefix(path, "kv-keep/"))
	case strings.HasPrefix(path, "kv-lease-end/"):
		id, _ := strconv.ParseUint(strings.TrimPrefix(path, "kv-lease-end/"), 10, 64)
		s.mu.Lock()
		s.endLease(id)
		s.mu.Unlock()
		reply(w, http.StatusOK, struct{}{})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(body) //nolint:errcheck // fails only if the client has left
}

func (s *store) getKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	i, ok := s.items[r.URL.Query().Get("key")]
	asOf := s.revision
	s.mu.Unlock()
	if !ok {
		reply(w, http.StatusNotFound, map[string]any{"asOf": asOf})
		return
	}
	reply(w, http.StatusOK, struct {
		item
		AsOf uint64 `json:"asOf"`
	}{i, asOf})
}

func (s *store) listKeys(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	items := []item{}
	s.mu.Lock()
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, i)
		}
	}
	asOf := s.revision
	s.mu.Unlock()
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	n, size := 0, 0
	for n < len(items) && n < pageItems && size < pageBytes {
		size += len(items[n].Value)
		n++
	}
	reply(w, http.StatusOK, map[string]any{"items": items[:n], "truncated": n < len(items), "asOf": asOf})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err1 := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, err2 := strconv.Atoi(query.Get("waitMs"))
	if err1 != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for expired := false; ; {
		s.mu.Lock()
		changed, asOf, busy := s.changed, s.revision, !s.busySince.IsZero()
		events := []item{}
		first := sort.Search(len(s.history), func(n int) bool { return s.history[n].Revision > after })
		for _, i := range s.history[first:] {
			if strings.HasPrefix(i.Key, query.Get("prefix")) {
				events = append(events, i)
			}
		}
		s.mu.Unlock()
		switch {
		case busy:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case len(events) > 0 || expired:
			reply(w, http.StatusOK, map[string]any{"events": events, "asOf": asOf})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var txn transaction
	if err := json.NewDecoder(r.Body).Decode(&txn); err != nil || len(txn.ExpectedRev)+len(txn.Writes)+len(txn.Deletes) > 32 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	late := s.late
	s.mu.Unlock()
	if late != nil {
		if delay, lost := late(txn); lost {
			time.AfterFunc(delay, func() { s.commit(txn) })
			<-r.Context().Done() // no answer, and nothing further on this connection
			return
		}
	}
	status, body := s.commit(txn)
	reply(w, status, body)
}

func (s *store) commit(txn transaction) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	holds, current := true, []item{}
	for _, c := range txn.ExpectedRev {
		i, ok := s.items[c.Key]
		holds = holds && i.Revision == c.Revision
		if ok {
			current = append(current, i)
		}
	}
	if !holds {
		return http.StatusPreconditionFailed, map[string]any{"items": current}
	}
	for _, i := range txn.Writes {
		if i.Lease != 0 && s.leases[i.Lease] == nil {
			return http.StatusNotFound, struct{}{}
		}
	}
	s.revision++
	for _, i := range txn.Writes {
		s.apply(item{Key: i.Key, Value: i.Value, Lease: i.Lease, Revision: s.revision})
	}
	for _, key := range txn.Deletes {
		s.apply(item{Key: key, Revision: s.revision, Deleted: true})
	}
	s.signal()
	return http.StatusOK, map[string]any{"revision": s.revision}
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var request struct {
		TTLMs int64 `json:"ttlMs"`
	}
	if json.NewDecoder(r.Body).Decode(&request) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	id, ttl := s.revision, time.Duration(max(request.TTLMs, 1000))*time.Millisecond
	s.leases[id] = &lease{ttl, time.Now().Add(ttl)}
	reply(w, http.StatusOK, map[string]any{"lease": id, "ttlMs": ttl.Milliseconds()})
}

func (s *store) keep(w http.ResponseWriter, text string) {
	id, _ := strconv.ParseUint(text, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.until = time.Now().Add(l.ttl)
	reply(w, http.StatusOK, map[string]any{"ttlMs": l.ttl.Milliseconds()})
}
