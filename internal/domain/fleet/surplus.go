package fleet

import (
	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/resource"
	"skylarkstall/internal/domain/work"
)

// Offload removes waiting tasks, in the order in which they would start, that another process has room for: together
// they fit into spare, and each fits into largest. Gangs stay, because their room is reserved by their home.
func (f *Fleet) Offload(spare, largest resource.Vector) []ident.TaskID {
	f.mu.Lock()
	defer f.mu.Unlock()
	var moved []ident.TaskID
	for spare.Slots > 0 {
		next := f.queue.pop(func(w *waiting) verdict {
			if w.spec.Class != work.Gang && w.spec.Size.Fits(spare) && w.spec.Size.Fits(largest) {
				return fits
			}
			return noRoom
		})
		if next == nil {
			break
		}
		spare = spare.Sub(next.spec.Size)
		moved = append(moved, next.spec.ID)
	}
	return moved
}
