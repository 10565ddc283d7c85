package fleet

import (
	"math"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/resource"
	"skylarkstall/internal/domain/work"
)

// acceleratorRoom puts rows with free accelerators behind all others, so that other work takes them last.
const acceleratorRoom = 10

// roomKey returns how much room a row has: the sum of its free shares.
func roomKey(r *row) float64 {
	key := fraction(r.Free.MilliCores, r.Capacity.MilliCores) + fraction(r.Free.MemoryBytes, r.Capacity.MemoryBytes) +
		fraction(r.Free.Slots, r.Capacity.Slots)
	if r.Free.Accelerators > 0 {
		key += acceleratorRoom
	}
	return key
}

func fraction(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// scoring compares the candidate rows of one task; the most points win.
type scoring struct {
	candidates int
	points     func(*row) float64
}

// tightness prefers the row with the least room.
func tightness(r *row) float64 { return -r.key }

// balance prefers the row whose free capacity is used up evenly: a remainder of one resource without the others
// cannot be used by anyone.
func balance(r *row, size resource.Vector) float64 {
	left := r.Free.Sub(size)
	cores, memory := fraction(left.MilliCores, r.Capacity.MilliCores), fraction(left.MemoryBytes, r.Capacity.MemoryBytes)
	slots := fraction(left.Slots, r.Capacity.Slots)
	mean := (cores + memory + slots) / 3
	return -(math.Abs(cores-mean) + math.Abs(memory-mean) + math.Abs(slots-mean))
}

// spread prefers zones, then racks, that run fewer tasks of the job.
func spread(r *row, near func(ident.Zone, ident.Rack) (zone, rack int)) float64 {
	zone, rack := near(r.Zone, r.Rack)
	return -float64(zone) - float64(rack)/1000
}

// scoring returns how the rows for a task are compared: standing work is spread, other work is packed.
func (f *Fleet) scoring(spec work.Spec) scoring {
	if spec.Class == work.Standing {
		near := f.places.counter(spec.ID.Work)
		return scoring{math.MaxInt, func(r *row) float64 { return spread(r, near) }}
	}
	return scoring{candidates, func(r *row) float64 { return tightness(r) + balance(r, spec.Size) }}
}

// places counts the running standing tasks of each job by zone and rack.
type places map[placeKey]int

type placeKey struct {
	work ident.WorkID
	zone ident.Zone
	rack ident.Rack // empty for the whole zone
}

func (p places) add(h *held, n int) {
	if h.spec.Class != work.Standing {
		return
	}
	for _, rack := range [...]ident.Rack{"", h.row.Rack} {
		key := placeKey{h.spec.ID.Work, h.row.Zone, rack}
		if p[key] += n; p[key] == 0 {
			delete(p, key)
		}
	}
}

func (p places) counter(id ident.WorkID) func(ident.Zone, ident.Rack) (zone, rack int) {
	return func(zone ident.Zone, rack ident.Rack) (int, int) {
		return p[placeKey{id, zone, ""}], p[placeKey{id, zone, rack}]
	}
}
