package team

import (
	"fmt"
	"sort"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/resource"
)

// CellQuotas is what the cell's operators state: the most that a team's quota may be.
type CellQuotas struct {
	Version int
	Quotas  map[ident.TeamID]resource.Vector
}

// Limit returns the smaller of the team's own quota and the cell's limit in each resource. A team without a limit keeps
// its quota.
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

// Validate returns everything wrong with the document.
func (c CellQuotas) Validate() []FieldError {
	var faults []FieldError
	if c.Version != SchemaVersion {
		faults = append(faults, FieldError{"version", fmt.Sprintf("is %d; this program reads version %d", c.Version, SchemaVersion)})
	}
	teams := make([]string, 0, len(c.Quotas))
	for id := range c.Quotas {
		teams = append(teams, string(id))
	}
	sort.Strings(teams)
	for _, id := range teams {
		path := "quotas." + id
		if err := ident.Validate("team", id); err != nil {
			faults = append(faults, FieldError{path, err.Error()})
		}
		faults = append(faults, checkQuota(path, c.Quotas[ident.TeamID(id)])...)
	}
	return faults
}

// checkQuota refuses negative counts. Zero is allowed: the team may not use the resource.
func checkQuota(path string, quota resource.Vector) []FieldError {
	var faults []FieldError
	for _, count := range []struct {
		field string
		value int64
	}{
		{"cores", quota.MilliCores},
		{"memory_mib", quota.MemoryBytes},
		{"accelerators", quota.Accelerators},
		{"slots", quota.Slots},
	} {
		if count.value < 0 {
			faults = append(faults, FieldError{path + "." + count.field, "is negative; want 0 or more"})
		}
	}
	return faults
}
