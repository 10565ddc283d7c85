package meter

import (
	"context"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/port"
)

// store counts the calls to the store.
type store struct {
	port.Store
	meter *Meter
}

// Store returns the store with its calls counted by kind and outcome.
func (m *Meter) Store(inner port.Store) port.Store { return &store{inner, m} }

// Get implements port.Store.
func (s *store) Get(ctx context.Context, key string) (port.Entry, error) {
	entry, err := s.Store.Get(ctx, key)
	s.meter.storeCall("get", err)
	return entry, err
}

// Put implements port.Store.
func (s *store) Put(
	ctx context.Context, key string, value []byte, expect ident.Revision, lease port.LeaseID,
) (ident.Revision, error) {
	revision, err := s.Store.Put(ctx, key, value, expect, lease)
	s.meter.storeCall("put", err)
	return revision, err
}

// Delete implements port.Store.
func (s *store) Delete(ctx context.Context, key string, expect ident.Revision) error {
	err := s.Store.Delete(ctx, key, expect)
	s.meter.storeCall("delete", err)
	return err
}

// List implements port.Store.
func (s *store) List(ctx context.Context, prefix string) ([]port.Entry, ident.Revision, error) {
	entries, revision, err := s.Store.List(ctx, prefix)
	s.meter.storeCall("list", err)
	return entries, revision, err
}

// Watch implements port.Store.
func (s *store) Watch(ctx context.Context, prefix string, after ident.Revision) ([]port.Entry, error) {
	entries, err := s.Store.Watch(ctx, prefix, after)
	s.meter.storeCall("watch", err)
	return entries, err
}

// Grant implements port.Store.
func (s *store) Grant(ctx context.Context, ttl time.Duration) (port.LeaseID, error) {
	lease, err := s.Store.Grant(ctx, ttl)
	s.meter.storeCall("grant", err)
	return lease, err
}

// KeepAlive implements port.Store.
func (s *store) KeepAlive(ctx context.Context, lease port.LeaseID) error {
	err := s.Store.KeepAlive(ctx, lease)
	s.meter.storeCall("keep alive", err)
	return err
}
