// Package team defines team documents and cell quotas, their validation, and the catalog of active documents.
package team

import (
	"strings"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/resource"
	"skylarkstall/internal/domain/work"
	"skylarkstall/internal/fault"
)

// SchemaVersion is the supported schema version of documents.
const SchemaVersion = 1

// Limits of a document.
const (
	MaxKinds           = 64
	MaxRequestDeadline = 10 * time.Minute
	MaxWeight          = 1000
)

// Kind describes a kind of work of a team.
type Kind struct {
	Name       string
	Class      work.Class
	Size       resource.Vector
	Repeatable bool
	Expected   time.Duration // declared run time; 0 when unknown
	Deadline   time.Duration // maximum time to the response to a request, or to the start of other work
	Retries    int           // maximum number of retries; 0 to 10
	Spread     string        // rack, zone or empty: what the tasks of a standing job are spread over
	Region     string        // region that the ids belong to; empty for any
}

// Document is a team's declaration of its kinds of work, quota and weight.
type Document struct {
	Version int
	Team    ident.TeamID
	Token   string // secret that callers and operators of the team must present
	Weight  int    // weight of the team's share of the cell relative to other teams
	Quota   resource.Vector
	Kinds   []Kind
}

// Kind returns the kind with the name. If there is none, the error is of kind NotFound.
func (d *Document) Kind(name string) (Kind, error) {
	for _, k := range d.Kinds {
		if k.Name == name {
			return k, nil
		}
	}
	return Kind{}, fault.New(fault.NotFound, "kind %q is not in the document of team %s", name, d.Team)
}

// FieldError is a validation error of a field of a document.
type FieldError struct {
	Field   string // path, such as kinds[2].size.slots
	Message string
}

// Validate returns all validation errors of the document.
func (d *Document) Validate() []FieldError {
	var errs []FieldError
	add := func(field string, err error) {
		if err != nil {
			errs = append(errs, FieldError{field, err.Error()})
		}
	}
	if d.Version != SchemaVersion {
		add("version", fault.New(fault.Invalid, "is %d; the supported version is %d", d.Version, SchemaVersion))
	}
	add("team", ident.Validate("team", string(d.Team)))
	if strings.HasPrefix(string(d.Team), "_") {
		add("team", fault.New(fault.Invalid, "%q begins with '_'; such names are reserved for the cell", d.Team))
	}
	if d.Token == "" {
		add("token", fault.New(fault.Invalid, "is empty; callers must present a token"))
	}
	if d.Weight < 1 || d.Weight > MaxWeight {
		add("weight", fault.New(fault.Invalid, "is %d; want 1 to %d", d.Weight, MaxWeight))
	}
	if len(d.Kinds) == 0 || len(d.Kinds) > MaxKinds {
		add("kinds", fault.New(fault.Invalid, "has %d kinds; want 1 to %d", len(d.Kinds), MaxKinds))
	}
	errs = append(errs, validateQuota("quota", d.Quota)...)
	return append(errs, validateKinds(d.Kinds)...)
}
