package fleet

import "skylarkstall/internal/domain/resource"

// MaxShapes is the maximum number of shapes that one process reports.
const MaxShapes = 16

// Shape is a capacity and the number of workers that have it.
type Shape struct {
	Capacity resource.Vector
	Count    int
}

// CanRun reports whether workers of the shapes could run the tasks if nothing else ran: at least one task of a batch,
// and all tasks of a gang concurrently. It also returns the size itself, or the closest size that fits on one worker.
func CanRun(shapes []Shape, size resource.Vector, concurrent int) (resource.Vector, bool) {
	fitting := 0
	capacities := make([]resource.Vector, len(shapes))
	for i, shape := range shapes {
		capacities[i] = shape.Capacity
		if size.Fits(shape.Capacity) {
			fitting += shape.Count * instancesThatFit(size, shape.Capacity)
		}
	}
	nearest, _ := Feasible(size, capacities)
	return nearest, fitting >= max(concurrent, 1)
}

// instancesThatFit returns how many instances of a size that fits once fit into the capacity.
func instancesThatFit(size, capacity resource.Vector) int {
	n := capacity.Slots / max(size.Slots, 1)
	for _, amounts := range [][2]int64{
		{size.MilliCores, capacity.MilliCores},
		{size.MemoryBytes, capacity.MemoryBytes},
		{size.Accelerators, capacity.Accelerators},
	} {
		if amounts[0] > 0 {
			n = min(n, amounts[1]/amounts[0])
		}
	}
	return int(n)
}
