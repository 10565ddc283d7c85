// Package configsync keeps the active documents of this process in sync with the store. It watches the store and, while
// the store is unreachable, fetches changes from peers.
package configsync

import (
	"context"
	"fmt"
	"log/slog"
	"strings"
	"sync/atomic"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/team"
	"skylarkstall/internal/domain/timeline"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/pause"
	"skylarkstall/internal/port"
)

// KeyPrefix is the prefix of the store keys of documents. The rest of a key is the name of the team or of the cell
// quotas.
const KeyPrefix = "document/"

// retryInterval is the mean pause after a failed call to the store. It is jittered so that the processes of a cell do
// not all retry at the same moment.
const retryInterval = time.Second

// Config holds the dependencies of a Service.
type Config struct {
	Self             ident.ProcessID
	Store            port.Store
	Peers            port.Peers
	Heartbeats       func() []port.Heartbeat // returns the last heartbeat of each live peer
	HeartbeatArrived func() <-chan struct{}  // returns a channel that is closed when the next heartbeat arrives
	Catalog          *team.Catalog
	Decode           func([]byte) (team.Document, error)
	DecodeCellQuotas func([]byte) (team.CellQuotas, error)
	Recorder         *timeline.Recorder
	Log              *slog.Logger
}

// Service keeps the catalog of documents in sync with the store and with peers.
type Service struct {
	Config
	storeFailed atomic.Bool // the last call to the store failed
	pageBytes   int         // overridden by tests
}

// New returns a service.
func New(config Config) *Service { return &Service{Config: config, pageBytes: pageBytes} }

// Run follows the changes in the store until the context ends.
func (s *Service) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := s.follow(ctx)
		if ctx.Err() == nil {
			s.recordFailure(err)
			pause.For(ctx, pause.Jitter(retryInterval, string(s.Self)))
		}
	}
}

func (s *Service) recordFailure(err error) {
	if !s.storeFailed.Swap(true) {
		s.Log.Warn("failed to read documents from the store; using peers instead", "error", err)
		s.Recorder.Record(time.Now(), timeline.Event{Kind: timeline.StoreFailed, Detail: fault.KindOf(err).String()})
	}
}

func (s *Service) recordRecovery() {
	if s.storeFailed.Swap(false) {
		s.Log.Info("reading documents from the store again")
		s.Recorder.Record(time.Now(), timeline.Event{Kind: timeline.StoreRecovered})
	}
}

// follow lists all documents and then watches their changes. It returns at the first error.
func (s *Service) follow(ctx context.Context) error {
	catalogRevision := s.Catalog.Revision()
	entries, revision, err := s.Store.List(ctx, KeyPrefix)
	if err != nil {
		return err
	}
	s.recordRecovery()
	s.applyEntries(entries)
	if revision >= catalogRevision {
		s.retain(names(entries), revision)
	} else {
		s.recordRollback(catalogRevision, revision)
	}
	s.Catalog.Advance(revision)
	for {
		if entries, err = s.Store.Watch(ctx, KeyPrefix, revision); err != nil {
			return err
		}
		s.applyEntries(entries)
		for _, e := range entries {
			revision = max(revision, e.Revision)
		}
		s.Catalog.Advance(revision)
	}
}

// recordRollback logs and records that the store was restored to an older state. The active documents stay active,
// because an accepted change must never revert; changes written to the restored store take effect once its revisions
// exceed those of the active documents.
func (s *Service) recordRollback(catalogRevision, storeRevision ident.Revision) {
	s.Log.Error("store reverted to an older state; keeping the active documents",
		"store_revision", storeRevision, "revision_in_force", catalogRevision)
	s.Recorder.Record(time.Now(), timeline.Event{
		Kind:   timeline.StoreFailed,
		Detail: fmt.Sprintf("store reverted to revision %d; keeping revision %d", storeRevision, catalogRevision),
	})
}

func names(entries []port.Entry) []string {
	result := make([]string, len(entries))
	for i, e := range entries {
		result[i] = strings.TrimPrefix(e.Key, KeyPrefix)
	}
	return result
}

// applyEntries applies changes that were read from the store.
func (s *Service) applyEntries(entries []port.Entry) {
	for _, e := range entries {
		s.applyChange(team.DocumentRevision{
			Name: strings.TrimPrefix(e.Key, KeyPrefix), Revision: e.Revision, Source: e.Value, Deleted: e.Value == nil,
		})
	}
}

// applyChange activates a change. An invalid text is recorded as rejected, and the active one stays active.
func (s *Service) applyChange(e team.DocumentRevision) {
	if e.Deleted {
		if s.Catalog.Delete(e.Name, e.Revision) {
			s.recordDeletion(e.Name, e.Revision)
		}
		return
	}
	activate, err := s.decode(e)
	if err != nil {
		if s.Catalog.Reject(e) {
			s.Log.Error("invalid document; keeping the active one", "name", e.Name, "revision", e.Revision, "error", err)
		}
		return
	}
	if activate() {
		s.recordChange(e.Name, fmt.Sprintf("%s revision %d", e.Name, e.Revision))
	}
}

// decode decodes and validates a text. It returns a function that activates the document and reports whether it did.
func (s *Service) decode(e team.DocumentRevision) (func() bool, error) {
	if e.Name == team.CellQuotasName {
		cell, err := s.DecodeCellQuotas(e.Source)
		stored := team.StoredCellQuotas{CellQuotas: cell, Revision: e.Revision, Source: e.Source}
		return func() bool { return s.Catalog.AcceptCellQuotas(stored) }, err
	}
	doc, err := s.Decode(e.Source)
	if err == nil && string(doc.Team) != e.Name {
		err = fault.New(fault.Invalid, "the document belongs to team %q, not %q", doc.Team, e.Name)
	}
	stored := team.StoredDocument{Document: doc, Revision: e.Revision, Source: e.Source}
	return func() bool { return s.Catalog.Accept(stored) }, err
}

// retain deletes the documents that no longer exist at the revision, given the names of those that do.
func (s *Service) retain(names []string, revision ident.Revision) {
	for _, name := range s.Catalog.Retain(names, revision) {
		s.recordDeletion(name, revision)
	}
}

func (s *Service) recordDeletion(name string, revision ident.Revision) {
	s.Log.Info("document deleted", "name", name, "revision", revision)
	s.recordChange(name, fmt.Sprintf("%s deleted by revision %d", name, revision))
}

// recordChange records a change of the active documents. The history command groups the events of processes by the
// detail.
func (s *Service) recordChange(name, detail string) {
	s.Recorder.Record(time.Now(), timeline.Event{
		Kind: timeline.RevisionActivated, Work: ident.WorkID{Team: ident.TeamID(name)}, Detail: detail,
	})
}
