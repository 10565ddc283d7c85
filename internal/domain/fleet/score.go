package fleet

import (
	"math"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/resource"
	"skylarkstall/internal/domain/work"
)

// acceleratorPenalty orders workers with free accelerators after all others, so that tasks without need for
// accelerators use those workers last.
const acceleratorPenalty = 10

// totalFreeShare returns the sum of the free shares of the worker's resources, as a measure of its free capacity.
func totalFreeShare(r *workerRecord) float64 {
	total := fraction(r.Free.MilliCores, r.Capacity.MilliCores) + fraction(r.Free.MemoryBytes, r.Capacity.MemoryBytes) +
		fraction(r.Free.Slots, r.Capacity.Slots)
	if r.Free.Accelerators > 0 {
		total += acceleratorPenalty
	}
	return total
}

func fraction(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// scoringRule defines how many candidate workers are compared for a task and how each is scored; the highest score
// wins.
type scoringRule struct {
	candidates int
	score      func(*workerRecord) float64
}

// tightness prefers the worker with the least free capacity.
func tightness(r *workerRecord) float64 { return -r.freeShare }

// balance prefers the worker on which the task leaves the free shares of the resources closest to each other: what
// remains of one resource without the others cannot be used.
func balance(r *workerRecord, size resource.Vector) float64 {
	rest := r.Free.Sub(size)
	cores, memory := fraction(rest.MilliCores, r.Capacity.MilliCores), fraction(rest.MemoryBytes, r.Capacity.MemoryBytes)
	slots := fraction(rest.Slots, r.Capacity.Slots)
	mean := (cores + memory + slots) / 3
	return -(math.Abs(cores-mean) + math.Abs(memory-mean) + math.Abs(slots-mean))
}

// spread prefers zones, then racks, that run fewer tasks of the same job.
func spread(r *workerRecord, countTasks func(ident.Zone, ident.Rack) (zone, rack int)) float64 {
	zone, rack := countTasks(r.Zone, r.Rack)
	return -float64(zone) - float64(rack)/1000
}

// scoringFor returns the scoring rule for the task: standing tasks are spread over zones and racks, all others are
// packed.
func (f *Fleet) scoringFor(spec work.Spec) scoringRule {
	if spec.Class == work.Standing {
		countTasks := f.spreadCounts.counter(spec.ID.Work)
		return scoringRule{math.MaxInt, func(r *workerRecord) float64 { return spread(r, countTasks) }}
	}
	return scoringRule{candidates, func(r *workerRecord) float64 { return tightness(r) + balance(r, spec.Size) }}
}

// spreadCounts counts the assigned standing tasks of each job by zone and rack.
type spreadCounts map[spreadKey]int

type spreadKey struct {
	work ident.WorkID
	zone ident.Zone
	rack ident.Rack // empty for the total of the zone
}

func (p spreadCounts) add(h *assignedTask, n int) {
	if h.spec.Class != work.Standing {
		return
	}
	for _, rack := range [...]ident.Rack{"", h.worker.Rack} {
		key := spreadKey{h.spec.ID.Work, h.worker.Zone, rack}
		if p[key] += n; p[key] == 0 {
			delete(p, key)
		}
	}
}

func (p spreadCounts) counter(id ident.WorkID) func(ident.Zone, ident.Rack) (zone, rack int) {
	return func(zone ident.Zone, rack ident.Rack) (int, int) {
		return p[spreadKey{id, zone, ""}], p[spreadKey{id, zone, rack}]
	}
}
