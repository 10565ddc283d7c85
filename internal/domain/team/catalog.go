package team

import (
	"crypto/subtle"
	"sort"
	"sync"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/resource"
	"skylarkstall/internal/fault"
)

// CellQuotasName is the name of the document of cell quotas. Names that begin with '_' are not valid for teams.
const CellQuotasName = "_cell"

// StoredDocument is a team's document as it is in the store.
type StoredDocument struct {
	Document Document
	Revision ident.Revision
	Source   []byte // text that Document was decoded from
}

// StoredCellQuotas is the document of cell quotas as it is in the store.
type StoredCellQuotas struct {
	CellQuotas CellQuotas
	Revision   ident.Revision
	Source     []byte
}

// DocumentRevision is one revision of the source text of a document, or its deletion.
type DocumentRevision struct {
	Name     string // team or CellQuotasName
	Revision ident.Revision
	Source   []byte
	Deleted  bool
}

// Delta contains what another process needs to bring its catalog up to Revision: the changes above a given revision in
// the order of their revisions, and the names of all documents that exist at Revision. A process that started after a
// deletion has no record of it; the missing name is then the only evidence of the deletion.
type Delta struct {
	Changes  []DocumentRevision
	Names    []string
	Revision ident.Revision
}

// Catalog holds the active documents of a process. A document never reverts to a lower revision. A Catalog is safe for
// concurrent use.
//
// The catalog is complete up to its revision: it contains every change up to that revision, including deletions and
// rejected texts. A process that copies everything above its own revision from another process therefore misses no
// change.
type Catalog struct {
	mu        sync.Mutex
	documents map[string]*documentState
	cell      CellQuotas // active cell quotas; zero if there are none
	revision  ident.Revision
	confirmed bool // see Confirmed
}

type documentState struct {
	active    DocumentRevision // Revision is 0 if no text is active
	document  Document         // decoded from active; zero for cell quotas
	rejected  DocumentRevision // later text that is invalid; Revision is 0 if there is none
	deletedAt ident.Revision   // revision of the last deletion; 0 if there was none
}

// latest returns the highest revision of the active and the rejected text.
func (d *documentState) latest() ident.Revision { return max(d.active.Revision, d.rejected.Revision) }

func (d *documentState) exists() bool { return d.latest() > 0 }

// NewCatalog returns an empty catalog.
func NewCatalog() *Catalog {
	return &Catalog{documents: map[string]*documentState{}}
}

// state returns the state of a document, and adds it to the catalog if it is not known yet.
func (c *Catalog) state(name string) *documentState {
	d, ok := c.documents[name]
	if !ok {
		d = &documentState{}
		c.documents[name] = d
	}
	return d
}

// Accept activates a document unless the same or a higher revision of it is active or was deleted. It reports whether
// the document was activated.
func (c *Catalog) Accept(stored StoredDocument) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	d, ok := c.activate(DocumentRevision{Name: string(stored.Document.Team), Revision: stored.Revision, Source: stored.Source})
	if ok {
		d.document = stored.Document
	}
	return ok
}

// AcceptCellQuotas activates cell quotas under the same condition as Accept.
func (c *Catalog) AcceptCellQuotas(stored StoredCellQuotas) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, ok := c.activate(DocumentRevision{Name: CellQuotasName, Revision: stored.Revision, Source: stored.Source})
	if ok {
		c.cell = stored.CellQuotas
	}
	return ok
}

func (c *Catalog) activate(e DocumentRevision) (*documentState, bool) {
	d := c.state(e.Name)
	if e.Revision <= max(d.active.Revision, d.deletedAt) {
		return d, false
	}
	d.active = e
	if d.rejected.Revision < e.Revision {
		d.rejected = DocumentRevision{}
	}
	return d, true
}

// Reject records an invalid text; the active document stays active. It reports whether the text is newer than all known
// revisions of the document.
func (c *Catalog) Reject(e DocumentRevision) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := c.state(e.Name)
	if e.Revision <= max(d.latest(), d.deletedAt) {
		return false
	}
	d.rejected = e
	return true
}

// Delete removes the active and the rejected text of a document unless they are newer than the deletion. It reports
// whether the document existed and does no longer.
func (c *Catalog) Delete(name string, revision ident.Revision) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.delete(name, revision)
}

func (c *Catalog) delete(name string, revision ident.Revision) bool {
	d := c.state(name)
	removed := d.exists() && d.latest() <= revision
	if d.active.Revision <= revision {
		d.active, d.document = DocumentRevision{}, Document{}
	}
	if d.rejected.Revision <= revision {
		d.rejected = DocumentRevision{}
	}
	if name == CellQuotasName && d.active.Revision == 0 {
		c.cell = CellQuotas{}
	}
	d.deletedAt = max(d.deletedAt, revision)
	return removed
}

// Retain deletes the documents that no longer exist at the revision, given the names of those that do. It returns the
// names of the deleted documents in sorted order.
func (c *Catalog) Retain(names []string, revision ident.Revision) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	exists := map[string]bool{}
	for _, name := range names {
		exists[name] = true
	}
	var deleted []string
	for name := range c.documents {
		if !exists[name] && c.documents[name].exists() && c.delete(name, revision) {
			deleted = append(deleted, name)
		}
	}
	sort.Strings(deleted)
	return deleted
}

// Advance records that the catalog is complete up to the revision.
func (c *Catalog) Advance(revision ident.Revision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.revision, c.confirmed = max(c.revision, revision), true
}

// Revision returns the store revision up to which the catalog is complete.
func (c *Catalog) Revision() ident.Revision {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.revision
}

// Confirmed reports whether the catalog has been completed from the store or from a peer at least once.
func (c *Catalog) Confirmed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.confirmed
}

// ChangesSince returns the changes that a catalog which is complete up to the revision lacks.
func (c *Catalog) ChangesSince(revision ident.Revision) Delta {
	c.mu.Lock()
	defer c.mu.Unlock()
	delta := Delta{Revision: c.revision}
	for name, d := range c.documents {
		if d.exists() {
			delta.Names = append(delta.Names, name)
		}
		for _, e := range []DocumentRevision{d.active, d.rejected, {Name: name, Revision: d.deletedAt, Deleted: true}} {
			if e.Revision > revision {
				delta.Changes = append(delta.Changes, e)
			}
		}
	}
	sort.Strings(delta.Names)
	sort.Slice(delta.Changes, func(i, j int) bool { return delta.Changes[i].Revision < delta.Changes[j].Revision })
	return delta
}

// Has reports whether there is an active document for a team or the cell quotas.
func (c *Catalog) Has(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	d, ok := c.documents[name]
	return ok && d.active.Revision > 0
}

// Active returns the active text for a team or the cell quotas. If there is none, the error is of kind NotFound.
func (c *Catalog) Active(name string) (DocumentRevision, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if d, ok := c.documents[name]; ok && d.active.Revision > 0 {
		return d.active, nil
	}
	return DocumentRevision{}, fault.New(fault.NotFound, "%q has no document", name)
}

// Get returns the active document of a team, with its quota limited by the cell quotas. If there is none, the error is
// of kind NotFound.
func (c *Catalog) Get(team ident.TeamID) (StoredDocument, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	d, ok := c.documents[string(team)]
	if !ok || d.active.Revision == 0 || team == CellQuotasName {
		return StoredDocument{}, fault.New(fault.NotFound, "team %q has no document", team)
	}
	doc := d.document
	doc.Quota = c.cell.Limit(team, doc.Quota)
	return StoredDocument{Document: doc, Revision: d.active.Revision, Source: d.active.Source}, nil
}

// Quotas returns the quota of each team that has an active document, limited by the cell quotas.
func (c *Catalog) Quotas() map[ident.TeamID]resource.Vector {
	c.mu.Lock()
	defer c.mu.Unlock()
	quotas := map[ident.TeamID]resource.Vector{}
	for name, d := range c.documents {
		if id := ident.TeamID(name); name != CellQuotasName && d.active.Revision > 0 {
			quotas[id] = c.cell.Limit(id, d.document.Quota)
		}
	}
	return quotas
}

// Authorize returns the team's document if the token is that of the team. Otherwise the error is of kind Unauthorized,
// also for an unknown team, so that a response does not reveal which teams exist.
func (c *Catalog) Authorize(team ident.TeamID, token string) (StoredDocument, error) {
	stored, err := c.Get(team)
	tokenMatches := subtle.ConstantTimeCompare([]byte(stored.Document.Token), []byte(token)) == 1
	if err != nil || !tokenMatches || token == "" {
		return StoredDocument{}, fault.New(fault.Unauthorized, "the token is not valid for team %q", team)
	}
	return stored, nil
}
