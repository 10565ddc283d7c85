package configsync

import (
	"context"
	"sort"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/team"
	"skylarkstall/internal/port"
)

// fetchTimeout bounds one page from a peer.
const fetchTimeout = 3 * time.Second

// pageSize is how many bytes of documents a page holds, beside the first one. With one document of the store's largest
// size it stays below the limit of a message.
const pageSize = 512 << 10

// RunPeerSync fetches documents from a peer whose heartbeat tells a higher revision, until the context ends.
func (s *Service) RunPeerSync(ctx context.Context) {
	for ctx.Err() == nil {
		arrived := s.HeartbeatArrived()
		for _, peer := range s.ahead() {
			if s.fetch(ctx, peer) {
				break
			}
		}
		select {
		case <-arrived:
		case <-ctx.Done():
		}
	}
}

// ahead returns the peers with a higher revision, the highest first.
func (s *Service) ahead() []ident.ProcessID {
	own := s.Catalog.Revision()
	var beats []port.Heartbeat
	for _, beat := range s.Heartbeats() {
		if beat.Peer.Revision > own && beat.Peer.ID != s.Self {
			beats = append(beats, beat)
		}
	}
	sort.SliceStable(beats, func(i, j int) bool { return beats[i].Peer.Revision > beats[j].Peer.Revision })
	peers := make([]ident.ProcessID, len(beats))
	for i, beat := range beats {
		peers[i] = beat.Peer.ID
	}
	return peers
}

// fetch takes over what a peer has above this process's revision. The revision moves only after the last page, so
// that a fetch that breaks off skips nothing.
func (s *Service) fetch(ctx context.Context, peer ident.ProcessID) bool {
	after := s.Catalog.Revision()
	for {
		docs, err := s.page(ctx, peer, after)
		if err != nil {
			s.Log.Info("documents not fetched from a peer", "peer", peer, "error", err)
			return false
		}
		for _, d := range docs.Documents {
			s.acceptOne(team.DocumentRevision{Name: d.Name, Revision: d.Revision, Source: d.Source, Deleted: d.Deleted})
			after = max(after, d.Revision)
		}
		switch {
		case docs.Complete:
			s.retain(docs.Names, docs.Revision)
			s.Catalog.Advance(docs.Revision)
			return true
		case len(docs.Documents) == 0:
			s.Log.Warn("a peer sent an empty page of documents", "peer", peer)
			return false
		}
	}
}

func (s *Service) page(ctx context.Context, peer ident.ProcessID, after ident.Revision) (port.DocumentPage, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	return s.Peers.Documents(ctx, peer, after)
}

// HandleDocuments returns a page of the documents with a higher revision, also of those that this process refused: a
// process of a later version may accept them.
func (s *Service) HandleDocuments(_ context.Context, after ident.Revision) (port.DocumentPage, error) {
	page := s.Catalog.ChangesSince(after)
	docs := port.DocumentPage{Revision: page.Revision, Names: page.Names, Complete: true}
	size := 0
	for _, e := range page.Changes {
		if size += len(e.Source); len(docs.Documents) > 0 && size > s.pageSize {
			docs.Complete = false
			break
		}
		docs.Documents = append(docs.Documents, port.Document{
			Name: e.Name, Source: e.Source, Revision: e.Revision, Deleted: e.Deleted,
		})
	}
	return docs, nil
}
