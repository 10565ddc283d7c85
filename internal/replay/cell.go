package replay

import (
	"fmt"

	"skylarkstall/internal/domain/fleet"
	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/resource"
)

// Shape is the size of a cell.
type Shape struct {
	Workers int
	Owners  int
	Zones   int
}

// Small is a cell of today, Large the one that determines the design.
var (
	SmallShape = Shape{Workers: 50, Owners: 7, Zones: 3}
	LargeShape = Shape{Workers: 860, Owners: 17, Zones: 8}
)

const (
	smallCell      = 100 // workers; a cell below has today's workers
	workersPerRack = 8
	// acceleratorEvery and acceleratorsEach give 880 accelerators to 860 workers.
	acceleratorEvery = 8
	acceleratorsEach = 8
)

// capacity returns the size of a worker.
func (s Shape) capacity(i int) resource.Vector {
	if s.Workers < smallCell {
		return resource.Vector{MilliCores: 32_000, MemoryBytes: 128 << 30, Slots: 8}
	}
	v := resource.Vector{MilliCores: 64_000, MemoryBytes: 256 << 30, Slots: 32}
	if i%acceleratorEvery == 0 {
		v.Accelerators = acceleratorsEach
	}
	return v
}

func (s Shape) total() resource.Vector {
	var total resource.Vector
	for i := range s.Workers {
		total = total.Add(s.capacity(i))
	}
	return total
}

func (s Shape) zone(i int) ident.Zone { return ident.Zone(fmt.Sprintf("zone-%d", i%s.Zones)) }

// row returns an empty worker.
func (s Shape) row(i int) fleet.WorkerView {
	return fleet.WorkerView{
		Worker: ident.WorkerID(fmt.Sprintf("worker-%03d", i)), Zone: s.zone(i),
		Rack:     ident.Rack(fmt.Sprintf("%s-rack-%d", s.zone(i), i/s.Zones/workersPerRack)),
		Capacity: s.capacity(i), Free: s.capacity(i),
	}
}

// owner returns which process owns the worker: one of the worker's zone, as rendezvous hashing prefers.
func (s Shape) owner(i int) int {
	var local []int
	for o := range s.Owners {
		if s.zone(o) == s.zone(i) {
			local = append(local, o)
		}
	}
	if len(local) == 0 {
		return i % s.Owners
	}
	return local[i/s.Zones%len(local)]
}
