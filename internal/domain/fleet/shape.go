package fleet

import "skylarkstall/internal/domain/resource"

// MaxShapes bounds the shapes that one process tells of.
const MaxShapes = 16

// Shape is a capacity that a number of workers have.
type Shape struct {
	Capacity resource.Vector
	Count    int
}

// CanRun reports whether workers of the shapes could hold the tasks, if nothing else ran: one of them for a batch, all
// at the same time for a gang. Otherwise it returns the nearest size that one worker could hold.
func CanRun(shapes []Shape, size resource.Vector, atOnce int) (resource.Vector, bool) {
	room := 0
	capacities := make([]resource.Vector, len(shapes))
	for i, shape := range shapes {
		capacities[i] = shape.Capacity
		if size.Fits(shape.Capacity) {
			room += shape.Count * times(size, shape.Capacity)
		}
	}
	nearest, _ := Feasible(size, capacities)
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
