// Package team holds a team's document, the rules that it must meet, and the catalog of documents in force.
package team

import (
	"strings"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/resource"
	"skylarkstall/internal/domain/work"
	"skylarkstall/internal/fault"
)

// SchemaVersion is the schema version of documents that this program reads.
const SchemaVersion = 1

// Bounds of a document.
const (
	MaxKinds           = 64
	MaxRequestDeadline = 10 * time.Minute
	MaxWeight          = 1000
)

// Kind is a kind of work that a team runs.
type Kind struct {
	Name       string
	Class      work.Class
	Size       resource.Vector
	Repeatable bool
	Expected   time.Duration // declared run time; 0 when unknown
	Deadline   time.Duration // longest time to the answer of a request, or to the start of other work
	Retries    int           // further attempts after a failed one; 0 to 10
	Spread     string        // rack, zone or empty: spread the tasks of a standing job
	Region     string        // region that the ids belong to; empty for any
}

// Document is what a team states about its work.
type Document struct {
	Version int
	Team    ident.TeamID
	Token   string // secret that callers and operators of the team present
	Weight  int    // share of the cell relative to other teams
	Quota   resource.Vector
	Kinds   []Kind
}

// Kind returns the kind with the name. It fails with NotFound.
func (d *Document) Kind(name string) (Kind, error) {
	for _, k := range d.Kinds {
		if k.Name == name {
			return k, nil
		}
	}
	return Kind{}, fault.New(fault.NotFound, "kind %q is not in the document of team %s", name, d.Team)
}

// FieldError is one thing wrong with a document.
type FieldError struct {
	Field   string // path, such as kinds[2].size.slots
	Message string
}

// Validate returns everything wrong with the document.
func (d *Document) Validate() []FieldError {
	var faults []FieldError
	add := func(field string, err error) {
		if err != nil {
			faults = append(faults, FieldError{field, err.Error()})
		}
	}
	if d.Version != SchemaVersion {
		add("version", fault.New(fault.Invalid, "is %d; this program reads version %d", d.Version, SchemaVersion))
	}
	add("team", ident.Validate("team", string(d.Team)))
	if strings.HasPrefix(string(d.Team), "_") {
		add("team", fault.New(fault.Invalid, "%q begins with '_'; such names are kept for the cell", d.Team))
	}
	if d.Token == "" {
		add("token", fault.New(fault.Invalid, "is empty; callers need a token"))
	}
	if d.Weight < 1 || d.Weight > MaxWeight {
		add("weight", fault.New(fault.Invalid, "is %d; want 1 to %d", d.Weight, MaxWeight))
	}
	if len(d.Kinds) == 0 || len(d.Kinds) > MaxKinds {
		add("kinds", fault.New(fault.Invalid, "has %d kinds; want 1 to %d", len(d.Kinds), MaxKinds))
	}
	faults = append(faults, checkQuota("quota", d.Quota)...)
	return append(faults, checkKinds(d.Kinds)...)
}
