package team

import (
	"crypto/subtle"
	"sort"
	"sync"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/resource"
	"skylarkstall/internal/fault"
)

// CellQuotasName names the document of cell quotas. Names that begin with '_' are no teams.
const CellQuotasName = "_cell"

// StoredDocument is a document with the revision that the store gave it. Source is the text that its team wrote.
type StoredDocument struct {
	Document Document
	Revision ident.Revision
	Source   []byte
}

// StoredCellQuotas is the document of cell quotas with the revision that the store gave it.
type StoredCellQuotas struct {
	CellQuotas CellQuotas
	Revision   ident.Revision
	Source     []byte
}

// DocumentRevision is a change of a document as the store holds it, by the name of its team or CellName.
type DocumentRevision struct {
	Name     string
	Revision ident.Revision
	Source   []byte
	Deleted  bool
}

// Delta is part of a catalog for another process: the changes with a revision above the one asked for, in the order of
// their revisions, and the names of all documents that exist at the revision up to which the catalog is complete. A
// process that started after a deletion knows of it only by the name that is missing.
type Delta struct {
	Changes  []DocumentRevision
	Names    []string
	Revision ident.Revision
}

// Catalog is the aggregate of the documents in force in a process. A document never goes back to a lower revision.
//
// The catalog is complete up to its revision: it knows every change up to there, also a deletion and a text that it
// refused. So a process that takes over from another one everything above its own revision skips nothing.
type Catalog struct {
	mu        sync.Mutex
	items     map[string]*item
	cell      CellQuotas
	revision  ident.Revision
	confirmed bool
}

// item is what is known of a document.
type item struct {
	inForce  DocumentRevision // Revision is 0 when none is in force
	document Document
	refused  DocumentRevision // a later text that is not valid; Revision is 0 when there is none
	deleted  ident.Revision   // revision of the last deletion; 0 when there was none
}

// newest returns the highest revision of the texts known.
func (i *item) newest() ident.Revision { return max(i.inForce.Revision, i.refused.Revision) }

func (i *item) exists() bool { return i.newest() > 0 }

// NewCatalog returns a catalog without documents.
func NewCatalog() *Catalog {
	return &Catalog{items: map[string]*item{}}
}

func (c *Catalog) item(name string) *item {
	i, ok := c.items[name]
	if !ok {
		i = &item{}
		c.items[name] = i
	}
	return i
}

// Accept puts a document in force unless one of the same or a higher revision is, or was deleted. It reports whether it
// did.
func (c *Catalog) Accept(stored StoredDocument) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	i, ok := c.accept(DocumentRevision{Name: string(stored.Document.Team), Revision: stored.Revision, Source: stored.Source})
	if ok {
		i.document = stored.Document
	}
	return ok
}

// AcceptCellQuotas puts cell quotas in force, by the same rule.
func (c *Catalog) AcceptCellQuotas(stored StoredCellQuotas) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, ok := c.accept(DocumentRevision{Name: CellQuotasName, Revision: stored.Revision, Source: stored.Source})
	if ok {
		c.cell = stored.CellQuotas
	}
	return ok
}

func (c *Catalog) accept(e DocumentRevision) (*item, bool) {
	i := c.item(e.Name)
	if e.Revision <= max(i.inForce.Revision, i.deleted) {
		return i, false
	}
	i.inForce = e
	if i.refused.Revision < e.Revision {
		i.refused = DocumentRevision{}
	}
	return i, true
}

// Reject notes a text that is not valid. The document in force stays. It reports whether the text is new.
func (c *Catalog) Reject(e DocumentRevision) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	i := c.item(e.Name)
	if e.Revision <= max(i.newest(), i.deleted) {
		return false
	}
	i.refused = e
	return true
}

// Delete takes the texts of a document out of force that are not newer than the deletion. It reports whether none is
// left of those that there were.
func (c *Catalog) Delete(name string, revision ident.Revision) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.delete(name, revision)
}

func (c *Catalog) delete(name string, revision ident.Revision) bool {
	i := c.item(name)
	existed := i.exists() && i.newest() <= revision
	if i.inForce.Revision <= revision {
		i.inForce, i.document = DocumentRevision{}, Document{}
	}
	if i.refused.Revision <= revision {
		i.refused = DocumentRevision{}
	}
	if name == CellQuotasName && i.inForce.Revision == 0 {
		c.cell = CellQuotas{}
	}
	i.deleted = max(i.deleted, revision)
	return existed
}

// Retain deletes the documents that are not among the names that exist at the revision, and returns their names.
func (c *Catalog) Retain(names []string, revision ident.Revision) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	exists := map[string]bool{}
	for _, name := range names {
		exists[name] = true
	}
	var gone []string
	for name := range c.items {
		if !exists[name] && c.items[name].exists() && c.delete(name, revision) {
			gone = append(gone, name)
		}
	}
	sort.Strings(gone)
	return gone
}

// Advance notes that the catalog is complete up to the revision.
func (c *Catalog) Advance(revision ident.Revision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.revision, c.confirmed = max(c.revision, revision), true
}

// Revision returns the store's revision up to which the catalog is complete.
func (c *Catalog) Revision() ident.Revision {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.revision
}

// Confirmed reports whether the store or a peer has confirmed the catalog once.
func (c *Catalog) Confirmed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.confirmed
}

// ChangesSince returns what another process that is complete up to the revision lacks.
func (c *Catalog) ChangesSince(revision ident.Revision) Delta {
	c.mu.Lock()
	defer c.mu.Unlock()
	page := Delta{Revision: c.revision}
	for name, i := range c.items {
		if i.exists() {
			page.Names = append(page.Names, name)
		}
		for _, e := range []DocumentRevision{i.inForce, i.refused, {Name: name, Revision: i.deleted, Deleted: true}} {
			if e.Revision > revision {
				page.Changes = append(page.Changes, e)
			}
		}
	}
	sort.Strings(page.Names)
	sort.Slice(page.Changes, func(i, j int) bool { return page.Changes[i].Revision < page.Changes[j].Revision })
	return page
}

// Has reports whether a document is in force for a team or CellName.
func (c *Catalog) Has(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	i, ok := c.items[name]
	return ok && i.inForce.Revision > 0
}

// Active returns the text in force for a team or CellName. It fails with NotFound.
func (c *Catalog) Active(name string) (DocumentRevision, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if i, ok := c.items[name]; ok && i.inForce.Revision > 0 {
		return i.inForce, nil
	}
	return DocumentRevision{}, fault.New(fault.NotFound, "%q has no document", name)
}

// Get returns the document in force for a team, its quota limited by the cell's. It fails with NotFound.
func (c *Catalog) Get(team ident.TeamID) (StoredDocument, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	i, ok := c.items[string(team)]
	if !ok || i.inForce.Revision == 0 || team == CellQuotasName {
		return StoredDocument{}, fault.New(fault.NotFound, "team %q has no document", team)
	}
	doc := i.document
	doc.Quota = c.cell.Limit(team, doc.Quota)
	return StoredDocument{Document: doc, Revision: i.inForce.Revision, Source: i.inForce.Source}, nil
}

// Quotas returns the quota of each team with a document, limited by the cell's.
func (c *Catalog) Quotas() map[ident.TeamID]resource.Vector {
	c.mu.Lock()
	defer c.mu.Unlock()
	quotas := map[ident.TeamID]resource.Vector{}
	for name, i := range c.items {
		if id := ident.TeamID(name); name != CellQuotasName && i.inForce.Revision > 0 {
			quotas[id] = c.cell.Limit(id, i.document.Quota)
		}
	}
	return quotas
}

// Authorize returns the team's document if the token is the team's. It fails with Unauthorized, also for an unknown
// team, so that the answer does not tell which teams exist.
func (c *Catalog) Authorize(team ident.TeamID, token string) (StoredDocument, error) {
	stored, err := c.Get(team)
	match := subtle.ConstantTimeCompare([]byte(stored.Document.Token), []byte(token)) == 1
	if err != nil || !match || token == "" {
		return StoredDocument{}, fault.New(fault.Unauthorized, "the token is not valid for team %q", team)
	}
	return stored, nil
}
