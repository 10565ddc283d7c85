package fleet

import "skylarkstall/internal/domain/resource"

// Feasible reports whether the size fits into one of the given worker capacities. If it does not, nearest is the
// closest size that does: the one with the smallest sum of the relative reductions of the resources. nearest is zero
// when no capacity is known; the size may still fit later.
func Feasible(size resource.Vector, capacities []resource.Vector) (nearest resource.Vector, fits bool) {
	smallest := -1.0
	for _, capacity := range capacities {
		if size.Fits(capacity) {
			return size, true
		}
		reduced := size.Min(capacity)
		if reduced.Slots < 1 {
			continue
		}
		if sum := totalReduction(size, reduced); smallest < 0 || sum < smallest {
			nearest, smallest = reduced, sum
		}
	}
	return nearest, false
}

// totalReduction returns the sum of the shares by which the resources are reduced.
func totalReduction(from, to resource.Vector) float64 {
	removed := from.Sub(to)
	return fraction(removed.MilliCores, from.MilliCores) + fraction(removed.MemoryBytes, from.MemoryBytes) +
		fraction(removed.Accelerators, from.Accelerators) + fraction(removed.Slots, from.Slots)
}
