// Package configsync keeps the documents in force in this process equal to those in the store, through the store's watch
// and, while the store cannot be reached, from peers.
package configsync

import (
	"context"
	"fmt"
	"log/slog"
	"strings"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/team"
	"skylarkstall/internal/domain/timeline"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/pause"
	"skylarkstall/internal/port"
)

// Prefix is where the store holds documents, by team.
const Prefix = "document/"

// retryInterval is the pause after a failed call to the store.
const retryInterval = time.Second

// Config is what the service needs.
type Config struct {
	Self     ident.ProcessID
	Store    port.Store
	Peers    port.Peers
	Beats    func() []port.Heartbeat // the last heartbeat of each live peer
	Arrived  func() <-chan struct{}  // closed at the next heartbeat
	Catalog  *team.Catalog
	Decode   func([]byte) (team.Document, error)
	Recorder *timeline.Recorder
	Log      *slog.Logger
}

// Service follows the store.
type Service struct {
	Config
}

// New returns a service.
func New(config Config) *Service { return &Service{config} }

// Run follows the store until the context ends.
func (s *Service) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := s.follow(ctx)
		if ctx.Err() == nil {
			s.Log.Warn("documents not read from the store", "error", err)
			pause.For(ctx, retryInterval)
		}
	}
}

// follow reads every document once and then each change. It returns when the store cannot be reached.
func (s *Service) follow(ctx context.Context) error {
	entries, revision, err := s.Store.List(ctx, Prefix)
	if err != nil {
		return err
	}
	for {
		s.accept(entries)
		for _, e := range entries {
			revision = max(revision, e.Revision)
		}
		s.Catalog.Advance(revision)
		if entries, err = s.Store.Watch(ctx, Prefix, revision); err != nil {
			return err
		}
	}
}

func (s *Service) accept(entries []port.Entry) {
	for _, e := range entries {
		if e.Value == nil {
			continue
		}
		doc, err := s.Decode(e.Value)
		if err != nil {
			s.Log.Error("document in the store is not valid; the one in force stays", "key", e.Key, "error", err)
			continue
		}
		stored := team.Stored{Document: doc, Revision: e.Revision, Source: e.Value}
		if s.Catalog.Accept(stored) {
			s.Recorder.Record(time.Now(), timeline.Event{
				Kind: timeline.RevisionInForce, Work: ident.WorkID{Team: doc.Team},
				Detail: fmt.Sprintf("%s revision %d", strings.TrimPrefix(e.Key, Prefix), e.Revision),
			})
		}
	}
}

// RunPeers fetches documents from a peer whose heartbeat tells a higher revision, until the context ends.
func (s *Service) RunPeers(ctx context.Context) {
	for ctx.Err() == nil {
		arrived := s.Arrived()
		if peer, ok := s.ahead(); ok {
			s.fetch(ctx, peer)
		}
		select {
		case <-arrived:
		case <-ctx.Done():
		}
	}
}

func (s *Service) ahead() (ident.ProcessID, bool) {
	own := s.Catalog.Revision()
	for _, beat := range s.Beats() {
		if beat.Peer.Revision > own && beat.Peer.ID != s.Self {
			return beat.Peer.ID, true
		}
	}
	return "", false
}

func (s *Service) fetch(ctx context.Context, peer ident.ProcessID) {
	docs, err := s.Peers.Documents(ctx, peer, s.Catalog.Revision())
	if err != nil {
		s.Log.Info("documents not fetched from a peer", "peer", peer, "error", err)
		return
	}
	entries := make([]port.Entry, len(docs.Documents))
	for i, d := range docs.Documents {
		entries[i] = port.Entry{Key: d.Key, Value: d.Source, Revision: d.Revision}
	}
	s.accept(entries)
	s.Catalog.Advance(docs.Revision)
}

// HandleDocuments returns the documents in force with a higher revision.
func (s *Service) HandleDocuments(_ context.Context, after ident.Revision) (port.Documents, error) {
	docs := port.Documents{Revision: s.Catalog.Revision()}
	for _, stored := range s.Catalog.All() {
		if stored.Revision > after {
			docs.Documents = append(docs.Documents, port.Document{
				Key: Prefix + string(stored.Document.Team), Source: stored.Source, Revision: stored.Revision,
			})
		}
	}
	return docs, nil
}

// Apply writes a document if the one in the store has the expected revision, 0 for none. It fails with Conflict when it
// has another. A lost answer is settled by reading back.
func (s *Service) Apply(ctx context.Context, id ident.TeamID, source []byte, expect ident.Revision) (ident.Revision, error) {
	doc, err := s.Decode(source)
	if err != nil {
		return 0, err
	}
	if doc.Team != id {
		return 0, fault.New(fault.Invalid, "the document is of team %q, not %q", doc.Team, id)
	}
	key := Prefix + string(id)
	revision, err := s.Store.Put(ctx, key, source, expect, 0)
	if fault.Is(err, fault.StoreUnavailable) {
		return s.settle(ctx, key, source, expect, err)
	}
	return revision, err
}

// settle finds out whether a write whose answer was lost took effect.
func (s *Service) settle(
	ctx context.Context, key string, source []byte, expect ident.Revision, cause error,
) (ident.Revision, error) {
	entry, err := s.Store.Get(ctx, key)
	switch {
	case err == nil && entry.Revision > expect && string(entry.Value) == string(source):
		return entry.Revision, nil
	case err == nil && entry.Revision != expect:
		return 0, fault.New(fault.Conflict, "the document was changed by someone else; it has revision %d", entry.Revision)
	case err == nil || fault.Is(err, fault.NotFound):
		return 0, fault.As(fault.Interrupted, cause, "the change may still take effect")
	default:
		return 0, fault.As(fault.Interrupted, err, "the change may have taken effect")
	}
}
