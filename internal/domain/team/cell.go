package team

import (
	"fmt"
	"sort"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/resource"
)

// CellQuotas is the document of cell quotas, in which the cell's operators limit the quotas of teams.
type CellQuotas struct {
	Version int
	Quotas  map[ident.TeamID]resource.Vector
}

// Limit returns, for each resource, the smaller of the team's own quota and the cell's limit for the team. A team
// without a limit keeps its quota.
func (c CellQuotas) Limit(team ident.TeamID, quota resource.Vector) resource.Vector {
	limit, ok := c.Quotas[team]
	if !ok {
		return quota
	}
	return resource.Vector{
		MilliCores: min(quota.MilliCores, limit.MilliCores), MemoryBytes: min(quota.MemoryBytes, limit.MemoryBytes),
		Accelerators: min(quota.Accelerators, limit.Accelerators), Slots: min(quota.Slots, limit.Slots),
	}
}

// Validate returns all validation errors of the document.
func (c CellQuotas) Validate() []FieldError {
	var errs []FieldError
	if c.Version != SchemaVersion {
		errs = append(errs, FieldError{"version", fmt.Sprintf("is %d; the supported version is %d", c.Version, SchemaVersion)})
	}
	teams := make([]string, 0, len(c.Quotas))
	for id := range c.Quotas {
		teams = append(teams, string(id))
	}
	sort.Strings(teams)
	for _, id := range teams {
		path := "quotas." + id
		if err := ident.Validate("team", id); err != nil {
			errs = append(errs, FieldError{path, err.Error()})
		}
		errs = append(errs, validateQuota(path, c.Quotas[ident.TeamID(id)])...)
	}
	return errs
}

// validateQuota rejects negative amounts. Zero is valid and means that the team may not use the resource.
func validateQuota(path string, quota resource.Vector) []FieldError {
	var errs []FieldError
	for _, amount := range []struct {
		field string
		value int64
	}{
		{"cores", quota.MilliCores},
		{"memory_mib", quota.MemoryBytes},
		{"accelerators", quota.Accelerators},
		{"slots", quota.Slots},
	} {
		if amount.value < 0 {
			errs = append(errs, FieldError{path + "." + amount.field, "is negative; want 0 or more"})
		}
	}
	return errs
}
