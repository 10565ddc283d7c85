package fleet

import (
	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/resource"
	"skylarkstall/internal/domain/work"
)

// Offload removes and returns queued tasks that another process has free capacity for, in the order in which they would
// start. Together they fit into spare, and each fits into largest. Gangs stay queued, because their home reserves their
// capacity.
func (f *Fleet) Offload(spare, largest resource.Vector) []ident.TaskID {
	f.mu.Lock()
	defer f.mu.Unlock()
	var removed []ident.TaskID
	for spare.Slots > 0 {
		next := f.queue.pop(func(w *queuedTask) admission {
			if w.spec.Class != work.Gang && w.spec.Size.Fits(spare) && w.spec.Size.Fits(largest) {
				return fits
			}
			return noCapacity
		})
		if next == nil {
			break
		}
		spare = spare.Sub(next.spec.Size)
		removed = append(removed, next.spec.ID)
	}
	return removed
}
