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

// Result contains the measurements of a load run. Times are in milliseconds.
type Result struct {
	Label      string                 `json:"label"`
	Profile    string                 `json:"profile"`
	Seed       uint64                 `json:"seed"`
	LoadFactor float64                `json:"load"`
	Kinds      map[string]*KindResult `json:"kinds"`
	Samples    []Sample               `json:"seconds"`
}

// KindResult contains the measurements of one kind of work of one team. Latency counts from the intended start of a
// request; Wait is the latency without the run time.
type KindResult struct {
	Sent      int            `json:"sent"`
	Done      int            `json:"done"`
	NotSent   int            `json:"not_sent"`
	Wrong     int            `json:"wrong"` // responses with the output of another request
	Failures  map[string]int `json:"failures"`
	Wait      Quantiles      `json:"wait_ms"`
	Latency   Quantiles      `json:"latency_ms"`
	WaitCurve []Point        `json:"wait_curve"`
}

// Quantiles are quantiles of a distribution in milliseconds.
type Quantiles struct {
	P50  float64 `json:"p50"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p999"`
	Max  float64 `json:"max"`
}

// Point is a point of a cumulative distribution: the share of requests whose wait was at most MS.
type Point struct {
	MS    float64 `json:"ms"`
	Share float64 `json:"share"`
}

// Sample is a sample of the state of the cell, taken once per second.
type Sample struct {
	At       float64 `json:"at"`       // seconds since the start of the run
	Reserved float64 `json:"reserved"` // share of all slots that is reserved
	Queued   int     `json:"queued"`
	Running  int     `json:"running"`
}

// Range and precision of the histograms: 10 us to 10 min with three significant digits. Values are in microseconds.
const (
	minValue          = 10
	maxValue          = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

type recorder struct {
	mu        sync.Mutex
	kinds     map[string]*KindResult
	wait      map[string]*hdrhistogram.Histogram
	latency   map[string]*hdrhistogram.Histogram
	samples   []Sample
	completed int
}

func newRecorder() *recorder {
	return &recorder{
		kinds: map[string]*KindResult{}, wait: map[string]*hdrhistogram.Histogram{},
		latency: map[string]*hdrhistogram.Histogram{},
	}
}

// kindResult returns the measurements of the arrival's kind and their name. The caller must hold the lock.
func (r *recorder) kindResult(a Arrival) (*KindResult, string) {
	name := a.Team + "/" + a.Kind
	k, ok := r.kinds[name]
	if !ok {
		k = &KindResult{Failures: map[string]int{}}
		r.kinds[name] = k
		r.wait[name] = hdrhistogram.New(minValue, maxValue, significantDigits)
		r.latency[name] = hdrhistogram.New(minValue, maxValue, significantDigits)
	}
	return k, name
}

func (r *recorder) recordNotSent(a Arrival) {
	r.mu.Lock()
	defer r.mu.Unlock()
	k, _ := r.kindResult(a)
	k.NotSent++
}

func (r *recorder) recordFailure(a Arrival, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	k, _ := r.kindResult(a)
	k.Sent++
	k.Failures[fault.KindOf(err).String()]++
}

func (r *recorder) recordWrongReply(a Arrival) {
	r.mu.Lock()
	defer r.mu.Unlock()
	k, _ := r.kindResult(a)
	k.Sent++
	k.Wrong++
}

func (r *recorder) recordDone(a Arrival, latency, wait time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	k, name := r.kindResult(a)
	k.Sent++
	k.Done++
	r.completed++
	recordDuration(r.latency[name], latency)
	recordDuration(r.wait[name], wait)
}

func recordDuration(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), minValue), maxValue)) // cannot fail: the value is clamped to the range
}

func (r *recorder) addSample(at time.Duration, cell callerhttp.CellStatus) {
	var free, capacity resource.Vector
	sample := Sample{At: at.Seconds()}
	for _, p := range cell.Processes {
		for _, n := range p.Queued {
			sample.Queued += n
		}
		for _, w := range p.Workers {
			free, capacity = free.Add(w.Free), capacity.Add(w.Capacity)
			sample.Running += w.Running
		}
	}
	if capacity.Slots > 0 {
		sample.Reserved = 1 - float64(free.Slots)/float64(capacity.Slots)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.samples = append(r.samples, sample)
}

func (r *recorder) progressText(total int) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	failed := 0
	for _, k := range r.kinds {
		failed += k.Sent - k.Done + k.NotSent
	}
	queued := 0
	if n := len(r.samples); n > 0 {
		queued = r.samples[n-1].Queued
	}
	return fmt.Sprintf("%d of %d completed, %d failed, %d queued", r.completed, total, failed, queued)
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
		Label: settings.Label, Profile: settings.Profile.Name, Seed: settings.Seed, LoadFactor: settings.LoadFactor,
		Kinds: r.kinds, Samples: r.samples,
	}
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	return Quantiles{
		P50: milliseconds(h.ValueAtQuantile(50)), P99: milliseconds(h.ValueAtQuantile(99)),
		P999: milliseconds(h.ValueAtQuantile(99.9)), Max: milliseconds(h.Max()),
	}
}

func milliseconds(us int64) float64 { return float64(us) / 1000 }
