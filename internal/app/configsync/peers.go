package configsync

import (
	"context"
	"sort"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/team"
	"skylarkstall/internal/port"
)

// fetchTimeout is the timeout for fetching one page from a peer.
const fetchTimeout = 3 * time.Second

// pageBytes is the maximum size of the documents in a page that has more than one. Even with the largest document that
// the store accepts, a page stays below the maximum message size.
const pageBytes = 512 << 10

// RunPeerSync fetches documents from peers whose heartbeats have a higher revision, until the context ends.
func (s *Service) RunPeerSync(ctx context.Context) {
	for ctx.Err() == nil {
		arrived := s.HeartbeatArrived()
		for _, peer := range s.peersAhead() {
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

// peersAhead returns the peers with a higher revision, in descending order of their revisions.
func (s *Service) peersAhead() []ident.ProcessID {
	own := s.Catalog.Revision()
	var ahead []port.Heartbeat
	for _, heartbeat := range s.Heartbeats() {
		if heartbeat.Peer.Revision > own && heartbeat.Peer.ID != s.Self {
			ahead = append(ahead, heartbeat)
		}
	}
	sort.SliceStable(ahead, func(i, j int) bool { return ahead[i].Peer.Revision > ahead[j].Peer.Revision })
	peers := make([]ident.ProcessID, len(ahead))
	for i, heartbeat := range ahead {
		peers[i] = heartbeat.Peer.ID
	}
	return peers
}

// fetch copies the changes above this process's revision from a peer and reports whether it received all of them. The
// revision of the catalog advances only after the last page, so that an interrupted fetch misses no change.
func (s *Service) fetch(ctx context.Context, peer ident.ProcessID) bool {
	after := s.Catalog.Revision()
	for {
		page, err := s.fetchPage(ctx, peer, after)
		if err != nil {
			s.Log.Info("failed to fetch documents from a peer", "peer", peer, "error", err)
			return false
		}
		for _, d := range page.Documents {
			s.applyChange(team.DocumentRevision{Name: d.Name, Revision: d.Revision, Source: d.Source, Deleted: d.Deleted})
			after = max(after, d.Revision)
		}
		switch {
		case page.Complete:
			s.retain(page.Names, page.Revision)
			s.Catalog.Advance(page.Revision)
			return true
		case len(page.Documents) == 0:
			s.Log.Warn("peer sent an empty page of documents that is not the last one", "peer", peer)
			return false
		}
	}
}

func (s *Service) fetchPage(ctx context.Context, peer ident.ProcessID, after ident.Revision) (port.DocumentPage, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	return s.Peers.Documents(ctx, peer, after)
}

// HandleDocuments returns a page of the changes above a revision. It includes texts that this process rejected, because
// a process of a later version may accept them.
func (s *Service) HandleDocuments(_ context.Context, after ident.Revision) (port.DocumentPage, error) {
	delta := s.Catalog.ChangesSince(after)
	page := port.DocumentPage{Revision: delta.Revision, Names: delta.Names, Complete: true}
	size := 0
	for _, e := range delta.Changes {
		if size += len(e.Source); len(page.Documents) > 0 && size > s.pageBytes {
			page.Complete = false
			break
		}
		page.Documents = append(page.Documents, port.Document{
			Name: e.Name, Source: e.Source, Revision: e.Revision, Deleted: e.Deleted,
		})
	}
	return page, nil
}
