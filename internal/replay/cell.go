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

// SmallShape is the shape of a present-day cell, LargeShape the one for which the scheduler is designed.
var (
	SmallShape = Shape{Workers: 50, Owners: 7, Zones: 3}
	LargeShape = Shape{Workers: 860, Owners: 17, Zones: 8}
)

const (
	largeCellWorkers = 100 // cells with fewer workers have workers of the present-day size
	workersPerRack   = 8
	// Every 8th worker has 8 accelerators, which approximates 880 accelerators for 860 workers.
	acceleratorWorkerStride = 8
	acceleratorsPerWorker   = 8
)

// capacity returns the capacity of worker i.
func (s Shape) capacity(i int) resource.Vector {
	if s.Workers < largeCellWorkers {
		return resource.Vector{MilliCores: 32_000, MemoryBytes: 128 << 30, Slots: 8}
	}
	v := resource.Vector{MilliCores: 64_000, MemoryBytes: 256 << 30, Slots: 32}
	if i%acceleratorWorkerStride == 0 {
		v.Accelerators = acceleratorsPerWorker
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

// view returns worker i without tasks.
func (s Shape) view(i int) fleet.WorkerView {
	return fleet.WorkerView{
		Worker: ident.WorkerID(fmt.Sprintf("worker-%03d", i)), Zone: s.zone(i),
		Rack:     ident.Rack(fmt.Sprintf("%s-rack-%d", s.zone(i), i/s.Zones/workersPerRack)),
		Capacity: s.capacity(i), Free: s.capacity(i),
	}
}

// owner returns the process that owns worker i: one in the worker's zone if possible, as rendezvous hashing prefers.
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
