package load

import (
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"skylarkstall/internal/adapter/callerhttp"
	"skylarkstall/internal/domain/resource"
	"skylarkstall/internal/fault"
)

// Result is what a run measured. Times are in milliseconds.
type Result struct {
	Label   string                 `json:"label"`
	Profile string                 `json:"profile"`
	Seed    uint64                 `json:"seed"`
	Load    float64                `json:"load"`
	Kinds   map[string]*KindResult `json:"kinds"`
	Samples []Sample               `json:"seconds"`
}

// KindResult is what was measured of one team's kind of work. Wait is the latency from the intended start without the run
// time.
type KindResult struct {
	Sent      int            `json:"sent"`
	Done      int            `json:"done"`
	NotSent   int            `json:"not_sent"`
	Wrong     int            `json:"wrong"` // answers to another request
	Failures  map[string]int `json:"failures"`
	Wait      Quantiles      `json:"wait_ms"`
	Latency   Quantiles      `json:"latency_ms"`
	WaitCurve []Point        `json:"wait_curve"`
}

// Quantiles are points of a distribution in milliseconds.
type Quantiles struct {
	P50  float64 `json:"p50"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p999"`
	Max  float64 `json:"max"`
}

// Point is a point of a distribution: the share of requests that waited at most so long.
type Point struct {
	MS    float64 `json:"ms"`
	Share float64 `json:"share"`
}

// Sample is the state of the cell at one second of the run.
type Sample struct {
	At       float64 `json:"at"`       // seconds from the start
	Reserved float64 `json:"reserved"` // share of slots reserved
	Queued   int     `json:"queued"`
	Running  int     `json:"running"`
}

// The histograms hold 10 us to 10 min with three digits.
const (
	lowest  = 10
	highest = int64(10 * time.Minute / time.Microsecond)
	digits  = 3
)

type recorder struct {
	mu       sync.Mutex
	kinds    map[string]*KindResult
	wait     map[string]*hdrhistogram.Histogram
	latency  map[string]*hdrhistogram.Histogram
	seconds  []Sample
	answered int
}

func newRecorder() *recorder {
	return &recorder{
		kinds: map[string]*KindResult{}, wait: map[string]*hdrhistogram.Histogram{},
		latency: map[string]*hdrhistogram.Histogram{},
	}
}

// kind returns the entry of the arrival's kind. The caller holds the lock.
func (r *recorder) kind(a Arrival) (*KindResult, string) {
	name := a.Team + "/" + a.Kind
	k, ok := r.kinds[name]
	if !ok {
		k = &KindResult{Failures: map[string]int{}}
		r.kinds[name] = k
		r.wait[name] = hdrhistogram.New(lowest, highest, digits)
		r.latency[name] = hdrhistogram.New(lowest, highest, digits)
	}
	return k, name
}

func (r *recorder) notSent(a Arrival) {
	r.mu.Lock()
	defer r.mu.Unlock()
	k, _ := r.kind(a)
	k.NotSent++
}

func (r *recorder) failed(a Arrival, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	k, _ := r.kind(a)
	k.Sent++
	k.Failures[fault.KindOf(err).String()]++
}

func (r *recorder) wrong(a Arrival) {
	r.mu.Lock()
	defer r.mu.Unlock()
	k, _ := r.kind(a)
	k.Sent++
	k.Wrong++
}

func (r *recorder) done(a Arrival, latency, wait time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	k, name := r.kind(a)
	k.Sent++
	k.Done++
	r.answered++
	record(r.latency[name], latency)
	record(r.wait[name], wait)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), lowest), highest)) // within the bounds, so it does not fail
}

func (r *recorder) observe(at time.Duration, cell callerhttp.CellStatus) {
	var free, capacity resource.Vector
	second := Sample{At: at.Seconds()}
	for _, p := range cell.Processes {
		for _, n := range p.Queued {
			second.Queued += n
		}
		for _, w := range p.Workers {
			free, capacity = free.Add(w.Free), capacity.Add(w.Capacity)
			second.Running += w.Running
		}
	}
	if capacity.Slots > 0 {
		second.Reserved = 1 - float64(free.Slots)/float64(capacity.Slots)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seconds = append(r.seconds, second)
}

func (r *recorder) progress(total int) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	failed := 0
	for _, k := range r.kinds {
		failed += k.Sent - k.Done + k.NotSent
	}
	queued := 0
	if n := len(r.seconds); n > 0 {
		queued = r.seconds[n-1].Queued
	}
	return fmt.Sprintf("%d of %d answered, %d failed, %d queued", r.answered, total, failed, queued)
}

func (r *recorder) result(settings Settings) *Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, k := range r.kinds {
		k.Wait, k.Latency = quantiles(r.wait[name]), quantiles(r.latency[name])
		for _, bracket := range r.wait[name].CumulativeDistribution() {
			k.WaitCurve = append(k.WaitCurve, Point{milliseconds(bracket.ValueAt), bracket.Quantile / 100})
		}
	}
	return &Result{
		Label: settings.Label, Profile: settings.Profile.Name, Seed: settings.Seed, Load: settings.LoadFactor,
		Kinds: r.kinds, Samples: r.seconds,
	}
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	return Quantiles{
		P50: milliseconds(h.ValueAtQuantile(50)), P99: milliseconds(h.ValueAtQuantile(99)),
		P999: milliseconds(h.ValueAtQuantile(99.9)), Max: milliseconds(h.Max()),
	}
}

func milliseconds(us int64) float64 { return float64(us) / 1000 }
