package fleet

import "skylarkstall/internal/domain/resource"

// Feasible reports whether a size can ever fit on one of the workers of the given capacities. When it cannot, nearest
// is the size that fits and asks the least less: the sum of the shares that are taken off the resources is the
// smallest. nearest is zero when no capacity is known; such a size may fit later.
func Feasible(size resource.Vector, capacities []resource.Vector) (nearest resource.Vector, fits bool) {
	least := -1.0
	for _, capacity := range capacities {
		if size.Fits(capacity) {
			return size, true
		}
		smaller := size.Min(capacity)
		if smaller.Slots < 1 {
			continue
		}
		if less := reduction(size, smaller); least < 0 || less < least {
			nearest, least = smaller, less
		}
	}
	return nearest, false
}

func reduction(from, to resource.Vector) float64 {
	less := from.Sub(to)
	return fraction(less.MilliCores, from.MilliCores) + fraction(less.MemoryBytes, from.MemoryBytes) +
		fraction(less.Accelerators, from.Accelerators) + fraction(less.Slots, from.Slots)
}
