package routing_test

import (
	"bytes"
	"context"
	"log/slog"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"skylarkstall/internal/app/routing"
	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/route"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/port"
)

const configKey = "op/config"

// fakeStore holds a configuration, whose value and revision are its version. No watch reports an event.
type fakeStore struct {
	port.TxnStore
	mu      sync.Mutex
	version int
	down    bool
}

func (s *fakeStore) set(version int, down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version, s.down = version, down
}

func (s *fakeStore) List(context.Context, string) ([]port.Entry, ident.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil, 0, fault.New(fault.Unavailable, "the store is down")
	}
	return []port.Entry{{Key: configKey, Value: []byte(strconv.Itoa(s.version)), Revision: ident.Revision(s.version)}}, 1, nil
}

func (s *fakeStore) Watch(
	ctx context.Context, _ string, _ ident.Revision, wait time.Duration,
) ([]port.Entry, ident.Revision, error) {
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
	return nil, 1, ctx.Err()
}

func decode(source []byte) (route.Config, error) {
	version, err := strconv.ParseUint(string(source), 10, 64)
	return route.Config{Version: version, Source: source}, err
}

// TestOutdatedIsReported guards against a process that serves an old configuration while neither its log nor its metrics
// show that it cannot learn of changes.
func TestOutdatedIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, table, log := &fakeStore{version: 7}, &route.Table{}, &bytes.Buffer{}
		logger := slog.New(slog.NewTextHandler(log, nil))
		watcher := routing.New(configKey, store, routing.NewReplica(table, decode, time.Now, logger), logger)
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() { defer close(ended); watcher.Run(ctx) }()
		time.Sleep(5 * time.Second)
		if age := time.Since(table.Confirmed().At); age > time.Second {
			t.Errorf("confirmed %v ago while the store is up, want at most 1 s", age)
		}
		store.set(9, true)
		time.Sleep(5 * time.Second)
		store.set(9, false)
		time.Sleep(2 * time.Second)
		cancel()
		<-ended
		for _, event := range []string{"configuration may be outdated", "configuration confirmed again"} {
			if n := strings.Count(log.String(), event); n != 1 {
				t.Errorf("%q logged %d times, want once", event, n)
			}
		}
		if version := table.Config().Version; version != 9 {
			t.Errorf("version %d is active, want 9", version)
		}
	})
}

// TestRecordIsDecodedOnce guards against a small process that spends its processor time on the configuration, which it reads each second, and
// against one that no longer confirms it, or misses a change, because it is not decoded again.
func TestRecordIsDecodedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, table, logger := &fakeStore{version: 7}, &route.Table{}, slog.New(slog.DiscardHandler)
		decoded := map[string]int{}
		count := func(source []byte) (route.Config, error) {
			decoded[string(source)]++
			return decode(source)
		}
		watcher := routing.New(configKey, store, routing.NewReplica(table, count, time.Now, logger), logger)
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() { defer close(ended); watcher.Run(ctx) }()
		time.Sleep(5 * time.Second)
		store.set(9, false)
		time.Sleep(5 * time.Second)
		cancel()
		<-ended
		if decoded["7"] != 1 || decoded["9"] != 1 {
			t.Errorf("versions 7 and 9 were decoded %d and %d times, want once", decoded["7"], decoded["9"])
		}
		if age, known := table.Confirmed().Age(time.Now()); table.Config().Version != 9 || !known || age > time.Second {
			t.Errorf("version %d, confirmed %v ago; want version 9, confirmed at most 1 s ago", table.Config().Version, age)
		}
	})
}

// TestPanicAtConfiguration guards against a configuration at which every process ends when it reads it, or hears of it from another
// process.
func TestPanicAtConfiguration(t *testing.T) {
	table := &route.Table{}
	replica := routing.NewReplica(table, func(source []byte) (route.Config, error) {
		if bytes.HasPrefix(source, []byte("8")) {
			panic("malformed")
		}
		return decode(source)
	}, time.Now, slog.New(slog.DiscardHandler))
	for _, source := range []string{"7", "8"} {
		replica.Apply([]byte(source), "peer")
	}
	if version := table.Config().Version; version != 7 {
		t.Errorf("version %d is active, want the former one, 7", version)
	}
	replica.Apply([]byte("9"), "peer")
	if version := table.Config().Version; version != 9 {
		t.Errorf("version %d is active after a later configuration, want 9", version)
	}
}
