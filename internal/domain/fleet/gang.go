package fleet

import (
	"time"

	"skylarkstall/internal/domain/work"
	"skylarkstall/internal/fault"
)

// OfferGang assigns all tasks of a gang or none. It fails with NoCapacity when there is no room for all of them now; the
// caller may try again.
func (f *Fleet) OfferGang(now time.Time, gang []work.Spec) ([]Assignment, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, spec := range gang {
		if err := f.check(now, spec); err != nil {
			return nil, err
		}
	}
	assignments := make([]Assignment, 0, len(gang))
	for _, spec := range gang {
		r := f.choose(now, spec)
		if r == nil {
			f.undo(assignments)
			return nil, fault.New(fault.NoCapacity, "%d of the gang's %d tasks have room", len(assignments), len(gang))
		}
		assignments = append(assignments, f.assume(now, r, spec))
	}
	return assignments, nil
}

func (f *Fleet) undo(assignments []Assignment) {
	for _, a := range assignments {
		h := f.tasks[a.Spec.ID]
		f.drop(h)
		h.row.assumed = h.row.assumed.Sub(h.spec.Size)
		f.setFree(h.row, h.row.Free.Add(h.spec.Size))
	}
}
