// Package configsync keeps the documents in force in this process equal to those in the store, through the store's
// watch and, while the store cannot be reached, from peers.
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

// KeyPrefix is where the store holds documents, by team.
const KeyPrefix = "document/"

// retryInterval is the mean pause after a failed call to the store. It is jittered, so that the processes of a cell do
// not all come back to the store at the same moment.
const retryInterval = time.Second

// Config is what the service needs.
type Config struct {
	Self             ident.ProcessID
	Store            port.Store
	Peers            port.Peers
	Heartbeats       func() []port.Heartbeat // the last heartbeat of each live peer
	HeartbeatArrived func() <-chan struct{}  // closed at the next heartbeat
	Catalog          *team.Catalog
	Decode           func([]byte) (team.Document, error)
	DecodeCell       func([]byte) (team.CellQuotas, error)
	Recorder         *timeline.Recorder
	Log              *slog.Logger
}

// Service follows the store.
type Service struct {
	Config
	failed   atomic.Bool // the last call to the store failed
	pageSize int         // bytes
}

// New returns a service.
func New(config Config) *Service { return &Service{Config: config, pageSize: pageSize} }

// Run follows the store until the context ends.
func (s *Service) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := s.follow(ctx)
		if ctx.Err() == nil {
			s.storeFailed(err)
			pause.For(ctx, pause.Jitter(retryInterval, string(s.Self)))
		}
	}
}

func (s *Service) storeFailed(err error) {
	if !s.failed.Swap(true) {
		s.Log.Warn("documents not read from the store; peers are asked", "error", err)
		s.Recorder.Record(time.Now(), timeline.Event{Kind: timeline.StoreFailed, Detail: fault.KindOf(err).String()})
	}
}

func (s *Service) storeAnswered() {
	if s.failed.Swap(false) {
		s.Log.Info("documents are read from the store again")
		s.Recorder.Record(time.Now(), timeline.Event{Kind: timeline.StoreRecovered})
	}
}

// follow reads every document once and then each change. It returns when the store cannot be reached.
func (s *Service) follow(ctx context.Context) error {
	known := s.Catalog.Revision()
	entries, revision, err := s.Store.List(ctx, KeyPrefix)
	if err != nil {
		return err
	}
	s.storeAnswered()
	s.accept(entries)
	if revision >= known {
		s.retain(names(entries), revision)
	} else {
		s.wentBack(known, revision)
	}
	s.Catalog.Advance(revision)
	for {
		if entries, err = s.Store.Watch(ctx, KeyPrefix, revision); err != nil {
			return err
		}
		s.accept(entries)
		for _, e := range entries {
			revision = max(revision, e.Revision)
		}
		s.Catalog.Advance(revision)
	}
}

// wentBack tells of a store that was restored to an older state. The documents in force stay, because an accepted
// change never reverts; changes written to that store take effect once its revisions pass those in force.
func (s *Service) wentBack(known, revision ident.Revision) {
	s.Log.Error("the store went back to an older state; the documents in force stay",
		"store_revision", revision, "revision_in_force", known)
	s.Recorder.Record(time.Now(), timeline.Event{
		Kind:   timeline.StoreFailed,
		Detail: fmt.Sprintf("the store is at revision %d; %d is in force and stays", revision, known),
	})
}

func names(entries []port.Entry) []string {
	out := make([]string, len(entries))
	for i, e := range entries {
		out[i] = strings.TrimPrefix(e.Key, KeyPrefix)
	}
	return out
}

// accept puts entries of the store in force.
func (s *Service) accept(entries []port.Entry) {
	for _, e := range entries {
		s.acceptOne(team.DocumentRevision{
			Name: strings.TrimPrefix(e.Key, KeyPrefix), Revision: e.Revision, Source: e.Value, Deleted: e.Value == nil,
		})
	}
}

// acceptOne puts a change in force. A text that is not valid is only noted; the one in force stays.
func (s *Service) acceptOne(e team.DocumentRevision) {
	if e.Deleted {
		if s.Catalog.Delete(e.Name, e.Revision) {
			s.deleted(e.Name, e.Revision)
		}
		return
	}
	accepted, err := s.decode(e)
	if err != nil {
		if s.Catalog.Reject(e) {
			s.Log.Error("document is not valid; the one in force stays", "name", e.Name, "revision", e.Revision, "error", err)
		}
		return
	}
	if accepted() {
		s.record(e.Name, fmt.Sprintf("%s revision %d", e.Name, e.Revision))
	}
}

// decode checks a text and returns the step that puts it in force.
func (s *Service) decode(e team.DocumentRevision) (func() bool, error) {
	if e.Name == team.CellQuotasName {
		cell, err := s.DecodeCell(e.Source)
		stored := team.StoredCellQuotas{CellQuotas: cell, Revision: e.Revision, Source: e.Source}
		return func() bool { return s.Catalog.AcceptCellQuotas(stored) }, err
	}
	doc, err := s.Decode(e.Source)
	if err == nil && string(doc.Team) != e.Name {
		err = fault.New(fault.Invalid, "the document is of team %q, not %q", doc.Team, e.Name)
	}
	stored := team.StoredDocument{Document: doc, Revision: e.Revision, Source: e.Source}
	return func() bool { return s.Catalog.Accept(stored) }, err
}

// retain takes the documents out of force that do not exist at the revision.
func (s *Service) retain(names []string, revision ident.Revision) {
	for _, name := range s.Catalog.Retain(names, revision) {
		s.deleted(name, revision)
	}
}

func (s *Service) deleted(name string, revision ident.Revision) {
	s.Log.Info("document deleted", "name", name, "revision", revision)
	s.record(name, fmt.Sprintf("%s deleted by revision %d", name, revision))
}

func (s *Service) record(name, detail string) {
	s.Recorder.Record(time.Now(), timeline.Event{
		Kind: timeline.RevisionActivated, Work: ident.WorkID{Team: ident.TeamID(name)}, Detail: detail,
	})
}
