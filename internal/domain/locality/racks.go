package locality

import "time"

// Racks predicts when the runs on each rack leave room. It is told of each start and end, so that a prediction costs the same however
// much runs. It is not safe for concurrent use.
type Racks struct {
	racks map[string]*rack
}

// rack is what runs on one rack.
type rack struct {
	coresPerSecond float64 // at which the runs are expected to leave processors, in thousandths of a core a second
	runs           int
	vain           int       // waits in vain in a row
	shunnedUntil   time.Time // no wait is worth it before this time
}

// Use is what a run takes of its rack until it is done.
type Use struct {
	Rack       string
	MilliCores int64
	Duration   time.Duration // expected; 0 for a run that does not end by itself, or if nothing is known
}

// rate returns at which rate the run is expected to leave processors.
func (u Use) rate() float64 {
	if u.Duration <= 0 || u.MilliCores <= 0 {
		return 0
	}
	return float64(u.MilliCores) / u.Duration.Seconds()
}

// Start adds a run. The end must be told with the same use.
func (r *Racks) Start(u Use) {
	at := r.rack(u.Rack)
	at.coresPerSecond += u.rate()
	at.runs++
}

// End removes a run.
func (r *Racks) End(u Use) {
	at := r.rack(u.Rack)
	at.runs--
	at.coresPerSecond = max(at.coresPerSecond-u.rate(), 0)
	if at.runs <= 0 {
		at.coresPerSecond, at.runs = 0, 0 // without what rounding has left
	}
}

func (r *Racks) rack(name string) *rack {
	if r.racks == nil {
		r.racks = map[string]*rack{}
	}
	if r.racks[name] == nil {
		r.racks[name] = &rack{}
	}
	return r.racks[name]
}

// Room returns the expected time until a rack without free room has some for the given processors, behind those that others wait for. It is
// negative if no run there is expected to end, or if waits for the rack were in vain lately.
func (r *Racks) Room(name string, milliCores, ahead int64, now time.Time) time.Duration {
	at := r.racks[name]
	if at == nil || at.coresPerSecond <= 0 || now.Before(at.shunnedUntil) {
		return -1
	}
	seconds := float64(max(milliCores, 1)+max(ahead, 0)) / at.coresPerSecond
	return time.Duration(min(seconds, maxPrediction.Seconds()) * float64(time.Second))
}

const (
	// maxPrediction is far beyond every wait that can pay.
	maxPrediction = time.Hour
	// A rack for which waits were in vain is left alone for shunTime, which doubles with each further one up to maxShunTime.
	shunTime    = time.Second
	maxShunTime = 16 * time.Second
)

// Waited notes how a wait for a rack has ended: whether the task started there.
func (r *Racks) Waited(name string, paid bool, now time.Time) {
	at := r.rack(name)
	if paid {
		at.vain, at.shunnedUntil = 0, time.Time{}
		return
	}
	at.shunnedUntil = now.Add(min(shunTime<<min(at.vain, 8), maxShunTime))
	at.vain++
}
