package scheduler

import (
	"context"
	"testing"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/port"
)

// recordStore is a store that holds the record of a job and, if set, one of workers, and in which nothing changes.
type recordStore struct {
	port.TxnStore
	workers bool
}

func (r recordStore) Get(_ context.Context, key string) (port.Entry, error) {
	if key == port.WorkersKey && r.workers {
		return port.Entry{Key: key, Revision: 3}, nil
	}
	return port.Entry{}, fault.New(fault.NotFound, "no such key")
}

func (recordStore) ListPage(_ context.Context, prefix, _ string) (port.Page, error) {
	page := port.Page{AsOf: 5}
	if prefix == port.JobPrefix {
		page.Entries = []port.Entry{{Key: prefix + "job", Value: []byte("x"), Revision: 4}}
	}
	return page, nil
}

func (recordStore) List(context.Context, string) ([]port.Entry, ident.Revision, error) {
	return nil, 5, nil
}

func (recordStore) Watch(
	ctx context.Context, _ string, _ ident.Revision, wait time.Duration,
) ([]port.Entry, ident.Revision, error) {
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
	return nil, 5, ctx.Err()
}

func (recordStore) Commit(context.Context, port.Txn) (port.CommitResult, error) {
	return port.CommitResult{Revision: 6}, nil
}

// TestPanicAtStartOfTerm guards against a record at which every process of the cell ends in turn: each one takes over, reads the
// record, panics outside of any task of the term, and ends with all connections of its callers.
func TestPanicAtStartOfTerm(t *testing.T) {
	s := newLeaderFor(t)
	s.ports.Store, s.ports.RecordCodec = recordStore{}, panickingCodec{}
	ended := make(chan any, 1)
	go func() {
		defer func() { ended <- recover() }()
		if !s.Run(t.Context()) {
			t.Error("the process does not let others lead after a panic")
		}
	}()
	select {
	case value := <-ended:
		if value != nil {
			t.Errorf("the panic %q leaves the term and ends the process", value)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("the term goes on after a panic")
	}
}
