//go:build ignore

package main

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key-value pair of the store, or an event of a watch.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// lease is a lease of the store.
type lease struct {
	ttl     time.Duration
	expires time.Time
}

// Limits and intervals of the store.
const (
	pageItems       = 500
	pageBytes       = 1 << 20
	maxTxnEntries   = 32
	minLeaseTTL     = time.Second
	expiryInterval  = 20 * time.Millisecond
	entryLifetime   = 4500 * time.Millisecond // of a registration, three heartbeat intervals
	historyCapacity = 200_000
)

// store is a stand-in of the platform's metadata store. It keeps everything in memory.
type store struct {
	mu       sync.Mutex
	changed  chan struct{}
	revision uint64
	items    map[string]item
	history  []item
	leases   map[uint64]*lease
	beats    map[string]time.Time // last heartbeat by key under servers/
}

func newStore() *store {
	return &store{
		changed: make(chan struct{}), revision: 1, items: map[string]item{}, leases: map[uint64]*lease{}, beats: map[string]time.Time{},
	}
}

// expire removes what has expired, until the process ends.
func (s *store) expire() {
	for range time.Tick(expiryInterval) {
		now := time.Now()
		s.mu.Lock()
		for id, l := range s.leases {
			if now.After(l.expires) {
				s.endLease(id)
			}
		}
		for key, at := range s.beats {
			if now.Sub(at) > entryLifetime {
				delete(s.beats, key)
				s.remove(key)
			}
		}
		s.mu.Unlock()
	}
}

func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.remove(key)
		}
	}
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.note(item{Key: key, Revision: s.revision, Deleted: true})
}

func (s *store) note(event item) {
	s.history = append(s.history, event)
	if len(s.history) > historyCapacity {
		s.history = s.history[len(s.history)/2:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) set(key string, value []byte, leaseID uint64) {
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	s.items[key] = item{Key: key, Value: value, Revision: s.revision, Created: created, Lease: leaseID}
	s.note(s.items[key])
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	path := strings.TrimPrefix(r.URL.Path, "/skylarkstall/")
	switch {
	case path == "kv-key":
		s.mu.Lock()
		i, ok := s.items[query.Get("key")]
		s.mu.Unlock()
		if !ok {
			answer(w, http.StatusNotFound, struct{}{})
			return
		}
		answer(w, http.StatusOK, i)
	case path == "kv-range":
		s.list(w, query.Get("prefix"), query.Get("after"))
	case path == "kv-watch":
		after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(query.Get("waitMs"))
		s.watch(w, r, query.Get("prefix"), after, time.Duration(wait)*time.Millisecond)
	case path == "kv-txn":
		s.txn(w, r)
	case path == "kv-lease":
		s.grant(w, r)
	case strings.HasPrefix(path, "kv-keep/"):
		s.keep(w, strings.TrimPrefix(path, "kv-keep/"))
	case strings.HasPrefix(path, "kv-lease-end/"):
		s.end(w, strings.TrimPrefix(path, "kv-lease-end/"))
	case path == "standin/put": // of the operator and the workers
		raw, _ := io.ReadAll(r.Body)
		s.mu.Lock()
		s.revision++
		s.set(query.Get("key"), raw, 0)
		if strings.HasPrefix(query.Get("key"), "servers/") {
			s.beats[query.Get("key")] = time.Now()
		}
		s.mu.Unlock()
		answer(w, http.StatusOK, struct{}{})
	default:
		answer(w, http.StatusBadRequest, struct{}{})
	}
}

func (s *store) list(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	items, asOf := []item{}, s.revision
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, i)
		}
	}
	s.mu.Unlock()
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	size, n := 0, 0
	for n < len(items) && n < pageItems && (n == 0 || size < pageBytes) {
		size += len(items[n].Key) + len(items[n].Value)*4/3
		n++
	}
	answer(w, http.StatusOK, map[string]any{"items": items[:n], "truncated": n < len(items), "asOf": asOf})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, prefix string, after uint64, wait time.Duration) {
	deadline := time.After(wait)
	for {
		events := []item{}
		s.mu.Lock()
		asOf, changed := s.revision, s.changed
		for i := len(s.history) - 1; i >= 0 && s.history[i].Revision > after; i-- {
			if strings.HasPrefix(s.history[i].Key, prefix) {
				events = append(events, s.history[i])
			}
		}
		s.mu.Unlock()
		for i, j := 0, len(events)-1; i < j; i, j = i+1, j-1 {
			events[i], events[j] = events[j], events[i]
		}
		expired := false
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-deadline:
				expired = true
			case <-r.Context().Done():
				return
			}
		}
		if expired || len(events) > 0 {
			answer(w, http.StatusOK, map[string]any{"events": events, "asOf": asOf})
			return
		}
	}
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var request struct {
		ExpectedRev []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"expectedRev"`
		Writes []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease uint64 `json:"lease"`
		} `json:"writes"`
		Deletes []string `json:"deletes"`
	}
	if json.NewDecoder(r.Body).Decode(&request) != nil || len(request.ExpectedRev)+len(request.Writes)+len(request.Deletes) > maxTxnEntries {
		answer(w, http.StatusBadRequest, struct{}{})
		return
	}
	for _, write := range request.Writes {
		if strings.HasPrefix(write.Key, "op/") || strings.HasPrefix(write.Key, "servers/") {
			answer(w, http.StatusForbidden, struct{}{})
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	holds, current := true, []item{}
	for _, c := range request.ExpectedRev {
		i, ok := s.items[c.Key]
		holds = holds && i.Revision == c.Revision
		if !ok {
			i = item{Key: c.Key}
		}
		current = append(current, i)
	}
	if !holds {
		answer(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, write := range request.Writes {
		if write.Lease != 0 && s.leases[write.Lease] == nil {
			answer(w, http.StatusNotFound, struct{}{})
			return
		}
	}
	s.revision++
	for _, key := range request.Deletes {
		if _, ok := s.items[key]; ok {
			delete(s.items, key)
			s.note(item{Key: key, Revision: s.revision, Deleted: true})
		}
	}
	for _, write := range request.Writes {
		s.set(write.Key, write.Value, write.Lease)
	}
	answer(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var request struct {
		TTLMs int64 `json:"ttlMs"`
	}
	if json.NewDecoder(r.Body).Decode(&request) != nil {
		answer(w, http.StatusBadRequest, struct{}{})
		return
	}
	ttl := max(time.Duration(request.TTLMs)*time.Millisecond, minLeaseTTL)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.leases[s.revision] = &lease{ttl, time.Now().Add(ttl)}
	answer(w, http.StatusOK, map[string]any{"lease": s.revision, "ttlMs": ttl.Milliseconds()})
}

func (s *store) keep(w http.ResponseWriter, name string) {
	id, _ := strconv.ParseUint(name, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil || time.Now().After(l.expires) {
		answer(w, http.StatusNotFound, struct{}{})
		return
	}
	l.expires = time.Now().Add(l.ttl)
	answer(w, http.StatusOK, map[string]any{"ttlMs": l.ttl.Milliseconds()})
}

func (s *store) end(w http.ResponseWriter, name string) {
	id, _ := strconv.ParseUint(name, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		answer(w, http.StatusNotFound, struct{}{})
		return
	}
	s.endLease(id)
	answer(w, http.StatusOK, struct{}{})
}
