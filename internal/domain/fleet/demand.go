package fleet

import (
	"math"
	"time"

	"skylarkstall/internal/domain/resource"
	"skylarkstall/internal/domain/work"
)

const (
	// demandWindow is the time over which the load of requests is counted. Demand grows ten times within 2 s, so a
	// longer window would notice it late.
	demandWindow = time.Second
	// demandHalfLife is how long it takes the remembered peak to fall to a half: a second rush within some minutes
	// meets room, and an idle evening gives the room to batch work.
	demandHalfLife = time.Minute
	// leastHeadroom is the share of the slots that is kept free for requests once a team has sent any.
	leastHeadroom = 0.01
)

// demand follows how many requests run at once when none of them waits: the arrivals times their run time.
type demand struct {
	unit   resource.Vector // the largest amount of each resource that a request needed
	window time.Time       // start of the present window
	load   float64         // of the present window, in requests at once
	peak   float64
}

// arrived notes a request with its usual run time.
func (d *demand) arrived(now time.Time, run time.Duration) {
	d.roll(now)
	d.load += run.Seconds() / demandWindow.Seconds()
}

func (d *demand) roll(now time.Time) {
	passed := now.Sub(d.window)
	if passed < demandWindow {
		return
	}
	if passed > time.Hour { // also the first window
		passed = time.Hour
	}
	d.peak = max(d.load, d.peak*math.Exp2(-passed.Seconds()/demandHalfLife.Seconds()))
	d.load, d.window = 0, now
}

// need returns how many requests at once there is to be room for: the peak, and the standard deviation of arrivals at
// random.
func (d *demand) need(now time.Time) int {
	d.roll(now)
	peak := max(d.peak, d.load)
	return int(math.Ceil(peak + math.Sqrt(peak)))
}

// units returns how many requests fit into the free capacity.
func (d *demand) units(free resource.Vector) int64 {
	n := int64(math.MaxInt32)
	for _, pair := range [...][2]int64{
		{free.MilliCores, d.unit.MilliCores},
		{free.MemoryBytes, d.unit.MemoryBytes},
		{free.Accelerators, d.unit.Accelerators},
		{free.Slots, d.unit.Slots},
	} {
		if pair[1] > 0 {
			n = min(n, max(pair[0], 0)/pair[1])
		}
	}
	return n
}

// noteDemand follows the arrival of a request.
func (f *Fleet) noteDemand(now time.Time, spec work.Spec) {
	if !f.policy.Headroom || spec.Class != work.Request {
		return
	}
	usual, _ := f.times.estimate(spec)
	f.demand.arrived(now, usual)
	if spec.Size.Fits(f.demand.unit) {
		return
	}
	f.demand.unit = f.demand.unit.Max(spec.Size)
	f.room = 0
	for _, r := range f.order {
		r.units = f.demand.units(r.Free)
		f.room += r.units
	}
}

// headroom returns how many further requests there is to be room for.
func (f *Fleet) headroom(now time.Time) int64 {
	if f.demand.unit.IsZero() {
		return 0
	}
	least := int64(math.Ceil(leastHeadroom * float64(f.capacity.Slots)))
	return max(int64(f.demand.need(now)-f.held[work.Request]), least)
}

// leavesHeadroom reports whether there is room for requests when the task is on the row.
func (f *Fleet) leavesHeadroom(now time.Time, r *row, spec work.Spec) bool {
	if !f.policy.Headroom || spec.Class == work.Request || f.demand.unit.IsZero() {
		return true
	}
	takes := r.units - f.demand.units(r.Free.Sub(spec.Size))
	return takes == 0 || f.room-takes >= f.headroom(now)
}
