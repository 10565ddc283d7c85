package fleet

import "skylarkstall/internal/domain/resource"

// MaxShapes bounds the shapes that one process tells of.
const MaxShapes = 16

// Shape is a capacity that a number of workers have.
type Shape struct {
	Capacity resource.Vector
	Count    int
}

// Feasible reports whether workers of the shapes could hold the tasks, if nothing else ran: one of them for a batch, all
// at the same time for a gang. Otherwise it returns the nearest size that one worker could hold.
func Feasible(shapes []Shape, size resource.Vector, atOnce int) (resource.Vector, bool) {
	room := 0
	var nearest resource.Vector
	least := -1.0
	for _, shape := range shapes {
		if size.Fits(shape.Capacity) {
			room += shape.Count * times(size, shape.Capacity)
		}
		fitting := size.Min(shape.Capacity)
		if loss := size.Sub(fitting).DominantShare(size); least < 0 || loss < least {
			nearest, least = fitting, loss
		}
	}
	return nearest, room >= max(atOnce, 1)
}

// times returns how often the size, which fits once, fits into the capacity.
func times(size, capacity resource.Vector) int {
	n := capacity.Slots / max(size.Slots, 1)
	for _, pair := range [][2]int64{
		{size.MilliCores, capacity.MilliCores},
		{size.MemoryBytes, capacity.MemoryBytes},
		{size.Accelerators, capacity.Accelerators},
	} {
		if pair[0] > 0 {
			n = min(n, pair[1]/pair[0])
		}
	}
	return int(n)
}
