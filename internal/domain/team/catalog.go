package team

import (
	"crypto/subtle"
	"sync"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/fault"
)

// Stored is a document with the revision that the store gave it. Source is the text that its team wrote.
type Stored struct {
	Document Document
	Revision ident.Revision
	Source   []byte
}

// Catalog is the aggregate of the documents in force in a process. A document never goes back to a lower revision.
type Catalog struct {
	mu        sync.Mutex
	documents map[ident.TeamID]Stored
	revision  ident.Revision // the store's revision up to which every change is in force
}

// NewCatalog returns a catalog without documents.
func NewCatalog() *Catalog {
	return &Catalog{documents: map[ident.TeamID]Stored{}}
}

// Accept puts a document in force unless one of the same or a higher revision is. It reports whether it did.
func (c *Catalog) Accept(stored Stored) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if old, ok := c.documents[stored.Document.Team]; ok && old.Revision >= stored.Revision {
		return false
	}
	c.documents[stored.Document.Team] = stored
	return true
}

// Advance notes that every change up to the revision is in force.
func (c *Catalog) Advance(revision ident.Revision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.revision = max(c.revision, revision)
}

// Revision returns the store's revision up to which every change is in force; 0 when nothing was confirmed.
func (c *Catalog) Revision() ident.Revision {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.revision
}

// Get returns the document in force for a team. It fails with NotFound.
func (c *Catalog) Get(team ident.TeamID) (Stored, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, ok := c.documents[team]
	if !ok {
		return Stored{}, fault.New(fault.NotFound, "team %q has no document", team)
	}
	return s, nil
}

// All returns every document in force.
func (c *Catalog) All() []Stored {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := make([]Stored, 0, len(c.documents))
	for _, s := range c.documents {
		all = append(all, s)
	}
	return all
}

// Authorize returns the team's document if the token is the team's. It fails with Unauthorized, also for an unknown team,
// so that the answer does not tell which teams exist.
func (c *Catalog) Authorize(team ident.TeamID, token string) (Stored, error) {
	stored, err := c.Get(team)
	match := subtle.ConstantTimeCompare([]byte(stored.Document.Token), []byte(token)) == 1
	if err != nil || !match || token == "" {
		return Stored{}, fault.New(fault.Unauthorized, "the token is not valid for team %q", team)
	}
	return stored, nil
}
