package meter

import (
	"context"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/port"
)

// countingStore counts the calls to the store.
type countingStore struct {
	port.Store
	meter *Meter
}

// Store wraps inner so that its calls are counted by name and outcome.
func (m *Meter) Store(inner port.Store) port.Store { return &countingStore{inner, m} }

// Get implements port.Store.
func (s *countingStore) Get(ctx context.Context, key string) (port.Entry, error) {
	entry, err := s.Store.Get(ctx, key)
	s.meter.countStoreCall("get", err)
	return entry, err
}

// Put implements port.Store.
func (s *countingStore) Put(
	ctx context.Context, key string, value []byte, expect ident.Revision, lease port.LeaseID,
) (ident.Revision, error) {
	revision, err := s.Store.Put(ctx, key, value, expect, lease)
	s.meter.countStoreCall("put", err)
	return revision, err
}

// Delete implements port.Store.
func (s *countingStore) Delete(ctx context.Context, key string, expect ident.Revision) error {
	err := s.Store.Delete(ctx, key, expect)
	s.meter.countStoreCall("delete", err)
	return err
}

// List implements port.Store.
func (s *countingStore) List(ctx context.Context, prefix string) ([]port.Entry, ident.Revision, error) {
	entries, revision, err := s.Store.List(ctx, prefix)
	s.meter.countStoreCall("list", err)
	return entries, revision, err
}

// Watch implements port.Store.
func (s *countingStore) Watch(ctx context.Context, prefix string, after ident.Revision) ([]port.Entry, error) {
	entries, err := s.Store.Watch(ctx, prefix, after)
	s.meter.countStoreCall("watch", err)
	return entries, err
}

// Grant implements port.Store.
func (s *countingStore) Grant(ctx context.Context, ttl time.Duration) (port.LeaseID, error) {
	lease, err := s.Store.Grant(ctx, ttl)
	s.meter.countStoreCall("grant", err)
	return lease, err
}

// KeepAlive implements port.Store.
func (s *countingStore) KeepAlive(ctx context.Context, lease port.LeaseID) error {
	err := s.Store.KeepAlive(ctx, lease)
	s.meter.countStoreCall("keep alive", err)
	return err
}
