package fleet

import (
	"math"
	"time"

	"skylarkstall/internal/domain/resource"
	"skylarkstall/internal/domain/work"
)

const (
	// demandWindow is the length of the window over which the load of requests is counted. Demand can grow tenfold
	// within 2 s, which a longer window would detect late.
	demandWindow = time.Second
	// demandHalfLife is the half-life of the remembered peak: a second burst within a few minutes still finds headroom,
	// and a long idle period releases the headroom to batch work.
	demandHalfLife = time.Minute
	// minHeadroom is the share of the slots kept free for requests once a request has arrived.
	minHeadroom = 0.01
)

// demandEstimator estimates how many requests would run concurrently if none were queued: the arrival rate times the
// run time.
type demandEstimator struct {
	requestSize resource.Vector // per resource, the largest amount that any request declared
	window      time.Time       // start of the current window
	load        float64         // of the current window, in concurrent requests
	peak        float64         // decaying maximum of the load
}

// recordArrival records a request with its expected run time.
func (d *demandEstimator) recordArrival(now time.Time, run time.Duration) {
	d.advanceWindow(now)
	d.load += run.Seconds() / demandWindow.Seconds()
}

func (d *demandEstimator) advanceWindow(now time.Time) {
	elapsed := now.Sub(d.window)
	if elapsed < demandWindow {
		return
	}
	if elapsed > time.Hour { // also when there was no window before
		elapsed = time.Hour
	}
	d.peak = max(d.load, d.peak*math.Exp2(-elapsed.Seconds()/demandHalfLife.Seconds()))
	d.load, d.window = 0, now
}

// targetConcurrency returns for how many concurrent requests there must be capacity: the peak plus one standard
// deviation of random (Poisson) arrivals.
func (d *demandEstimator) targetConcurrency(now time.Time) int {
	d.advanceWindow(now)
	peak := max(d.peak, d.load)
	return int(math.Ceil(peak + math.Sqrt(peak)))
}

// countFitting returns how many requests fit into the free capacity.
func (d *demandEstimator) countFitting(free resource.Vector) int64 {
	n := int64(math.MaxInt32)
	for _, amounts := range [...][2]int64{
		{free.MilliCores, d.requestSize.MilliCores},
		{free.MemoryBytes, d.requestSize.MemoryBytes},
		{free.Accelerators, d.requestSize.Accelerators},
		{free.Slots, d.requestSize.Slots},
	} {
		if amounts[1] > 0 {
			n = min(n, max(amounts[0], 0)/amounts[1])
		}
	}
	return n
}

// recordDemand records the arrival of a request in the demand estimate.
func (f *Fleet) recordDemand(now time.Time, spec work.Spec) {
	if !f.policy.Headroom || spec.Class != work.Request {
		return
	}
	expected, _ := f.runTimes.estimate(spec)
	f.demand.recordArrival(now, expected)
	if spec.Size.Fits(f.demand.requestSize) {
		return
	}
	f.demand.requestSize = f.demand.requestSize.Max(spec.Size)
	f.requestCapacity = 0
	for _, r := range f.workerOrder {
		r.requestCapacity = f.demand.countFitting(r.Free)
		f.requestCapacity += r.requestCapacity
	}
}

// headroom returns for how many further requests capacity must be kept free.
func (f *Fleet) headroom(now time.Time) int64 {
	if f.demand.requestSize.IsZero() {
		return 0
	}
	minimum := int64(math.Ceil(minHeadroom * float64(f.capacity.Slots)))
	return max(int64(f.demand.targetConcurrency(now)-f.activeCounts[work.Request]), minimum)
}

// keepsHeadroom reports whether enough capacity for requests remains free when the task is placed on the worker.
func (f *Fleet) keepsHeadroom(now time.Time, r *workerRecord, spec work.Spec) bool {
	if !f.policy.Headroom || spec.Class == work.Request || f.demand.requestSize.IsZero() {
		return true
	}
	taken := r.requestCapacity - f.demand.countFitting(r.Free.Sub(spec.Size))
	return taken == 0 || f.requestCapacity-taken >= f.headroom(now)
}
