package fleet

import "skylarkstall/internal/domain/work"

// Policy chooses workers. It is pure: the same view and task give the same choice.
type Policy interface {
	// Choose returns the row to place the task on, or nil.
	Choose(rows []*Row, spec work.Spec) *Row
	// Admits reports whether the task may go on the row.
	Admits(row *Row, spec work.Spec) bool
}

// FirstFit is the baseline policy: the first worker with room.
type FirstFit struct{}

// Choose returns the first row that has room.
func (p FirstFit) Choose(rows []*Row, spec work.Spec) *Row {
	for _, row := range rows {
		if p.Admits(row, spec) {
			return row
		}
	}
	return nil
}

// Admits reports whether the size fits.
func (FirstFit) Admits(row *Row, spec work.Spec) bool {
	return spec.Size.Fits(row.Free)
}
